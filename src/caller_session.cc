#include "src/caller_session.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>
#include <vector>

#include "src/log_event.h"
#include "src/proxy_exchange.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// Requests of one connection that are served at a time. Each may hold a head
// and a buffered answer, so that this bounds the memory of a connection.
constexpr std::size_t kMostPipelined = 8;
// How long a closing connection still takes what the caller sends, so that the
// answer is not destroyed by a reset.
constexpr Duration kLingerTime = std::chrono::seconds(2);
constexpr std::size_t kLingerBytes = 1024 * 1024;
constexpr std::size_t kDiscardBytes = 16 * 1024;

}  // namespace

CallerSession::CallerSession(EntryContext& context,
                             net::ip::tcp::socket socket,
                             const SessionStrand& strand)
    : context(context),
      strand(strand),
      caller(std::move(socket), strand, context.settings.max_header_bytes),
      changed(strand, TimePoint::max()),
      watchdog(strand) {
  ++this->context.connections;
}

CallerSession::~CallerSession() {
  --this->context.connections;
}

void CallerSession::Start() {
  net::co_spawn(
      this->strand, this->Run(),
      [self = this->shared_from_this()](const std::exception_ptr& error) {
        if (error) {
          LogEvent("session_failed", LogSeverity::kError)
              .With("unanswered", self->exchanges.size());
          self->Fail(BodyError::kClosed);
        }
        self->caller.Close();
      });
}

void CallerSession::CloseIfIdle() {
  net::post(this->strand, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->exchanges.empty() && self->caller.IsQuiet()) {
      self->caller.Close();
    }
  });
}

void CallerSession::CloseNow() {
  net::post(this->strand, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Fail(BodyError::kClosed);
      self->caller.Close();
    }
  });
}

net::awaitable<void> CallerSession::Run() {
  this->ExpectNextRequest();
  bool more = true;
  while (more) {
    more = co_await this->ReadNext();
  }
  while (!this->exchanges.empty()) {
    co_await this->changed.async_wait(kAwait);
  }
}

net::awaitable<bool> CallerSession::ReadNext() {
  while (!this->MayRead()) {
    if (this->closing) {
      co_return false;
    }
    co_await this->changed.async_wait(kAwait);
  }
  const auto head = co_await this->caller.ReadHead();
  this->idle_due = TimePoint::max();
  if (!head && head.error() == HeadError::kClosed) {
    this->Fail(BodyError::kClosed);
    co_return false;
  }
  if (this->closing) {
    co_return false;
  }
  this->Begin(head);
  co_return head.has_value();
}

bool CallerSession::MayRead() const {
  if (this->closing) {
    return false;
  }
  return this->exchanges.empty() ||
         (this->exchanges.size() < kMostPipelined &&
          this->exchanges.back()->IsReleased() && !this->context.MustClose());
}

void CallerSession::Begin(tl::expected<void, HeadError> head) {
  auto exchange =
      std::make_shared<ProxyExchange>(this->context, this->shared_from_this());
  this->exchanges.push_back(exchange);
  net::co_spawn(this->strand, exchange->Run(head),
                [self = this->shared_from_this(), exchange](
                    const std::exception_ptr& error, bool keep) {
                  if (error) {
                    exchange->LogException();
                  }
                  self->OnDone(exchange, keep && !error);
                });
}

void CallerSession::OnDone(const std::shared_ptr<ProxyExchange>& exchange,
                           bool keep) {
  std::erase(this->exchanges, exchange);
  this->caller_due = TimePoint::max();
  if (!keep) {
    this->Fail(BodyError::kClosed);
    this->caller.Close();
  } else if (this->exchanges.empty()) {
    this->ExpectNextRequest();
  }
  this->Changed();
}

// Nothing more can be read or written: ends all exchanges.
void CallerSession::Fail(BodyError error) {
  this->closing = true;
  const auto all = this->exchanges;
  for (const auto& each : all) {
    each->OnCallerFailed(error);
  }
  this->Changed();
}

void CallerSession::Changed() {
  this->changed.cancel();
}

net::awaitable<bool> CallerSession::AwaitTurn(const ProxyExchange& exchange) {
  while (!this->IsTurn(exchange) && !exchange.HasCallerFailed()) {
    co_await this->changed.async_wait(kAwait);
  }
  co_return !exchange.HasCallerFailed();
}

bool CallerSession::IsTurn(const ProxyExchange& exchange) const {
  return !this->exchanges.empty() && this->exchanges.front().get() == &exchange;
}

bool CallerSession::HasBehind(const ProxyExchange& exchange) const {
  return !this->exchanges.empty() && this->exchanges.back().get() != &exchange;
}

void CallerSession::OnReleased() {
  this->Changed();
}

void CallerSession::StopReading(const ProxyExchange& last) {
  this->closing = true;
  const auto all = this->exchanges;
  for (const auto& each : all) {
    if (each.get() != &last) {
      each->OnCallerFailed(BodyError::kClosed);
    }
  }
  this->Changed();
}

net::awaitable<void> CallerSession::CloseGracefully() {
  boost::system::error_code error;
  this->caller.Socket().shutdown(net::ip::tcp::socket::shutdown_send, error);
  this->caller_due = this->context.clock.Now() + kLingerTime;
  this->GuardDeadlines();
  std::vector<char> space(kDiscardBytes);
  std::size_t total = 0;
  while (!error && total < kLingerBytes) {
    const auto [read_error, bytes] =
        co_await this->caller.Socket().async_read_some(net::buffer(space),
                                                       kAwait);
    error = read_error;
    total += bytes;
  }
}

void CallerSession::ExpectCaller(bool expected) {
  this->caller_due = expected ? this->context.IdleLimit() : TimePoint::max();
  this->GuardDeadlines();
}

void CallerSession::ExpectNextRequest() {
  this->idle_due = this->context.IdleLimit();
  this->GuardDeadlines();
}

// The timer stays armed for the earliest time asked for and is armed again when
// it finds nothing due, so that most requests touch no timer.
void CallerSession::GuardDeadlines() {
  const TimePoint next = std::min(this->caller_due, this->idle_due);
  if (next >= this->watchdog_armed) {
    return;
  }
  this->watchdog_armed = next;
  this->watchdog.expires_at(next);
  this->watchdog.async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) {
          self->OnWatchdog();
        }
      });
}

void CallerSession::OnWatchdog() {
  this->watchdog_armed = TimePoint::max();
  const TimePoint now = this->context.clock.Now();
  if (this->caller_due <= now || this->idle_due <= now) {
    this->caller_due = TimePoint::max();
    this->idle_due = TimePoint::max();
    this->Fail(BodyError::kClosed);
    this->caller.Close();
  }
  this->GuardDeadlines();
}

}  // namespace acacia
