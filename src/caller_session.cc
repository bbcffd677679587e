#include "src/caller_session.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>
#include <vector>

#include "src/keep_running.h"
#include "src/log_event.h"
#include "src/proxy_exchange.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// Requests of one connection that are served concurrently. Each may hold a head
// and a buffered answer, so this bounds the memory of a connection.
constexpr std::size_t kMaxPipelinedRequests = 8;
// How long a closing connection accepts and discards input, so that a TCP reset
// does not destroy the answer.
constexpr Duration kMaxLingerTime = std::chrono::seconds(2);
constexpr std::size_t kMaxLingerBytes = 1024 * 1024;
constexpr std::size_t kDiscardBufferBytes = 16 * 1024;

}  // namespace

CallerSession::CallerSession(EntryContext& context,
                             net::ip::tcp::socket socket,
                             const SessionStrand& strand)
    : context(context),
      strand(strand),
      caller(std::move(socket), strand, context.settings.max_header_bytes),
      state_changed(strand, TimePoint::max()),
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
          self->LogException(error);
          self->AbortExchanges(BodyError::kClosed);
        }
        self->caller.Close();
      });
}

void CallerSession::LogException(const std::exception_ptr& error) const {
  LogEvent("session_failed", LogSeverity::kError)
      .With("unanswered", this->exchanges.size())
      .With("reason", DescribeException(error));
}

void CallerSession::CloseIfIdle() {
  net::post(this->strand, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->exchanges.empty() && self->caller.IsIdle()) {
      self->caller.Close();
    }
  });
}

void CallerSession::CloseForAnother() {
  this->idle_since = TimePoint::max();
  this->CloseIfIdle();
}

void CallerSession::CloseNow() {
  net::post(this->strand, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->AbortExchanges(BodyError::kClosed);
      self->caller.Close();
    }
  });
}

void CallerSession::EndAdmission() {
  this->ForEachExchange(&ProxyExchange::OnAdmissionEnd);
}

void CallerSession::EndRequests() {
  this->ForEachExchange(&ProxyExchange::OnStopEnd);
}

void CallerSession::ForEachExchange(void (ProxyExchange::*action)()) {
  net::post(this->strand, [weak = this->weak_from_this(), action] {
    if (const auto self = weak.lock()) {
      const auto all = self->exchanges;
      for (const auto& each : all) {
        (each.get()->*action)();
      }
    }
  });
}

net::awaitable<void> CallerSession::Run() {
  this->StartIdleTimeout();
  bool more = true;
  while (more) {
    try {
      more = co_await this->ReadNext();
    } catch (...) {
      // The requests that have been read are answered.
      this->LogException(std::current_exception());
      this->closing = true;
      more = false;
    }
  }
  while (!this->exchanges.empty()) {
    co_await this->state_changed.async_wait(kAwait);
  }
}

net::awaitable<bool> CallerSession::ReadNext() {
  while (!this->MayReadNext()) {
    if (this->closing) {
      co_return false;
    }
    co_await this->state_changed.async_wait(kAwait);
  }
  const auto head = co_await this->caller.ReadHead();
  this->idle_deadline = TimePoint::max();
  this->idle_since = TimePoint::max();
  this->was_used = true;
  if (!head && head.error() == HeadError::kClosed) {
    this->AbortExchanges(BodyError::kClosed);
    co_return false;
  }
  if (this->closing) {
    co_return false;
  }
  this->StartExchange(head);
  co_return head.has_value();
}

bool CallerSession::MayReadNext() const {
  if (this->closing) {
    return false;
  }
  return this->exchanges.empty() ||
         (this->exchanges.size() < kMaxPipelinedRequests &&
          this->exchanges.back()->AllowsPipelining() &&
          !this->context.MustClose());
}

void CallerSession::StartExchange(tl::expected<void, HeadError> head) {
  auto exchange =
      std::make_shared<ProxyExchange>(this->context, this->shared_from_this());
  this->exchanges.push_back(exchange);
  net::co_spawn(this->strand, exchange->Run(head),
                [self = this->shared_from_this(), exchange](
                    const std::exception_ptr& error, bool keep_open) {
                  if (error) {
                    exchange->OnException(error);
                  }
                  self->OnExchangeDone(exchange, keep_open && !error);
                });
}

