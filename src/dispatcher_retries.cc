// The part of Dispatcher that decides about second attempts and the requests
// that wait for them.
#include <algorithm>

#include "src/dispatcher_state.h"

namespace acacia {
namespace {

// Limits the attempts of one idempotent request that may have run.
constexpr std::uint32_t kMaxUnknownOutcomeAttempts = 3;
// Within this time, an entry hears of the attempts of other entries.
constexpr Duration kEvidenceDelay = std::chrono::milliseconds(100);

// Whether a request whose attempt ended so may run, or run again.
bool MayRunAgain(const RequestState& request, AttemptResult result) {
  return !UnknownOutcomeKind(result).has_value() ||
         (request.work.idempotent &&
          request.unknown_outcome_attempts < kMaxUnknownOutcomeAttempts);
}

}  // namespace

// Whether any further attempt is possible, wherever it goes.
bool Dispatcher::State::CanSendAgain(const RequestState& request,
                                     bool replayable,
                                     TimePoint now) const {
  const Work& work = request.work;
  return replayable &&
         now + this->chooser->MedianLatency(work) < work.deadline &&
         request.last_attempt.Value() < kMaxAttempts &&
         !this->QuarantineLeft(work, now);
}

bool Dispatcher::State::MayRetry(const RequestState& request,
                                 AttemptResult result,
                                 bool replayable,
                                 TimePoint now) {
  if (!this->CanSendAgain(request, replayable, now) ||
      !this->HasOtherBackend(request, now)) {
    return false;
  }
  if (this->windowed_budget && result == AttemptResult::kNotSent) {
    // No backend server received anything, so the budget is not charged.
    return true;
  }
  if (result == AttemptResult::kRefused && !this->windowed_budget) {
    return this->MayRetryAfterRefusal(now);
  }
  return MayRunAgain(request, result) &&
         !this->held.HasBudgetClaim(request.work.rank) && this->SpendRetry(now);
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
  const bool not_run = !UnknownOutcomeKind(result).has_value();
  return this->windowed_budget && MayRunAgain(request, result) &&
         (not_run || this->windowed_budget->CanSpend(now)) &&
         this->CanSendAgain(request, replayable, now) &&
         (this->HasOtherBackend(request, now) || this->HasRepeat(request, now));
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

void Dispatcher::State::StartHeld(TimePoint now) {
  if (this->held.IsEmpty()) {
    return;
  }
  for (const HeldRequest& too_late :
       this->held.FindTooLate(*this->windowed_budget, now)) {
    this->Refuse(too_late.request,
                 too_late.needs_budget ? ErrorKind::kRetryBudgetSpent
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

void Dispatcher::State::RetryOrRefuse(RequestState& request,
                                      const AttemptReport& report,
                                      TimePoint now) {
  // A request that was not sent is not charged to the windowed budget.
  const bool may_wait =
      this->windowed_budget && report.result != AttemptResult::kNotSent;
  if (!may_wait &&
      this->MayRetry(request, report.result, report.replayable, now)) {
    this->Retry(request, now);
  } else if (this->MayHold(request, report.result, report.replayable, now)) {
    this->Hold(request, report.result, true, now);
  } else {
    this->Refuse(report.request,
                 report.result == AttemptResult::kRefused
                     ? ErrorKind::kBackendRefused
                     : ErrorKind::kConnectFailed,
                 now);
  }
}

}  // namespace acacia
