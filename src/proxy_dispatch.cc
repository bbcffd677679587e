// The part of ProxyExchange that deals with the dispatcher: feeding events,
// carrying out actions, and ending a request.
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <utility>

#include "src/log_event.h"
#include "src/proxy_exchange.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr Duration kUnboundedWork = std::chrono::hours(24);

}  // namespace

std::shared_ptr<void> ProxyExchange::KeepAlive() {
  return this->shared_from_this();
}

void ProxyExchange::Push(const DispatchAction& action) {
  const std::lock_guard lock(this->mailbox_mutex);
  this->mailbox.push_back(action);
}

void ProxyExchange::Wake() {
  net::post(this->Strand(), [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Drain();
    }
  });
}

void ProxyExchange::Signal() {
  this->signal.cancel();
}

net::awaitable<void> ProxyExchange::WaitForSignal() {
  this->signal.expires_at(TimePoint::max());
  co_await this->signal.async_wait(kAwait);
}

// Requests that were read behind this one are answered before the connection
// closes.
bool ProxyExchange::MustClose() const {
  return this->context.MustClose() && !this->MustKeep();
}

bool ProxyExchange::MustKeep() const {
  return this->session->HasBehind(*this);
}

void ProxyExchange::OnClosingAnswer() {
  this->session->StopReading(*this);
}

net::awaitable<bool> ProxyExchange::AwaitTurn() {
  co_return co_await this->session->AwaitTurn(*this);
}

bool ProxyExchange::IsTurn() const {
  return this->session->IsTurn(*this);
}

void ProxyExchange::ExpectCaller(bool expected) {
  this->session->ExpectCaller(expected);
}

// The timer stays armed for the earliest time asked for and is armed again when
// it finds nothing due, so that most requests touch no timer.
void ProxyExchange::GuardDeadlines() {
  TimePoint next = this->start_due;
  for (const auto& attempt : this->attempts) {
    next = std::min(next, attempt->Due());
  }
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

void ProxyExchange::OnWatchdog() {
  this->watchdog_armed = TimePoint::max();
  const TimePoint now = this->context.clock.Now();
  if (this->start_due <= now) {
    this->start_due = TimePoint::max();
    this->RefuseUnstarted();
  }
  for (const auto& attempt : this->attempts) {
    if (attempt->Due() <= now) {
      attempt->Expire();
    }
  }
  this->GuardDeadlines();
}

// No attempt has started within the deadline.
void ProxyExchange::RefuseUnstarted() {
  if (!this->exchange || !this->service || this->IsOver()) {
    return;
  }
  this->refusal = ErrorKind::kDeadlineTooShort;
  this->TellDispatcherOfLeaving();
}

void ProxyExchange::TellDispatcherOfLeaving() {
  this->service->Feed(
      [this](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnCallerLeft(this->exchange->id, now);
      },
      this);
  this->CancelAttempts();
  this->Signal();
}

net::awaitable<bool> ProxyExchange::Dispatch() {
  const RequestId id = this->exchange->id;
  this->PrepareWork();
  this->ReleaseCaller();
  this->context.registry.Add(id, this->weak_from_this());
  this->service->Feed(
      [this](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnRequest(this->exchange->work, now);
      },
      this);
  this->Drain();
  bool watching = false;
  while (!this->IsOver()) {
    if (!watching && !this->released && this->exchange->body_read &&
        this->exchange->uploads == 0) {
      watching = true;
      this->caller.WatchForLeaving([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnCallerFailed(BodyError::kClosed);
        }
      });
    }
    co_await this->WaitForSignal();
  }
  this->context.registry.Remove(id);
  this->start_due = TimePoint::max();
  if (!this->released) {
    this->caller.StopWatching();
  }
  this->CancelAttempts();
  while (!this->attempts.empty() || this->exchange->uploads > 0) {
    co_await this->WaitForSignal();
  }
  co_return co_await this->FinishDispatch();
}

// From here on the session reads the next request, and so notices that the
// caller has left.
void ProxyExchange::ReleaseCaller() {
  const Exchange& request = *this->exchange;
  this->released = request.work.idempotent && request.body_read &&
                   request.keep_alive &&
                   request.work.work_class == WorkClass::kShort;
  if (this->released) {
    this->session->OnReleased();
  }
}

// The dispatcher ends attempts at the deadline. Long work, and a body that is
// still being sent, must not end so: the dispatcher hears of a deadline far
// away, the session bounds the wait for a slot, and the attempt the wait for
// the answer.
void ProxyExchange::PrepareWork() {
  Exchange& request = *this->exchange;
  request.work.hedgeable = request.body_read;
  const bool unbounded =
      request.work.work_class == WorkClass::kLong || !request.body_read;
  request.work.deadline =
      unbounded ? this->began + kUnboundedWork : request.deadline;
  this->start_due = unbounded ? request.deadline : TimePoint::max();
  this->GuardDeadlines();
}

bool ProxyExchange::IsOver() const {
  if (this->caller_failed || this->refusal) {
    return true;
  }
  return this->relaying &&
         std::find(this->attempts.begin(), this->attempts.end(),
                   this->relaying) == this->attempts.end();
}