void CallerSession::OnExchangeDone(
    const std::shared_ptr<ProxyExchange>& exchange,
    bool keep_open) {
  std::erase(this->exchanges, exchange);
  this->caller_deadline = TimePoint::max();
  if (!keep_open) {
    this->AbortExchanges(BodyError::kClosed);
    this->caller.Close();
  } else if (this->exchanges.empty()) {
    this->StartIdleTimeout();
  }
  this->NotifyChanged();
}

// Ends all exchanges because the connection can no longer be used.
void CallerSession::AbortExchanges(BodyError error) {
  this->closing = true;
  const auto all = this->exchanges;
  for (const auto& each : all) {
    each->OnCallerFailed(error);
  }
  this->NotifyChanged();
}

void CallerSession::NotifyChanged() {
  this->state_changed.cancel();
}

net::awaitable<bool> CallerSession::AwaitTurn(const ProxyExchange& exchange) {
  while (!this->IsTurn(exchange) && !exchange.HasCallerFailed()) {
    co_await this->state_changed.async_wait(kAwait);
  }
  co_return !exchange.HasCallerFailed();
}

bool CallerSession::IsTurn(const ProxyExchange& exchange) const {
  return !this->exchanges.empty() && this->exchanges.front().get() == &exchange;
}

bool CallerSession::HasLaterRequests(const ProxyExchange& exchange) const {
  return !this->exchanges.empty() && this->exchanges.back().get() != &exchange;
}

void CallerSession::OnPipeliningAllowed() {
  this->NotifyChanged();
}

void CallerSession::StopReading(const ProxyExchange& last) {
  this->closing = true;
  const auto all = this->exchanges;
  for (const auto& each : all) {
    if (each.get() != &last) {
      each->OnCallerFailed(BodyError::kClosed);
    }
  }
  this->NotifyChanged();
}

net::awaitable<void> CallerSession::CloseGracefully(bool is_sending) {
  boost::system::error_code error;
  this->caller.Socket().shutdown(net::ip::tcp::socket::shutdown_send, error);
  this->caller_deadline = this->context.clock.Now() + kMaxLingerTime;
  if (is_sending) {
    this->caller_deadline =
        std::max(this->caller_deadline, this->context.StopEnd());
  }
  this->ArmWatchdog();
  std::vector<char> scratch(kDiscardBufferBytes);
  std::size_t total = 0;
  while (!error && total < kMaxLingerBytes) {
    const auto [read_error, bytes] =
        co_await this->caller.Socket().async_read_some(net::buffer(scratch),
                                                       kAwait);
    error = read_error;
    total += bytes;
  }
}

void CallerSession::EnableCallerTimeout(bool enabled) {
  this->caller_deadline =
      enabled ? this->context.IdleDeadline() : TimePoint::max();
  this->ArmWatchdog();
}

void CallerSession::StartIdleTimeout() {
  this->idle_since = this->context.clock.Now();
  this->idle_deadline = this->context.IdleDeadline();
  this->ArmWatchdog();
}

// An armed timer is moved only to an earlier time. If it fires before any
// deadline has passed, OnWatchdog arms it again, so most requests do not touch
// the timer.
void CallerSession::ArmWatchdog() {
  const TimePoint next = std::min(this->caller_deadline, this->idle_deadline);
  if (next >= this->watchdog_expiry) {
    return;
  }
  this->watchdog_expiry = next;
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
  this->watchdog_expiry = TimePoint::max();
  const TimePoint now = this->context.clock.Now();
  if (this->caller_deadline <= now || this->idle_deadline <= now) {
    this->caller_deadline = TimePoint::max();
    this->idle_deadline = TimePoint::max();
    this->AbortExchanges(BodyError::kClosed);
    this->caller.Close();
  }
  this->ArmWatchdog();
}

}  // namespace acacia
