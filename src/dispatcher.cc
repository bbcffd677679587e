#include "src/dispatcher.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "src/account_limiter.h"
#include "src/admission_queue.h"
#include "src/backend_chooser.h"
#include "src/backend_pool.h"
#include "src/check.h"
#include "src/hedge_policy.h"
#include "src/held_requests.h"
#include "src/log_event.h"
#include "src/request_quarantine.h"
#include "src/request_state.h"
#include "src/retry_after.h"
#include "src/retry_budget.h"
#include "src/start_share.h"
#include "src/waiting_reports.h"
#include "src/windowed_retry_budget.h"

namespace acacia {

namespace {

constexpr std::uint32_t kMaxAttempts = 32;
// Limits the attempts of one idempotent request that may have run.
constexpr std::uint32_t kMaxUnknownOutcomeAttempts = 3;
// An attempt that is stopped by the request's deadline counts as a timeout of
// its backend server only if it ran at least this long.
constexpr Duration kMinTimeoutAge = std::chrono::seconds(1);
// While requests are queued, free slots are looked for at least this often.
constexpr Duration kQueuePollInterval = std::chrono::milliseconds(20);

constexpr Duration kOverloadLogInterval = std::chrono::seconds(1);
// Within this time, an entry hears of the attempts of other entries.
constexpr Duration kEvidenceDelay = std::chrono::milliseconds(100);

}  // namespace

struct Dispatcher::State {
  State(const ServiceName& service,
        const InstanceId& self,
        std::unique_ptr<RandomSource> source,
        const ChooserFactory& make_chooser,
        RequestQuarantine* quarantine,
        HedgeHook on_hedge)
      : service(service),
        quarantine(quarantine),
        hedging(std::move(on_hedge)),
        random(std::move(source)),
        chooser(
            make_chooser
                ? make_chooser(service, self, *this->random)
                : std::make_unique<BackendPool>(service, self, *this->random)) {
  }

  RequestState* Find(RequestId request);
  bool Admit(const Work& work, TimePoint now);
  void Enqueue(RequestState& request, TimePoint now);
  void EnqueueOrRefuse(RequestState& request, TimePoint now);
  bool TryStart(RequestState& request, TimePoint now);
  void StartOn(RequestState& request, PooledBackend& backend, TimePoint now);
  void StartQueued(TimePoint now);
  void StartQueuedClass(WorkClass work_class, TimePoint now);
  void RefuseQueuedWithoutChoice(TimePoint now);
  void EndAttempt(RequestState& request, AttemptId attempt);
  void CancelAll(RequestState& request);
  bool MayRetry(const RequestState& request,
                AttemptResult result,
                bool replayable,
                TimePoint now);
  bool MayRetryAfterRefusal(TimePoint now);
  // True if the request may be sent to a backend server that has not had it.
  bool HasAttemptsLeft(const RequestState& request) const;
  bool HasOtherBackend(const RequestState& request, TimePoint now) const;
  bool HasRepeat(const RequestState& request, TimePoint now) const;
  bool MayHold(const RequestState& request,
               AttemptResult result,
               bool replayable,
               TimePoint now);
  void Hold(RequestState& request,
            AttemptResult result,
            bool needs_budget,
            TimePoint now);
  // Until when the request waits for a backend server with a recent good
  // answer.
  TimePoint ProvenUntil(const RequestState& request, TimePoint now) const;
  void StartHeld(TimePoint now);
  bool TryStartHeld(const HeldRequest& held, TimePoint now);
  void TrimHeld(TimePoint now);
  // True when a request of this rank leaves the room to higher ranks, which
  // wait at other entries, or, for a retry, at this one.
  bool Yields(std::uint32_t rank, bool is_retry, TimePoint now);
  // Whether this entry may start a waiting request of this rank by its share of
  // the room.
  bool HasStartShare(std::uint32_t rank, TimePoint now);
  bool SpendRetry(TimePoint now);
  bool CanRetry(const RequestState& request, TimePoint now);
  void Retry(RequestState& request, TimePoint now);
  void AddWaitingLoad(std::uint32_t rank,
                      ServiceLoad& load,
                      TimePoint now) const;
  // Refuses waiting requests that will not start in time.
  void RefuseEarly(TimePoint now);
  void Refuse(RequestId request, ErrorKind not_run_kind, TimePoint now);
  // How long requests like this one are refused because they crash backend
  // servers; nullopt if they are not.
  std::optional<Duration> QuarantineLeft(const Work& work, TimePoint now) const;
  void ReportToQuarantine(const RequestState& request,
                          const RunningAttempt& attempt,
                          AttemptResult result,
                          TimePoint now);
  void Finish(RequestId request);
  void RecordOutcome(const RequestState& request,
                     const RunningAttempt& attempt,
                     AttemptResult result,
                     TimePoint now);
  void ExpireRunning(TimePoint now);
  void CheckOverdue(TimePoint now);
  void ClearOverdueTimer(const RequestState& request, RunningAttempt& attempt);
  void Hedge(RequestState& request, TimePoint now);
  bool CanHedge(const RequestState& request, TimePoint now) const;
  PooledBackend* PickForHedge(const RequestState& request, TimePoint now);
  void SendDueHedges(TimePoint now);
  void ReportHedgeOutcome(const RequestState& request,
                          const RunningAttempt& answered,
                          TimePoint now);
  void UpdateNextTimer(TimePoint now);
  DispatchActions TakeActions(TimePoint now);