net::awaitable<bool> ProxyExchange::FinishDispatch() {
  const bool begun = this->relaying && this->relaying->HasBegunRelay();
  if (begun && this->relaying->IsRelayedWhole()) {
    this->metrics->relayed->Increment();
    this->WriteSpan("relayed");
    const bool keep = this->exchange->keep_alive &&
                      (this->released || this->caller.IsBodyDone());
    if (!keep) {
      this->OnClosingAnswer();
      co_await this->session->CloseGracefully();
    }
    co_return keep;
  }
  if (begun) {
    this->AbortAnswer();
    co_return false;
  }
  if (this->caller_failed == BodyError::kMalformed) {
    this->caller.Distrust();
    co_return co_await this->Refuse(this->exchange->outcome_unknown
                                        ? ErrorKind::kBodyBroken
                                        : ErrorKind::kBadRequest);
  }
  if (this->caller_failed) {
    const auto left = static_cast<std::size_t>(ErrorKind::kCallerLeft);
    this->metrics->errors[left]->Increment();
    this->WriteSpan("caller_left");
    LogEvent("caller_left")
        .With("request", this->LoggedId())
        .With("service", this->service_name)
        .With("route", this->exchange->work.latency_key);
    co_return false;
  }
  co_return co_await this->Refuse(
      this->TruthfulKind(this->refusal.value_or(ErrorKind::kInternal)));
}

// The answer broke off: the caller must see that it is not whole.
void ProxyExchange::AbortAnswer() {
  this->metrics->aborted->Increment();
  this->WriteSpan("aborted");
  LogEvent("answer_aborted", LogSeverity::kWarning)
      .With("service", this->service_name)
      .With("request", this->exchange->id)
      .With("backend_server", this->relaying->Backend());
  if (this->relaying->EndsWithClose()) {
    this->caller.Reset();
  } else {
    this->caller.Close();
  }
}

// Never says "not run" once an attempt may have run, and says it when the time
// ran out before any byte was sent.
ErrorKind ProxyExchange::TruthfulKind(ErrorKind kind) const {
  if (kind == ErrorKind::kBackendTimeout && !this->exchange->outcome_unknown) {
    return ErrorKind::kConnectFailed;
  }
  if (AnswerFor(kind).outcome == Outcome::kUnknown ||
      !this->exchange->outcome_unknown) {
    return kind;
  }
  return ErrorKind::kBackendBroken;
}

std::optional<DispatchAction> ProxyExchange::TakeAction() {
  const std::lock_guard lock(this->mailbox_mutex);
  if (this->mailbox.empty()) {
    return std::nullopt;
  }
  DispatchAction action = std::move(this->mailbox.front());
  this->mailbox.pop_front();
  return action;
}

void ProxyExchange::Drain() {
  while (const auto action = this->TakeAction()) {
    // Actions for a request that has ended are of no use any more.
    if (!this->exchange || RequestOf(*action) != this->exchange->id ||
        this->IsOver()) {
      continue;
    }
    std::visit([this](const auto& each) { this->Handle(each); }, *action);
  }
}

void ProxyExchange::Handle(const StartAttempt& action) {
  this->start_due = TimePoint::max();
  auto attempt = std::make_shared<ProxyAttempt>(this->context, *this,
                                                *this->exchange, action);
  this->attempts.push_back(attempt);
  net::co_spawn(this->Strand(), attempt->Run(),
                [self = this->shared_from_this(),
                 attempt](const std::exception_ptr& error) {
                  if (error) {
                    LogEvent("attempt_failed", LogSeverity::kError)
                        .With("backend_server", attempt->Backend());
                    attempt->Cancel();
                  }
                  std::erase(self->attempts, attempt);
                  self->Signal();
                });
}

void ProxyExchange::Handle(const CancelAttempt& action) {
  for (const auto& attempt : this->attempts) {
    if (attempt->Id() == action.attempt) {
      attempt->Cancel();
    }
  }
}

void ProxyExchange::Handle(const RelayAnswer& action) {
  for (const auto& attempt : this->attempts) {
    if (attempt->Id() == action.attempt) {
      this->relaying = attempt;
    }
  }
}

void ProxyExchange::Handle(const RefuseRequest& action) {
  if (this->relaying) {
    return;
  }
  this->refusal = action.kind;
  this->retry_after = action.retry_after.value_or(kDefaultRetryAfter);
  this->CancelAttempts();
  this->Signal();
}

void ProxyExchange::CancelAttempts() {
  for (const auto& attempt : this->attempts) {
    attempt->Cancel();
  }
}

bool ProxyExchange::OnAnswerHead(ProxyAttempt& attempt, int http_status) {
  if (attempt.IsCancelled() || this->IsOver()) {
    return false;
  }
  this->service->Feed(
      [&](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnAnswerHead(this->exchange->id, attempt.Id(),
                                       http_status,
                                       this->exchange->IsReplayable(), now);
      },
      this);
  this->Drain();
  const bool relay = this->relaying.get() == &attempt && !attempt.IsCancelled();
  if (relay) {
    const std::chrono::duration<double> taken =
        this->context.clock.Now() - this->began;
    this->metrics->latency->Observe(taken.count());
  }
  return relay;
}

void ProxyExchange::OnAttemptEnd(ProxyAttempt& attempt, AttemptResult result) {
  this->metrics->attempts[static_cast<std::size_t>(result)]->Increment();
  if (this->caller_failed || this->refusal) {
    return;
  }
  const AttemptReport report{this->exchange->id,
                             attempt.Id(),
                             result,
                             this->exchange->IsReplayable(),
                             attempt.IsLeaving(),
                             attempt.LoadSeen()};
  this->service->Feed(
      [&](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnAttemptEnd(report, now);
      },
      this);
  this->Drain();
}

void ProxyExchange::OnCallerFailed(BodyError error) {
  if (this->caller_failed) {
    return;
  }
  // An answer that is being written ends with the failed write.
  const bool is_dispatched = this->exchange && this->service;
  if (is_dispatched && this->IsOver()) {
    return;
  }
  this->caller_failed = error;
  if (is_dispatched) {
    this->TellDispatcherOfLeaving();
  }
}

}  // namespace acacia
