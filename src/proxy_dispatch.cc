// The part of ProxyExchange that talks to the dispatcher: it reports events,
// carries out the dispatcher's actions and completes the request.
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <utility>

#include "src/keep_running.h"
#include "src/log_event.h"
#include "src/proxy_exchange.h"
#include "src/request_quarantine.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr Duration kUnboundedWorkDeadline = std::chrono::hours(24);

}  // namespace

std::shared_ptr<void> ProxyExchange::HoldReference() {
  return this->shared_from_this();
}

void ProxyExchange::Push(const DispatchAction& action) {
  const std::lock_guard lock(this->pending_actions_mutex);
  this->pending_actions.push_back(action);
}

void ProxyExchange::Wake() {
  net::post(this->Strand(), [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->RunGuarded([&self] { self->ProcessActions(); });
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

// Later requests that were already read are answered before a draining entry
// closes the connection.
bool ProxyExchange::MustClose() const {
  return this->context.MustClose() && !this->MustKeepOpen();
}

bool ProxyExchange::MustKeepOpen() const {
  return this->session->HasLaterRequests(*this);
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

void ProxyExchange::EnableCallerTimeout(bool enabled) {
  this->session->EnableCallerTimeout(enabled);
}

// An armed timer is moved only to an earlier time. If it fires before any
// deadline has passed, OnWatchdog arms it again, so most requests do not touch
// the timer.
void ProxyExchange::ArmWatchdog() {
  TimePoint next = std::min(this->start_deadline, this->upload_deadline);
  for (const auto& attempt : this->attempts) {
    next = std::min(next, attempt->ProgressDeadline());
  }
  if (next >= this->watchdog_expiry) {
    return;
  }
  this->watchdog_expiry = next;
  this->watchdog.expires_at(next);
  this->watchdog.async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) {
          self->RunGuarded([&self] { self->OnWatchdog(); });
        }
      });
}

void ProxyExchange::OnWatchdog() {
  this->watchdog_expiry = TimePoint::max();
  const TimePoint now = this->context.clock.Now();
  if (this->start_deadline <= now) {
    this->start_deadline = TimePoint::max();
    this->EndAtDeadline(ErrorKind::kDeadlineTooShort);
  }
  if (this->upload_deadline <= now) {
    this->upload_deadline = TimePoint::max();
    this->EndAtDeadline(ErrorKind::kBackendTimeout);
  }
  for (const auto& attempt : this->attempts) {
    if (attempt->ProgressDeadline() <= now) {
      attempt->OnProgressTimeout();
    }
  }
  this->ArmWatchdog();
}

// Ends the request with its final answer or, if an answer is being relayed,
// breaks it off.
void ProxyExchange::EndAtDeadline(ErrorKind kind) {
  if (!this->exchange || !this->service || this->IsOver()) {
    return;
  }
  this->refusal = kind;
  this->ReportCallerLeft();
}

bool ProxyExchange::MayHaveBeenSent() const {
  return this->exchange->outcome_unknown || !this->attempts.empty();
}

bool ProxyExchange::IsTooLateToPassOn() const {
  return !this->MayHaveBeenSent() &&
         !this->context.MayPassOn(this->exchange->deadline);
}

void ProxyExchange::OnAdmissionEnd() {
  if (this->exchange && this->IsTooLateToPassOn()) {
    this->RefuseForStop();
  }
}

void ProxyExchange::OnStopEnd() {
  if (!this->exchange) {
    return;
  }
  if (this->MayHaveBeenSent()) {
    this->EndAtDeadline(ErrorKind::kBackendTimeout);
  } else {
    this->RefuseForStop();
  }
}

void ProxyExchange::RefuseForStop() {
  if (this->is_reading_body) {
    this->refusal = ErrorKind::kStopping;
    this->caller.CancelReads();
  } else if (this->is_dispatched) {
    this->EndAtDeadline(ErrorKind::kStopping);
  }
}

void ProxyExchange::ReportCallerLeft() {
  this->service->HandleEvent(
      [this](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnCallerLeft(this->exchange->id, now);
      },
      this);
  this->CancelAttempts();
  this->Signal();
}

net::awaitable<bool> ProxyExchange::Dispatch() {
  const RequestId id = this->exchange->id;
  this->is_dispatched = true;
  this->PrepareWork();
  this->AllowPipelining();
  this->context.registry.Add(id, this->weak_from_this());
  this->service->HandleEvent(
      [this](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnRequest(this->exchange->work, now);
      },
      this);
  this->ProcessActions();
  bool watching = false;
  while (!this->IsOver()) {
    if (!watching && !this->allows_pipelining &&
        this->exchange->body_complete && this->exchange->active_uploads == 0) {
      watching = true;
      this->caller.WatchForClose([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->RunGuarded(
              [&self] { self->OnCallerFailed(BodyError::kClosed); });
        }
      });
    }
    co_await this->WaitForSignal();
  }
  this->context.registry.Remove(id);
  this->start_deadline = TimePoint::max();
  this->upload_deadline = TimePoint::max();
  if (!this->allows_pipelining) {
    this->caller.StopWatching();
  }
  this->CancelAttempts();
  while (!this->attempts.empty() || this->exchange->active_uploads > 0) {
    co_await this->WaitForSignal();
  }
  co_return co_await this->FinishDispatch();
}

