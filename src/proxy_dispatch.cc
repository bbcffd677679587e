// The part of ProxySession that deals with the dispatcher: feeding events,
// carrying out actions, and ending a request.
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <utility>

#include "src/log_event.h"
#include "src/proxy_session.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr Duration kUnboundedWork = std::chrono::hours(24);

}  // namespace

std::shared_ptr<void> ProxySession::KeepAlive() {
  return this->shared_from_this();
}

void ProxySession::CloseNow() {
  net::post(this->strand, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerFailed(BodyError::kClosed);
      self->caller.Close();
    }
  });
}

void ProxySession::Push(const DispatchAction& action) {
  const std::lock_guard lock(this->mailbox_mutex);
  this->mailbox.push_back(action);
}

void ProxySession::Wake() {
  net::post(this->strand, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Drain();
    }
  });
}

void ProxySession::Signal() {
  this->signal.cancel();
}

net::awaitable<void> ProxySession::WaitForSignal() {
  this->signal.expires_at(TimePoint::max());
  co_await this->signal.async_wait(kAwait);
}

bool ProxySession::MustClose() const {
  const EntryPhase phase = this->context.phase.load();
  return phase == EntryPhase::kDraining ||
         (phase == EntryPhase::kLeaving && this->context.close_while_leaving);
}

void ProxySession::ExpectCaller(bool expected) {
  const auto idle =
      std::chrono::milliseconds(this->context.settings.idle_caller_timeout_ms);
  this->caller_due =
      expected ? this->context.clock.Now() + idle : TimePoint::max();
  this->GuardDeadlines();
}

// The timer stays armed for the earliest time asked for and is armed again when
// it finds nothing due, so that most requests touch no timer.
void ProxySession::GuardDeadlines() {
  TimePoint next = std::min(this->caller_due, this->start_due);
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

void ProxySession::OnWatchdog() {
  this->watchdog_armed = TimePoint::max();
  const TimePoint now = this->context.clock.Now();
  if (this->caller_due <= now) {
    this->caller_due = TimePoint::max();
    this->OnCallerFailed(BodyError::kClosed);
    this->caller.Close();
  }
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
void ProxySession::RefuseUnstarted() {
  if (!this->exchange || !this->service || this->IsOver()) {
    return;
  }
  this->refusal = ErrorKind::kDeadlineTooShort;
  this->TellDispatcherOfLeaving();
}

void ProxySession::TellDispatcherOfLeaving() {
  this->service->Feed(
      [this](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnCallerLeft(this->exchange->id, now);
      },
      this);
  this->CancelAttempts();
  this->Signal();
}

net::awaitable<bool> ProxySession::Dispatch() {
  const RequestId id = this->exchange->id;
  this->PrepareWork();
  this->context.registry.Add(id, this->weak_from_this());
  this->service->Feed(
      [this](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnRequest(this->exchange->work, now);
      },
      this);
  this->Drain();
  bool watching = false;
  while (!this->IsOver()) {
    if (!watching && this->exchange->body_read &&
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
  this->caller.StopWatching();
  this->CancelAttempts();
  while (!this->attempts.empty() || this->exchange->uploads > 0) {
    co_await this->WaitForSignal();
  }
  co_return co_await this->FinishDispatch();
}

// The dispatcher ends attempts at the deadline. Long work, and a body that is
// still being sent, must not end so: the dispatcher hears of a deadline far
// away, the session bounds the wait for a slot, and the attempt the wait for
// the answer.
void ProxySession::PrepareWork() {
  Exchange& request = *this->exchange;
  request.work.hedgeable = request.body_read;
  const bool unbounded =
      request.work.work_class == WorkClass::kLong || !request.body_read;
  request.work.deadline =
      unbounded ? this->began + kUnboundedWork : request.deadline;
  this->start_due = unbounded ? request.deadline : TimePoint::max();
  this->GuardDeadlines();
}

bool ProxySession::IsOver() const {
  if (this->caller_failed || this->refusal) {
    return true;
  }
  return this->relaying &&
         std::find(this->attempts.begin(), this->attempts.end(),
                   this->relaying) == this->attempts.end();
}

net::awaitable<bool> ProxySession::FinishDispatch() {
  const bool begun = this->relaying && this->relaying->HasBegunRelay();
  if (begun && this->relaying->IsRelayedWhole()) {
    this->metrics->relayed->Increment();
    this->WriteSpan("relayed");
    const bool keep = this->exchange->keep_alive && this->caller.IsBodyDone();
    if (!keep) {
      co_await this->CloseGracefully();
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
    co_return false;
  }
  co_return co_await this->Refuse(
      this->TruthfulKind(this->refusal.value_or(ErrorKind::kInternal)));
}

// The answer broke off: the caller must see that it is not whole.
void ProxySession::AbortAnswer() {
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
ErrorKind ProxySession::TruthfulKind(ErrorKind kind) const {
  if (kind == ErrorKind::kBackendTimeout && !this->exchange->outcome_unknown) {
    return ErrorKind::kConnectFailed;
  }
  if (AnswerFor(kind).outcome == Outcome::kUnknown ||
      !this->exchange->outcome_unknown) {
    return kind;
  }
  return ErrorKind::kBackendBroken;
}

std::optional<DispatchAction> ProxySession::TakeAction() {
  const std::lock_guard lock(this->mailbox_mutex);
  if (this->mailbox.empty()) {
    return std::nullopt;
  }
  DispatchAction action = std::move(this->mailbox.front());
  this->mailbox.pop_front();
  return action;
}

void ProxySession::Drain() {
  while (const auto action = this->TakeAction()) {
    // Actions for a request that has ended are of no use any more.
    if (!this->exchange || RequestOf(*action) != this->exchange->id ||
        this->IsOver()) {
      continue;
    }
    std::visit([this](const auto& each) { this->Handle(each); }, *action);
  }
}

void ProxySession::Handle(const StartAttempt& action) {
  this->start_due = TimePoint::max();
  auto attempt = std::make_shared<ProxyAttempt>(this->context, *this,
                                                *this->exchange, action);
  this->attempts.push_back(attempt);
  net::co_spawn(this->strand, attempt->Run(),
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

void ProxySession::Handle(const CancelAttempt& action) {
  for (const auto& attempt : this->attempts) {
    if (attempt->Id() == action.attempt) {
      attempt->Cancel();
    }
  }
}

void ProxySession::Handle(const RelayAnswer& action) {
  for (const auto& attempt : this->attempts) {
    if (attempt->Id() == action.attempt) {
      this->relaying = attempt;
    }
  }
}

void ProxySession::Handle(const RefuseRequest& action) {
  if (this->relaying) {
    return;
  }
  this->refusal = action.kind;
  this->CancelAttempts();
  this->Signal();
}

void ProxySession::CancelAttempts() {
  for (const auto& attempt : this->attempts) {
    attempt->Cancel();
  }
}

bool ProxySession::OnAnswerHead(ProxyAttempt& attempt, int http_status) {
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

void ProxySession::OnAttemptEnd(ProxyAttempt& attempt, AttemptResult result) {
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

void ProxySession::OnCallerFailed(BodyError error) {
  if (!this->exchange || !this->service || this->IsOver()) {
    return;
  }
  this->caller_failed = error;
  this->TellDispatcherOfLeaving();
}

}  // namespace acacia
