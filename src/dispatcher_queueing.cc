// The part of Dispatcher that handles requests that wait for a backend server
// with room.
#include <algorithm>
#include <utility>
#include <vector>

#include "src/check.h"
#include "src/dispatcher_state.h"
#include "src/log_event.h"

namespace acacia {
namespace {

constexpr Duration kOverloadLogInterval = std::chrono::seconds(1);

}  // namespace

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
    if (this->Yields(rank, now) || !this->HasStartShare(rank, now) ||
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

bool Dispatcher::State::Yields(std::uint32_t rank, TimePoint now) {
  // What other entries serve is not known here, so the guaranteed part is that
  // of all requests.
  return this->is_ordered && this->waiting_reports.HasAbove(rank, now) &&
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
  for (const RequestId too_late : this->queue.FindTooLate(now)) {
    this->Refuse(too_late, ErrorKind::kDeadlineTooShort, now);
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

}  // namespace acacia