// Lets the session read the next request if this one qualifies. The session's
// read then detects that the caller has closed the connection.
void ProxyExchange::AllowPipelining() {
  const Exchange& request = *this->exchange;
  this->allows_pipelining = request.work.idempotent && request.body_complete &&
                            request.keep_alive &&
                            request.work.work_class == WorkClass::kShort;
  if (this->allows_pipelining) {
    this->session->OnPipeliningAllowed();
  }
}

// The dispatcher cancels attempts at the deadline, which must not happen to
// long work or while a body is still being sent. For these the dispatcher gets
// a deadline of kUnboundedWorkDeadline; the exchange bounds the wait for a
// slot and, where the policy says so, the whole upload, and the attempt bounds
// the wait for the answer.
void ProxyExchange::PrepareWork() {
  Exchange& request = *this->exchange;
  const std::string_view host = request.head[boost::beast::http::field::host];
  request.work.fingerprint =
      FingerprintOf({request.head.method_string(), host, request.head.target(),
                     request.body_prefix, request.work.body_bytes});
  request.work.hedgeable = request.body_complete;
  const bool unbounded =
      request.work.work_class == WorkClass::kLong || !request.body_complete;
  request.work.deadline =
      unbounded ? this->start_time + kUnboundedWorkDeadline : request.deadline;
  this->start_deadline = unbounded ? request.deadline : TimePoint::max();
  const bool is_short_upload =
      request.work.work_class == WorkClass::kShort && !request.body_complete;
  if (is_short_upload && this->context.deadline_bounds_uploads) {
    this->upload_deadline = request.deadline;
  }
  this->ArmWatchdog();
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
  this->exchange->DropBody();
  const bool relay_started =
      this->relaying && this->relaying->HasRelayStarted();
  if (relay_started && this->relaying->IsRelayComplete()) {
    this->metrics->relayed->Increment();
    this->WriteSpan("relayed");
    const bool keep_open =
        this->exchange->keep_alive &&
        (this->allows_pipelining || this->caller.IsBodyDone());
    if (!keep_open) {
      this->OnClosingAnswer();
      co_await this->session->CloseGracefully(this->IsCallerSending());
    }
    co_return keep_open;
  }
  if (relay_started) {
    this->AbortAnswer();
    co_return false;
  }
  if (this->caller_failed == BodyError::kMalformed) {
    this->caller.MarkOutOfSync();
    co_return co_await this->Refuse(this->exchange->outcome_unknown
                                        ? ErrorKind::kBodyBroken
                                        : ErrorKind::kBadRequest);
  }
  if (this->caller_failed) {
    const auto error_index = static_cast<std::size_t>(ErrorKind::kCallerLeft);
    this->metrics->errors[error_index]->Increment();
    this->WriteSpan("caller_left");
    LogEvent("caller_left")
        .With("request", this->LoggedId())
        .With("service", this->service_name)
        .With("route", this->exchange->work.latency_key);
    co_return false;
  }
  co_return co_await this->Refuse(
      this->ErrorKindForOutcome(this->refusal.value_or(ErrorKind::kInternal)));
}