  const ServiceName service;
  // Null if no requests are quarantined.
  RequestQuarantine* quarantine;
  // Replaces the hedges of overdue attempts if the policy has a limit for them.
  HedgePolicy hedging;
  std::unique_ptr<RandomSource> random;
  std::unique_ptr<BackendChooser> chooser;
  AdmissionQueue queue;
  // Used where the policy has a retry window.
  HeldRequests held;
  // The requests of the service have different ranks.
  bool is_ordered = false;
  WaitingReports waiting_reports;
  StartShare start_share;
  TimePoint next_early_refusal{};
  // Requests refused early since the last log line.
  std::uint64_t refused_early = 0;
  TimePoint next_overload_log{};
  std::uint32_t max_waiting = 0;
  RetryBudget budget;
  // Replaces `budget` if the policy has a retry window.
  std::optional<WindowedRetryBudget> windowed_budget;
  AccountLimiter account_limiter;
  std::shared_ptr<const AccountLimits> accounts;
  std::unordered_map<RequestId, RequestState> requests;
  // Requests with running attempts and no relayed answer, by deadline.
  std::set<std::pair<TimePoint, RequestId>> by_deadline;
  std::set<std::tuple<TimePoint, RequestId, AttemptId>> by_overdue;
  std::optional<TimePoint> next_timer;
  DispatchActions actions;
};

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

void Dispatcher::State::Enqueue(RequestState& request, TimePoint now) {
  const Work& work = request.work;
  const WaitingRequest waiting{
      work.request, work.account, work.work_class, work.rank,
      work.deadline - this->chooser->MedianLatency(work)};
  const std::optional<RequestId> shed = this->queue.Push(waiting, now);
  if (shed) {
    this->Refuse(*shed, ErrorKind::kQueueFull, now);
  }
  this->TrimHeld(now);
}

// A request that no backend server may take, for its rate limit or a pause, is
// refused at once, so that the caller can return when one may.
void Dispatcher::State::EnqueueOrRefuse(RequestState& request, TimePoint now) {
  if (this->chooser->AllAtRateLimit(request.failed, now)) {
    this->Refuse(request.work.request, ErrorKind::kRateLimited, now);
  } else {
    this->Enqueue(request, now);
  }
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

void Dispatcher::State::StartQueued(TimePoint now) {
  this->StartQueuedClass(WorkClass::kShort, now);
  this->StartQueuedClass(WorkClass::kLong, now);
}

void Dispatcher::State::StartQueuedClass(WorkClass work_class, TimePoint now) {
  while (const std::optional<RequestId> next =
             this->queue.Front(work_class, now)) {
    RequestState* request = this->Find(*next);
    ACACIA_CHECK(request != nullptr);
    if (this->QuarantineLeft(request->work, now)) {
      this->Refuse(*next, ErrorKind::kQuarantined, now);
      continue;
    }
    const std::uint32_t rank = request->work.rank;
    if (this->Yields(rank, false, now) || !this->HasStartShare(rank, now) ||
        !this->TryStart(*request, now)) {
      return;
    }
    this->start_share.OnStart();
    this->queue.PopFront(*next);
  }
}

void Dispatcher::State::RefuseQueuedWithoutChoice(TimePoint now) {
  if (this->queue.IsEmpty() && this->held.IsEmpty()) {
    return;
  }
  std::vector<std::pair<RequestId, ErrorKind>> refused;
  for (const auto& [id, request] : this->requests) {
    if (!request.running.empty() || this->HasRepeat(request, now)) {
      continue;
    }
    if (!this->chooser->HasAlternative(request.failed)) {
      refused.emplace_back(id, ErrorKind::kNoBackend);
    } else if (this->chooser->PauseLeft(request.failed, now)) {
      refused.emplace_back(id, ErrorKind::kRateLimited);
    }
  }
  std::sort(refused.begin(), refused.end());
  for (const auto& [id, kind] : refused) {
    this->Refuse(id, kind, now);
  }
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

bool Dispatcher::State::MayRetry(const RequestState& request,
                                 AttemptResult result,
                                 bool replayable,
                                 TimePoint now) {
  const bool not_run = !UnknownOutcomeKind(result).has_value();
  const Duration expected_latency = this->chooser->MedianLatency(request.work);
  if (!replayable || now + expected_latency >= request.work.deadline ||
      request.last_attempt.Value() >= kMaxAttempts ||
      !this->HasAttemptsLeft(request) ||
      !this->chooser->HasAlternative(request.failed) ||
      this->chooser->AllAtRateLimit(request.failed, now) ||
      this->QuarantineLeft(request.work, now)) {
    return false;
  }
  if (this->windowed_budget && result == AttemptResult::kNotSent) {
    // No backend server received anything, so the budget is not charged.
    return true;
  }
  if (result == AttemptResult::kRefused && !this->windowed_budget) {
    return this->MayRetryAfterRefusal(now);
  }
  if (!not_run &&
      (!request.work.idempotent ||
       request.unknown_outcome_attempts >= kMaxUnknownOutcomeAttempts)) {
    return false;
  }
  if (this->held.HasBudgetClaim(request.work.rank)) {
    return false;
  }
  return this->SpendRetry(now);
}

bool Dispatcher::State::HasAttemptsLeft(const RequestState& request) const {
  return request.work.max_attempts == 0 ||
         request.sent_to.size() + request.running.size() <
             request.work.max_attempts;
}

bool Dispatcher::State::HasOtherBackend(const RequestState& request,
                                        TimePoint now) const {
  return this->HasAttemptsLeft(request) &&
         this->chooser->HasAlternative(request.failed) &&
         !this->chooser->AllAtRateLimit(request.failed, now);
}

// True if an attempt may be repeated at a backend server that refused it.
bool Dispatcher::State::HasRepeat(const RequestState& request,
                                  TimePoint now) const {
  return !request.refused_by.empty() &&
         this->chooser->HasRoomAmong(request.refused_by, now);
}

// Whether the request may wait for an attempt that the windowed budget allows.
bool Dispatcher::State::MayHold(const RequestState& request,
                                AttemptResult result,
                                bool replayable,
                                TimePoint now) {
  // Only a request that did not run waits for the budget.
  const bool may_run_again =
      !UnknownOutcomeKind(result).has_value() ||
      (request.work.idempotent && this->windowed_budget &&
       this->windowed_budget->CanSpend(now) &&
       request.unknown_outcome_attempts < kMaxUnknownOutcomeAttempts);
  return this->windowed_budget && replayable && may_run_again &&
         now + this->chooser->MedianLatency(request.work) <
             request.work.deadline &&
         request.last_attempt.Value() < kMaxAttempts &&
         (this->HasOtherBackend(request, now) ||
          this->HasRepeat(request, now)) &&
         !this->QuarantineLeft(request.work, now);
}

TimePoint Dispatcher::State::ProvenUntil(const RequestState& request,
                                         TimePoint now) const {
  const Work& work = request.work;
  const Duration median = this->chooser->MedianLatency(work);
  std::optional<Duration> target_left;
  if (work.target_latency > Duration{}) {
    target_left = request.arrived + work.target_latency - median - now;
  }
  return now + ProvenWait(work.deadline - median - now, target_left);
}

void Dispatcher::State::Hold(RequestState& request,
                             AttemptResult result,
                             bool needs_budget,
                             TimePoint now) {
  const Work& work = request.work;
  HeldRequest held{work.request, work.rank,
                   work.deadline - this->chooser->MedianLatency(work)};
  held.needs_budget = needs_budget;
  held.held_since = now;
  if (!this->HasOtherBackend(request, now)) {
    held.not_before = now + RepeatDelay(held.start_deadline - now);
  } else if (UnknownOutcomeKind(result)) {
    held.proven_until = this->ProvenUntil(request, now);
  }
  this->held.Add(held);
  this->TrimHeld(now);
}

// Bounds the requests that wait in the entry, in whichever way.
void Dispatcher::State::TrimHeld(TimePoint now) {
  while (!this->held.IsEmpty() && this->held.Size() +
                                          this->queue.Size(WorkClass::kShort) +
                                          this->queue.Size(WorkClass::kLong) >
                                      this->max_waiting) {
    this->Refuse(*this->held.Last(), ErrorKind::kQueueFull, now);
  }
}

bool Dispatcher::State::Yields(std::uint32_t rank,
                               bool is_retry,
                               TimePoint now) {
  // What other entries serve is not known here, so the guaranteed part is that
  // of all requests.
  return this->is_ordered &&
         (this->waiting_reports.HasAbove(rank, now) ||
          (is_retry && this->queue.HasAbove(rank))) &&
         !this->queue.Shares().IsOwed(rank, 1);
}

bool Dispatcher::State::HasStartShare(std::uint32_t rank, TimePoint now) {
  const std::uint32_t others = this->waiting_reports.CountUpTo(rank, now);
  if (!this->is_ordered || others == 0) {
    return true;
  }
  if (this->start_share.IsDue(now)) {
    WaitingCounts own;
    this->queue.CountByRank(own);
    this->start_share.Refresh(
        {this->chooser->Room(now), SumUpTo(own, rank), others},
        this->random->Fraction(), now);
  }
  return this->start_share.MayStart();
}

void Dispatcher::State::StartHeld(TimePoint now) {
  if (this->held.IsEmpty()) {
    return;
  }
  for (const HeldRequest& hopeless :
       this->held.FindHopeless(*this->windowed_budget, now)) {
    this->Refuse(hopeless.request,
                 hopeless.needs_budget ? ErrorKind::kRetryBudgetSpent
                                       : ErrorKind::kDeadlineTooShort,
                 now);
  }
  for (const HeldRequest& held : this->held.InOrder()) {
    const bool may_start =
        held.not_before <= now &&
        (!held.needs_budget || this->windowed_budget->CanSpend(now));
    if (may_start &&
        this->QuarantineLeft(this->Find(held.request)->work, now)) {
      this->Refuse(held.request, ErrorKind::kQuarantined, now);
    } else if (may_start && this->TryStartHeld(held, now)) {
      this->held.Remove(held.request);
    }
  }
}

bool Dispatcher::State::TryStartHeld(const HeldRequest& held, TimePoint now) {
  RequestState& request = *this->Find(held.request);
  PickRequest pick{request.work, request.failed, this->CanRetry(request, now)};
  PooledBackend* backend = nullptr;
  if (this->HasOtherBackend(request, now)) {
    pick.proven = now < held.proven_until;
    backend = this->chooser->Pick(pick, now);
    const bool may_hear_soon = this->chooser->IsLearning(now) &&
                               now - held.held_since < kEvidenceDelay;
    if (backend == nullptr && pick.proven && !may_hear_soon &&
        !this->chooser->MayLearnSoon(request.failed, now)) {
      pick.proven = false;
      backend = this->chooser->Pick(pick, now);
    }
  } else if (!request.refused_by.empty()) {
    pick.only = &request.refused_by;
    backend = this->chooser->Pick(pick, now);
  }
  if (backend == nullptr || (held.needs_budget && !this->SpendRetry(now))) {
    return false;
  }
  this->StartOn(request, *backend, now);
  return true;
}

// Whether the request could be retried if its next attempt failed. The chooser
// may then try a backend server that is more likely to fail.
bool Dispatcher::State::CanRetry(const RequestState& request, TimePoint now) {
  const Work& work = request.work;
  const bool has_attempts =
      work.max_attempts == 0 || request.sent_to.size() + 2 <= work.max_attempts;
  return work.idempotent && has_attempts &&
         (!this->windowed_budget || this->windowed_budget->HasSpare(now));
}

bool Dispatcher::State::SpendRetry(TimePoint now) {
  return this->windowed_budget ? this->windowed_budget->Spend(now)
                               : this->budget.Spend();
}

bool Dispatcher::State::MayRetryAfterRefusal(TimePoint now) {
  if (this->budget.SpendAfterRefusal()) {
    return true;
  }
  this->chooser->PauseSpillover(now);
  return this->budget.HasRecentAnswer(now);
}

void Dispatcher::State::Retry(RequestState& request, TimePoint now) {
  if (!this->TryStart(request, now)) {
    this->EnqueueOrRefuse(request, now);
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

// Callers return after the requests that wait in the entries, too.
void Dispatcher::State::AddWaitingLoad(std::uint32_t rank,
                                       ServiceLoad& load,
                                       TimePoint now) const {
  WaitingCounts own;
  this->queue.CountByRank(own);
  load.rank = rank;
  load.requests_per_slot +=
      (SumUpTo(own, rank) + this->waiting_reports.CountUpTo(rank, now)) /
      std::max(load.slots, 1.0);
}

void Dispatcher::State::RefuseEarly(TimePoint now) {
  if (!this->is_ordered || now < this->next_early_refusal) {
    return;
  }
  this->next_early_refusal = now + kQueuePollInterval;
  for (const RequestId hopeless : this->queue.FindHopeless(now)) {
    this->Refuse(hopeless, ErrorKind::kDeadlineTooShort, now);
    ++this->refused_early;
  }
  if (this->refused_early > 0 && now >= this->next_overload_log) {
    LogEvent("service_overloaded", LogSeverity::kWarning)
        .With("service", this->service)
        .With("refused_early", std::exchange(this->refused_early, 0))
        .With("waiting", this->queue.Size(WorkClass::kShort) +
                             this->queue.Size(WorkClass::kLong))
        .With("waiting_for_budget", this->held.Size());
    this->next_overload_log = now + kOverloadLogInterval;
  }
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

// Reports attempts that take much longer than usual to the chooser before they
// end, and hedges requests with short work.
void Dispatcher::State::CheckOverdue(TimePoint now) {
  while (!this->by_overdue.empty() &&
         std::get<TimePoint>(*this->by_overdue.begin()) <= now) {
    const auto [at, request_id, attempt_id] = *this->by_overdue.begin();
    RequestState& request = *this->Find(request_id);
    RunningAttempt& attempt = *request.FindAttempt(attempt_id);
    this->ClearOverdueTimer(request, attempt);
    attempt.was_overdue = true;
    this->chooser->OnOverdue(
        *attempt.backend,
        {request.work, attempt.started, attempt.started_at_capacity}, now);
    if (!this->hedging.IsEnabled()) {
      this->Hedge(request, now);
    }
  }
}

bool Dispatcher::State::CanHedge(const RequestState& request,
                                 TimePoint now) const {
  return request.running.size() == 1 &&
         request.last_attempt.Value() < kMaxAttempts &&
         this->HasAttemptsLeft(request) && this->queue.IsEmpty() &&
         !this->QuarantineLeft(request.work, now);
}

// Returns null if a hedge would have to wait for a slot at its backend server.
PooledBackend* Dispatcher::State::PickForHedge(const RequestState& request,
                                               TimePoint now) {
  std::vector<BackendId> excluded = request.failed;
  excluded.push_back(request.running.front().backend->server.id);
  PooledBackend* backend = this->chooser->Pick({request.work, excluded}, now);
  return backend == nullptr || this->chooser->IsFull(*backend, now) ? nullptr
                                                                    : backend;
}

void Dispatcher::State::Hedge(RequestState& request, TimePoint now) {
  const Work& work = request.work;
  const Duration expected_latency = this->chooser->MedianLatency(work);
  if (!work.hedgeable || !work.idempotent ||
      work.work_class != WorkClass::kShort ||
      now + expected_latency >= work.deadline ||
      !this->CanHedge(request, now)) {
    return;
  }
  PooledBackend* backend = this->PickForHedge(request, now);
  if (backend != nullptr && this->SpendRetry(now)) {
    this->StartOn(request, *backend, now);
  }
}

// The limit is charged last, so that it is only charged for hedges that are
// sent, and its refusals are counted only where nothing else prevents a hedge.
void Dispatcher::State::SendDueHedges(TimePoint now) {
  for (const auto& [request_id, attempt_id] : this->hedging.TakeDue(now)) {
    RequestState* request = this->Find(request_id);
    if (request == nullptr || request->FindAttempt(attempt_id) == nullptr ||
        request->relayed || !this->CanHedge(*request, now) ||
        !this->hedging.Allows(request->work,
                              this->chooser->Load(request->work, now), now)) {
      continue;
    }
    PooledBackend* backend = this->PickForHedge(*request, now);
    if (backend != nullptr && !this->chooser->IsSuspect(*backend, now) &&
        this->hedging.HasCredit(request_id, now) && this->SpendRetry(now)) {
      this->hedging.OnSent(now);
      this->hedging.OnEnd(request_id, attempt_id);
      this->StartOn(*request, *backend, now);
      request->running.back().is_hedge = true;
    }
  }
}

// Measures the answer, and counts whether the hedge was of use. Call while all
// attempts of the request are still in place.
void Dispatcher::State::ReportHedgeOutcome(const RequestState& request,
                                           const RunningAttempt& answered,
                                           TimePoint now) {
  for (const RunningAttempt& attempt : request.running) {
    const Duration age = now - attempt.started;
    const bool has_answered = attempt.id == answered.id;
    if (attempt.is_hedge) {
      this->hedging.Report(has_answered ? HedgeEvent::kWon
                                        : HedgeEvent::kWasted);
    } else if (has_answered) {
      this->hedging.OnAnswer(request.work, age);
    } else {
      this->hedging.OnAbandoned(request.work, age);
    }
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
  // A request that was not sent is not charged to the windowed budget.
  const bool may_wait =
      state.windowed_budget && report.result != AttemptResult::kNotSent;
  if (!may_wait &&
      state.MayRetry(*request, report.result, report.replayable, now)) {
    state.Retry(*request, now);
  } else if (state.MayHold(*request, report.result, report.replayable, now)) {
    state.Hold(*request, report.result, true, now);
  } else {
    state.Refuse(report.request,
                 report.result == AttemptResult::kRefused
                     ? ErrorKind::kBackendRefused
                     : ErrorKind::kConnectFailed,
                 now);
  }
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
