// The part of Dispatcher that handles slow attempts and hedges them.
#include <tuple>
#include <vector>

#include "src/dispatcher_state.h"

namespace acacia {

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

}  // namespace acacia