// The answer was truncated after relaying had started. The caller must be able
// to detect that it is incomplete.
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

// Returns `kind` or a replacement that agrees with what is known of the
// outcome: never "not run" once an attempt may have run, and "not run" for a
// timeout before any byte was sent.
ErrorKind ProxyExchange::ErrorKindForOutcome(ErrorKind kind) const {
  const bool may_have_run = this->exchange && this->exchange->outcome_unknown;
  if (kind == ErrorKind::kEntryFailed) {
    return may_have_run ? ErrorKind::kInternal : kind;
  }
  if (kind == ErrorKind::kBackendTimeout && !may_have_run) {
    return ErrorKind::kConnectFailed;
  }
  if (AnswerFor(kind).outcome == Outcome::kUnknown || !may_have_run) {
    return kind;
  }
  return ErrorKind::kBackendBroken;
}

std::optional<DispatchAction> ProxyExchange::PopAction() {
  const std::lock_guard lock(this->pending_actions_mutex);
  if (this->pending_actions.empty()) {
    return std::nullopt;
  }
  DispatchAction action = std::move(this->pending_actions.front());
  this->pending_actions.pop_front();
  return action;
}

void ProxyExchange::ProcessActions() {
  while (const auto action = this->PopAction()) {
    // Ignore actions for a request that has ended.
    if (!this->exchange || RequestIdOf(*action) != this->exchange->id ||
        this->IsOver()) {
      continue;
    }
    std::visit([this](const auto& each) { this->Handle(each); }, *action);
  }
}

void ProxyExchange::Handle(const StartAttempt& action) {
  this->start_deadline = TimePoint::max();
  if (this->IsTooLateToPassOn()) {
    this->RefuseForStop();
    return;
  }
  auto attempt = std::make_shared<ProxyAttempt>(this->context, *this,
                                                *this->exchange, action);
  this->attempts.push_back(attempt);
  net::co_spawn(this->Strand(), attempt->Run(),
                [self = this->shared_from_this(),
                 attempt](const std::exception_ptr& error) {
                  self->OnAttemptDone(attempt, error);
                });
}

void ProxyExchange::OnAttemptDone(const std::shared_ptr<ProxyAttempt>& attempt,
                                  const std::exception_ptr& error) {
  std::erase(this->attempts, attempt);
  if (error) {
    LogEvent("attempt_failed", LogSeverity::kError)
        .With("request", this->LoggedId())
        .With("backend_server", attempt->Backend())
        .With("reason", DescribeException(error));
    const bool is_needed = !attempt->IsCancelled();
    attempt->Cancel();
    if (is_needed) {
      this->OnException(error);
    }
  }
  this->Signal();
}

void ProxyExchange::RunGuarded(const std::function<void()>& callback) {
  try {
    callback();
  } catch (...) {
    this->OnException(std::current_exception());
  }
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
  this->service->HandleEvent(
      [&](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnAnswerHead(this->exchange->id, attempt.Id(),
                                       http_status,
                                       this->exchange->IsReplayable(), now);
      },
      this);
  this->ProcessActions();
  const bool relay = this->relaying.get() == &attempt && !attempt.IsCancelled();
  if (relay) {
    const std::chrono::duration<double> elapsed =
        this->context.clock.Now() - this->start_time;
    this->metrics->latency->Observe(elapsed.count());
  }
  return relay;
}

void ProxyExchange::OnBackendNotice(ProxyAttempt& attempt,
                                    const BackendNotice& notice) {
  this->service->HandleEvent(
      [&](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnBackendNotice(this->exchange->id, attempt.Id(),
                                          notice, now);
      },
      this);
  this->ProcessActions();
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
                             attempt.LastReportedLoad(),
                             attempt.NamedRateLimit()};
  this->service->HandleEvent(
      [&](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.OnAttemptEnd(report, now);
      },
      this);
  this->ProcessActions();
}

void ProxyExchange::OnCallerFailed(BodyError error) {
  if (this->caller_failed) {
    return;
  }
  // If an answer is being written, the failing write ends it.
  const bool has_service = this->exchange && this->service;
  if (has_service && this->IsOver()) {
    return;
  }
  this->caller_failed = error;
  if (has_service) {
    this->ReportCallerLeft();
  }
}

}  // namespace acacia
