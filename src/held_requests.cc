#include "src/held_requests.h"

#include <algorithm>

namespace acacia {
namespace {

// A backend server that has just refused a request refuses most others for some
// seconds, and each attempt there costs retry budget. A part of the time left
// allows several attempts before the deadline.
constexpr int kRepeatsInTimeLeft = 4;
constexpr Duration kMinRepeatDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRepeatDelay = std::chrono::seconds(1);

// Longer than most requests of the known deployments take (160 to 400 ms), so
// that the first answers after a start arrive in time.
constexpr Duration kMaxProvenWait = std::chrono::milliseconds(600);
// The share of the time left that may be spent waiting for a proven backend
// server.
constexpr int kProvenWaitsInTimeLeft = 4;
constexpr int kProvenWaitsInTargetLeft = 2;

}  // namespace

Duration ProvenWait(Duration time_left, std::optional<Duration> target_left) {
  Duration wait = std::min(kMaxProvenWait, time_left / kProvenWaitsInTimeLeft);
  if (target_left) {
    wait = std::min(wait, *target_left / kProvenWaitsInTargetLeft);
  }
  return std::max(wait, Duration{});
}

Duration RepeatDelay(Duration time_left) {
  return std::clamp(time_left / kRepeatsInTimeLeft, kMinRepeatDelay,
                    kMaxRepeatDelay);
}

void HeldRequests::Add(const HeldRequest& held) {
  this->Remove(held.request);
  const Key key{held.rank, held.start_deadline, held.request};
  this->ordered.emplace(key, held);
  this->keys.emplace(held.request, key);
}

void HeldRequests::Remove(RequestId request) {
  const auto found = this->keys.find(request);
  if (found != this->keys.end()) {
    this->ordered.erase(found->second);
    this->keys.erase(found);
  }
}

std::vector<HeldRequest> HeldRequests::InOrder() const {
  std::vector<HeldRequest> all;
  all.reserve(this->ordered.size());
  for (const auto& [key, held] : this->ordered) {
    all.push_back(held);
  }
  return all;
}

std::optional<RequestId> HeldRequests::Last() const {
  if (this->ordered.empty()) {
    return std::nullopt;
  }
  return this->ordered.rbegin()->second.request;
}

void HeldRequests::CountByRank(WaitingCounts& counts) const {
  for (const auto& [key, held] : this->ordered) {
    AddWaiting(counts, held.rank);
  }
}

bool HeldRequests::HasBudgetClaim(std::uint32_t rank) const {
  return std::any_of(
      this->ordered.begin(), this->ordered.end(), [rank](const auto& item) {
        return item.second.needs_budget && item.second.rank <= rank;
      });
}

std::vector<HeldRequest> HeldRequests::FindTooLate(WindowedRetryBudget& budget,
                                                   TimePoint now) const {
  std::vector<HeldRequest> too_late;
  std::size_t ahead = 0;
  for (const auto& [key, held] : this->ordered) {
    if (held.start_deadline <= now || held.not_before >= held.start_deadline ||
        (held.needs_budget &&
         budget.SpendableBy(held.start_deadline, now) <= ahead)) {
      too_late.push_back(held);
    } else if (held.needs_budget) {
      ++ahead;
    }
  }
  return too_late;
}

std::optional<TimePoint> HeldRequests::NextTime(WindowedRetryBudget& budget,
                                                Duration retry_interval,
                                                TimePoint now) const {
  std::optional<TimePoint> next;
  if (this->ordered.empty()) {
    return next;
  }
  const TimePoint next_spend = budget.NextSpend(now);
  for (const auto& [key, held] : this->ordered) {
    TimePoint at = std::max(held.not_before, now + retry_interval);
    if (held.needs_budget) {
      at = std::max(at, next_spend);
    }
    at = std::min(at, held.start_deadline);
    next = std::min(next.value_or(at), at);
  }
  return next;
}

}  // namespace acacia
