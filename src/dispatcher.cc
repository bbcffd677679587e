#include "src/dispatcher.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "src/check.h"
#include "src/dispatcher_state.h"
#include "src/retry_after.h"

namespace acacia {

namespace {

// An attempt that is stopped by the request's deadline counts as a timeout of
// its backend server only if it ran at least this long.
constexpr Duration kMinTimeoutAge = std::chrono::seconds(1);

}  // namespace

RequestState* Dispatcher::State::Find(RequestId request) {
  const auto found = this->requests.find(request);
  return found == this->requests.end() ? nullptr : &found->second;
}

bool Dispatcher::State::Admit(const Work& work, TimePoint now) {
  if (!this->accounts) {
    return true;
  }
  const auto found = this->accounts->find(work.account);
  return found == this->accounts->end() ||
         this->account_limiter.Admit(work.account, found->second, now);
}

bool Dispatcher::State::TryStart(RequestState& request, TimePoint now) {
  PooledBackend* backend = this->chooser->Pick(
      {request.work, request.failed, this->CanRetry(request, now)}, now);
  if (backend == nullptr) {
    return false;
  }
  this->StartOn(request, *backend, now);
  return true;
}

void Dispatcher::State::StartOn(RequestState& request,
                                PooledBackend& backend,
                                TimePoint now) {
  const Work& work = request.work;
  if (request.last_attempt == AttemptId()) {
    this->queue.Shares().OnStart(work.rank, now);
  }
  request.last_attempt = request.last_attempt.Next();
  RunningAttempt attempt{request.last_attempt,
                         &backend,
                         now,
                         {},
                         false,
                         this->chooser->IsFull(backend, now)};
  if (const auto overdue_after = this->chooser->SlowThreshold(work)) {
    attempt.overdue_at = now + *overdue_after;
    this->by_overdue.emplace(now + *overdue_after, work.request, attempt.id);
  }
  request.running.push_back(attempt);
  std::string belief = this->chooser->DescribePickInputs(backend, now);
  this->chooser->OnStart(backend, work, now);
  if (request.running.size() == 1) {
    this->hedging.OnStart(work, attempt.id, now);
  }
  this->by_deadline.emplace(work.deadline, work.request);
  this->actions.push_back(
      StartAttempt{work.request, request.last_attempt, backend.server.id,
                   !work.idempotent, backend.server.address,
                   backend.server.expected_instance, std::move(belief)});
}

// Frees the attempt's slot and removes the attempt.
void Dispatcher::State::EndAttempt(RequestState& request, AttemptId attempt) {
  const auto found = std::find_if(
      request.running.begin(), request.running.end(),
      [attempt](const RunningAttempt& each) { return each.id == attempt; });
  PooledBackend* backend = found->backend;
  const bool was_overdue = found->was_overdue;
  this->ClearOverdueTimer(request, *found);
  this->hedging.OnEnd(request.work.request, attempt);
  request.running.erase(found);
  this->chooser->OnRelease(*backend, request.work, was_overdue);
  this->start_share.OnOwnSlotFreed();
  if (request.running.empty()) {
    this->by_deadline.erase({request.work.deadline, request.work.request});
  }
}

void Dispatcher::State::ClearOverdueTimer(const RequestState& request,
                                          RunningAttempt& attempt) {
  if (attempt.overdue_at) {
    this->by_overdue.erase(
        {*attempt.overdue_at, request.work.request, attempt.id});
    attempt.overdue_at.reset();
  }
}

void Dispatcher::State::CancelAll(RequestState& request) {
  while (!request.running.empty()) {
    const AttemptId attempt = request.running.back().id;
    this->actions.push_back(CancelAttempt{request.work.request, attempt});
    this->EndAttempt(request, attempt);
  }
}

// Ends the request with an error. `not_run_kind` is reported only if no attempt
// may have run.
void Dispatcher::State::Refuse(RequestId request,
                               ErrorKind not_run_kind,
                               TimePoint now) {
  RequestState* found = this->Find(request);
  ACACIA_CHECK(found != nullptr);
  const ErrorKind kind = found->unknown_outcome.value_or(not_run_kind);
  std::optional<Duration> retry_after = this->QuarantineLeft(found->work, now);
  auto load = this->chooser->Load(found->work, now);
  if (load && this->is_ordered) {
    this->AddWaitingLoad(found->work.rank, *load, now);
  }
  if (!retry_after && load) {
    retry_after = RetryAfter(*load, this->random->Fraction());
  }
  this->actions.push_back(RefuseRequest{request, kind, retry_after});
  this->Finish(request);
}

std::optional<Duration> Dispatcher::State::QuarantineLeft(const Work& work,
                                                          TimePoint now) const {
  return this->quarantine == nullptr
             ? std::nullopt
             : this->quarantine->Remaining(work.fingerprint, now);
}

void Dispatcher::State::ReportToQuarantine(const RequestState& request,
                                           const RunningAttempt& attempt,
                                           AttemptResult result,
                                           TimePoint now) {
  if (this->quarantine == nullptr) {
    return;
  }
  const RequestFingerprint fingerprint = request.work.fingerprint;
  const BackendId& backend = attempt.backend->server.id;
  if (result == AttemptResult::kBroken || result == AttemptResult::kTruncated) {
    this->quarantine->OnBroken(fingerprint, backend, attempt.started, now);
  } else if (result == AttemptResult::kSuccess ||
             result == AttemptResult::kServerError) {
    this->quarantine->OnBackendAlive(backend, attempt.started, now);
    this->quarantine->OnAnswered(fingerprint, now);
  }
}

void Dispatcher::State::Finish(RequestId request) {
  const auto found = this->requests.find(request);
  if (found->second.account_limited) {
    this->account_limiter.Release(found->second.work.account);
  }
  this->queue.Remove(request);
  this->held.Remove(request);
  this->requests.erase(found);
}

void Dispatcher::State::RecordOutcome(const RequestState& request,
                                      const RunningAttempt& attempt,
                                      AttemptResult result,
                                      TimePoint now) {
  if (result == AttemptResult::kSuccess) {
    this->budget.OnAnswer(now);
  }
  this->chooser->OnOutcome(*attempt.backend,
                           {request.work, result, attempt.started,
                            attempt.was_overdue, attempt.started_at_capacity},
                           now);
}

void Dispatcher::State::ExpireRunning(TimePoint now) {
  while (!this->by_deadline.empty() &&
         this->by_deadline.begin()->first <= now) {
    const RequestId id = this->by_deadline.begin()->second;
    RequestState& request = *this->Find(id);
    request.MarkOutcomeUnknown(ErrorKind::kBackendTimeout);
    for (const RunningAttempt& attempt : request.running) {
      const bool ran_long_enough = now - attempt.started >= kMinTimeoutAge;
      if (ran_long_enough && !attempt.was_overdue) {
        this->RecordOutcome(request, attempt, AttemptResult::kTimedOut, now);
      }
      if (!attempt.is_hedge) {
        this->hedging.OnAbandoned(request.work, now - attempt.started);
      }
    }
    this->CancelAll(request);
    this->Refuse(id, ErrorKind::kBackendTimeout, now);
  }
}

void Dispatcher::State::UpdateNextTimer(TimePoint now) {
  this->next_timer = this->queue.NextExpiry();
  const auto include_time = [this](TimePoint at) {
    this->next_timer = std::min(this->next_timer.value_or(at), at);
  };
  if (!this->by_deadline.empty()) {
    include_time(this->by_deadline.begin()->first);
  }
  if (!this->by_overdue.empty()) {
    include_time(std::get<TimePoint>(*this->by_overdue.begin()));
  }
  if (const auto hedge_at = this->hedging.NextTimer()) {
    include_time(*hedge_at);
  }
  if (!this->queue.IsEmpty()) {
    include_time(std::min(
        this->chooser->NextReopenTime(now).value_or(now + kQueuePollInterval),
        now + kQueuePollInterval));
  }
  if (!this->held.IsEmpty()) {
    include_time(
        *this->held.NextTime(*this->windowed_budget, kQueuePollInterval, now));
  }
}

DispatchActions Dispatcher::State::TakeActions(TimePoint now) {
  this->StartHeld(now);
  this->StartQueued(now);
  this->RefuseEarly(now);
  this->UpdateNextTimer(now);
  return std::exchange(this->actions, {});
}

Dispatcher::Dispatcher(const ServiceName& service,
                       const InstanceId& self,
                       std::unique_ptr<RandomSource> random,
                       const ServiceView& view,
                       TimePoint now,
                       const ChooserFactory& make_chooser,
                       RequestQuarantine* quarantine,
                       HedgeHook on_hedge)
    : state(std::make_unique<State>(service,
                                    self,
                                    std::move(random),
                                    make_chooser,
                                    quarantine,
                                    std::move(on_hedge))) {
  this->OnView(view, now);
}

Dispatcher::~Dispatcher() = default;

DispatchActions Dispatcher::OnView(const ServiceView& view, TimePoint now) {
  this->state->chooser->Apply(view, now);
  if (view.policy.retry_window) {
    if (!this->state->windowed_budget) {
      this->state->windowed_budget.emplace();
    }
    this->state->windowed_budget->Configure(*view.policy.retry_window);
  }
  this->state->queue.Configure(view.policy.queue_length);
  this->state->is_ordered = view.is_ordered;
  this->state->max_waiting = view.policy.queue_length;
  this->state->budget.Configure(view.policy.retry_budget_percent);
  this->state->hedging.Configure(view.policy.hedge_percent);
  this->state->accounts = view.accounts;
  this->state->RefuseQueuedWithoutChoice(now);
  return this->state->TakeActions(now);
}

DispatchActions Dispatcher::OnServiceRemoved(TimePoint now) {
  this->state->chooser->Apply(ServiceView(), now);
  this->state->RefuseQueuedWithoutChoice(now);
  return this->state->TakeActions(now);
}

DispatchActions Dispatcher::OnRequest(const Work& work, TimePoint now) {
  State& state = *this->state;
  if (!state.Admit(work, now)) {
    return {RefuseRequest{work.request, ErrorKind::kAccountLimited}};
  }
  const bool limited = state.accounts && state.accounts->contains(work.account);
  RequestState& request = state.requests[work.request];
  request.work = work;
  request.account_limited = limited;
  request.arrived = now;
  state.queue.Shares().OnArrival(work.rank, now);
  state.budget.OnRequest();
  state.hedging.OnRequest(now);
  if (state.windowed_budget) {
    state.windowed_budget->OnRequest(now);
  }
  if (work.deadline <= now) {
    state.Refuse(work.request, ErrorKind::kDeadlineTooShort, now);
  } else if (state.QuarantineLeft(work, now)) {
    state.Refuse(work.request, ErrorKind::kQuarantined, now);
  } else if (!state.chooser->HasAlternative({})) {
    state.Refuse(work.request, ErrorKind::kNoBackend, now);
  } else if (state.queue.Size(work.work_class) > 0 ||
             (state.is_ordered &&
              state.waiting_reports.CountUpTo(work.rank, now) > 0) ||
             !state.TryStart(request, now)) {
    state.EnqueueOrRefuse(request, now);
  }
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnAnswerHead(RequestId request_id,
                                         AttemptId attempt_id,
                                         int http_status,
                                         bool replayable,
                                         TimePoint now) {
  State& state = *this->state;
  RequestState* request = state.Find(request_id);
  RunningAttempt* attempt =
      request == nullptr ? nullptr : request->FindAttempt(attempt_id);
  if (attempt == nullptr || request->relayed) {
    return {};
  }
  const bool server_error = http_status >= 500;
  const AttemptResult result =
      server_error ? AttemptResult::kServerError : AttemptResult::kSuccess;
  state.RecordOutcome(*request, *attempt, result, now);
  if (server_error) {
    request->MarkOutcomeUnknown(ErrorKind::kBackendBroken);
    request->failed.push_back(attempt->backend->server.id);
    const bool has_other_attempts = request->running.size() > 1;
    if (has_other_attempts ||
        state.MayRetry(*request, result, replayable, now)) {
      state.ReportToQuarantine(*request, *attempt, result, now);
      state.actions.push_back(CancelAttempt{request_id, attempt_id});
      state.EndAttempt(*request, attempt_id);
      request->sent_to.push_back(request->failed.back());
      if (!has_other_attempts && state.windowed_budget) {
        state.Hold(*request, result, false, now);
      } else if (!has_other_attempts) {
        state.Retry(*request, now);
      }
      return state.TakeActions(now);
    }
  }
  if (!server_error) {
    state.ReportHedgeOutcome(*request, *attempt, now);
  }
  for (std::size_t i = request->running.size(); i-- > 0;) {
    const AttemptId other = request->running[i].id;
    if (!(other == attempt_id)) {
      state.actions.push_back(CancelAttempt{request_id, other});
      state.EndAttempt(*request, other);
    }
  }
  request->relayed = attempt_id;
  state.ClearOverdueTimer(*request, request->running.front());
  state.hedging.OnEnd(request_id, attempt_id);
  state.by_deadline.erase({request->work.deadline, request_id});
  state.actions.push_back(RelayAnswer{request_id, attempt_id});
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnBackendNotice(RequestId request_id,
                                            AttemptId attempt_id,
                                            const BackendNotice& notice,
                                            TimePoint now) {
  State& state = *this->state;
  RequestState* request = state.Find(request_id);
  RunningAttempt* attempt =
      request == nullptr ? nullptr : request->FindAttempt(attempt_id);
  if (attempt == nullptr) {
    return {};
  }
  if (notice.leaving) {
    state.chooser->OnLeavingReported(*attempt->backend, now);
  }
  if (notice.pause) {
    state.chooser->OnPause(*attempt->backend, *notice.pause, now);
  }
  state.RefuseQueuedWithoutChoice(now);
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnAttemptEnd(const AttemptReport& report,
                                         TimePoint now) {
  State& state = *this->state;
  RequestState* request = state.Find(report.request);
  RunningAttempt* attempt =
      request == nullptr ? nullptr : request->FindAttempt(report.attempt);
  if (attempt == nullptr) {
    return {};
  }
  if (report.leaving) {
    state.chooser->OnLeavingReported(*attempt->backend, now);
  }
  if (report.reported_load) {
    state.chooser->OnReportedLoad(*attempt->backend, *report.reported_load,
                                  now);
  }
  state.chooser->OnRateLimit(*attempt->backend, report.rate_limit,
                             report.result, attempt->started, now);
  state.ReportToQuarantine(*request, *attempt, report.result, now);
  if (request->relayed) {
    if (report.result != AttemptResult::kSuccess &&
        report.result != AttemptResult::kServerError) {
      state.RecordOutcome(*request, *attempt, report.result, now);
    }
    state.EndAttempt(*request, report.attempt);
    state.Finish(report.request);
    return state.TakeActions(now);
  }
  state.RecordOutcome(*request, *attempt, report.result, now);
  const std::optional<ErrorKind> unknown_outcome =
      UnknownOutcomeKind(report.result);
  if (unknown_outcome || report.result == AttemptResult::kSuccess) {
    request->MarkOutcomeUnknown(unknown_outcome.value_or(ErrorKind::kInternal));
  }
  const BackendId backend = attempt->backend->server.id;
  if (state.windowed_budget) {
    request->RecordEnd(backend, report.result);
  } else {
    if (report.result != AttemptResult::kNotSent) {
      request->sent_to.push_back(backend);
    }
    if (report.result != AttemptResult::kRefused) {
      request->failed.push_back(backend);
    }
  }
  state.EndAttempt(*request, report.attempt);
  if (!request->running.empty()) {
    return state.TakeActions(now);
  }
  state.RetryOrRefuse(*request, report, now);
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnCallerLeft(RequestId request_id, TimePoint now) {
  State& state = *this->state;
  RequestState* request = state.Find(request_id);
  if (request == nullptr) {
    return {};
  }
  state.CancelAll(*request);
  state.Finish(request_id);
  return state.TakeActions(now);
}

std::optional<TimePoint> Dispatcher::NextTimer() const {
  return this->state->next_timer;
}

DispatchActions Dispatcher::OnTimer(TimePoint now) {
  State& state = *this->state;
  for (const RequestId expired : state.queue.TakeExpired(now)) {
    state.Refuse(expired, ErrorKind::kDeadlineTooShort, now);
  }
  state.ExpireRunning(now);
  state.CheckOverdue(now);
  state.SendDueHedges(now);
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnFleetEvidence(
    const std::string& from,
    const std::vector<schema::BackendEvidenceT>& evidence,
    TimePoint now) {
  for (const schema::BackendEvidenceT& each : evidence) {
    if (WaitingReports::IsReport(each)) {
      this->state->waiting_reports.OnReport(from, each.waiting_by_rank, now);
    }
  }
  this->state->chooser->OnFleetEvidence(from, evidence, now);
  this->state->RefuseQueuedWithoutChoice(now);
  return this->state->TakeActions(now);
}

std::vector<schema::BackendEvidenceT> Dispatcher::TakeEvidence(TimePoint now) {
  State& state = *this->state;
  std::vector<schema::BackendEvidenceT> evidence =
      state.chooser->TakeEvidence(now);
  WaitingCounts waiting;
  if (state.is_ordered) {
    state.queue.CountByRank(waiting);
    state.held.CountByRank(waiting);
  }
  if (auto report =
          state.waiting_reports.Take(state.service.Value(), waiting, now)) {
    evidence.push_back(std::move(*report));
  }
  return evidence;
}

std::uint32_t Dispatcher::InFlight() const {
  return static_cast<std::uint32_t>(this->state->requests.size());
}

std::vector<std::string> Dispatcher::Explain(TimePoint now) const {
  return this->state->chooser->Explain(now);
}

}  // namespace acacia
