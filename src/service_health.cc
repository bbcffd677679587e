#include "src/service_health.h"

#include <algorithm>
#include <utility>

namespace acacia {

namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
// An attempt is slow when it takes longer than this multiple of the service's
// median, and exceeds the median by at least kMinSlowMargin.
constexpr int kSlowFactor = 3;
constexpr Duration kMinSlowMargin = std::chrono::milliseconds(10);
// The median of a backend server is used from this many latencies on, and the
// median of the service from this many backend servers and latencies on.
constexpr std::size_t kMinLatencies = 3;
constexpr std::size_t kMinMedians = 2;
constexpr std::size_t kMinLatenciesOfService = 24;
// A suspect is considered worse than the others only if they had at least this
// many good outcomes in the same time, and this many more for each bad one.
constexpr std::uint32_t kMinGoodOfOthers = 12;
constexpr std::uint32_t kExtraGoodPerBad = 6;
// A suspect is cleared if the others had more than one bad outcome for this
// many good ones, and at least kMinBadOfOthers.
constexpr std::uint32_t kGoodPerBadToClear = 3;
constexpr std::uint32_t kMinBadOfOthers = 2;
// Older outcomes are not counted in the usual rates.
constexpr Duration kUsualRateWindow = std::chrono::seconds(10);

// Prior for the usual rates, which dominates while there are few outcomes.
constexpr double kAssumedOutcomes = 16;
constexpr double kAssumedFailed = 0.01;
constexpr double kAssumedSlow = 0.1;
// At the floor, a suspect replaces an avoided backend server only if its rate
// of bad outcomes is higher by at least this much.
constexpr double kMinBadRateDifference = 0.15;

// Returns the lower of the two middle values, so that of two backend servers
// the better one sets the standard.
template <typename T>
T LowerMedian(std::vector<T>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void ServiceHealth::SetBackends(std::vector<ComparedBackend> backends,
                                std::uint32_t floor_percent,
                                TimePoint now) {
  this->backends = std::move(backends);
  this->floor_percent = floor_percent;
  this->next_refresh = TimePoint{};
  this->RefreshWhenDue(now);
  this->RestoreUntilFloorHolds(now);
}

void ServiceHealth::AddLatency(BackendHealth& backend,
                               WorkClass work_class,
                               Duration latency,
                               TimePoint now) {
  backend.latencies[static_cast<std::size_t>(work_class)].Add(latency);
  this->RefreshWhenDue(now);
}

void ServiceHealth::RefreshWhenDue(TimePoint now) {
  if (now < this->next_refresh) {
    return;
  }
  this->next_refresh = now + kRefreshInterval;
  this->RefreshMedian(WorkClass::kShort);
  this->RefreshMedian(WorkClass::kLong);
  this->RefreshRates(now);
}

void ServiceHealth::RefreshMedian(WorkClass work_class) {
  const auto index = static_cast<std::size_t>(work_class);
  std::vector<Duration> each;
  std::size_t latencies = 0;
  for (const ComparedBackend& backend : this->backends) {
    const LatencyWindow& window = backend.health->latencies[index];
    latencies += window.Count();
    if (window.Count() >= kMinLatencies) {
      each.push_back(window.Median());
    }
  }
  if (each.size() < kMinMedians || latencies < kMinLatenciesOfService) {
    return;
  }
  this->medians[index] = LowerMedian(each);
}

ServiceHealth::Counts ServiceHealth::CountRecent(const BackendHealth& backend,
                                                 TimePoint now) const {
  Counts counts;
  backend.ForEachRecent([&counts, now](const AttemptEvidence& outcome) {
    if (now - outcome.started > kUsualRateWindow) {
      return;
    }
    counts.failed += outcome.failed ? 1 : 0;
    counts.slow += outcome.slow ? 1 : 0;
    counts.all += 1;
  });
  return counts;
}

// Suspects and avoided backend servers do not count towards the usual rates.
bool ServiceHealth::IsReference(const BackendHealth& backend) {
  return !backend.IsAvoided() && !backend.IsSuspect();
}

void ServiceHealth::RefreshRates(TimePoint now) {
  this->totals = {};
  for (const ComparedBackend& backend : this->backends) {
    if (!IsReference(*backend.health)) {
      continue;
    }
    const Counts counts = this->CountRecent(*backend.health, now);
    this->totals.failed += counts.failed;
    this->totals.slow += counts.slow;
    this->totals.all += counts.all;
  }
}

UsualRates ServiceHealth::UsualRatesWithout(const BackendHealth& backend,
                                            TimePoint now) const {
  const Counts own =
      IsReference(backend) ? this->CountRecent(backend, now) : Counts{};
  const double failed = std::max(0.0, this->totals.failed - own.failed);
  const double slow = std::max(0.0, this->totals.slow - own.slow);
  const double all =
      std::max(0.0, this->totals.all - own.all) + kAssumedOutcomes;
  return {(failed + kAssumedOutcomes * kAssumedFailed) / all,
          (slow + kAssumedOutcomes * kAssumedSlow) / all};
}

std::optional<Duration> ServiceHealth::SlowThreshold(
    WorkClass work_class) const {
  const Duration median = this->MedianLatency(work_class);
  if (median == Duration{}) {
    return std::nullopt;
  }
  return std::max(median * kSlowFactor, median + kMinSlowMargin);
}

Duration ServiceHealth::MedianLatency(WorkClass work_class) const {
  return this->medians[static_cast<std::size_t>(work_class)];
}

void ServiceHealth::Add(BackendHealth& backend,
                        const AttemptEvidence& outcome,
                        TimePoint now) {
  this->RefreshWhenDue(now);
  if (!backend.Add(outcome, this->UsualRatesWithout(backend, now), now)) {
    return;
  }
  switch (this->CompareWithOthers(backend, now)) {
    case Comparison::kWorse:
      return this->AvoidWithinFloor(backend, now);
    case Comparison::kSimilar:
      return backend.ClearSuspicion();
    case Comparison::kInconclusive:
      return;
  }
}

ServiceHealth::Comparison ServiceHealth::CompareWithOthers(
    const BackendHealth& suspect,
    TimePoint now) const {
  const TimePoint since = suspect.SuspectSince();
  std::uint32_t good = 0;
  std::uint32_t bad = 0;
  std::uint32_t references = 0;
  std::uint32_t near_suspects = 0;
  for (const ComparedBackend& backend : this->backends) {
    if (backend.health->IsAvoided()) {
      continue;
    }
    // Several backend servers may become faulty at once. If most of them appear
    // to, the service itself is at fault.
    if (backend.health->IsNearSuspect(now)) {
      ++near_suspects;
      continue;
    }
    const std::uint32_t good_before = good;
    backend.health->ForEachRecent([&](const AttemptEvidence& outcome) {
      if (outcome.started >= since) {
        ++(outcome.IsBad() ? bad : good);
      }
    });
    references += good > good_before ? 1 : 0;
  }
  if (bad >= kMinBadOfOthers && bad * kGoodPerBadToClear > good) {
    return Comparison::kSimilar;
  }
  const bool is_worse = good >= kMinGoodOfOthers + kExtraGoodPerBad * bad &&
                        near_suspects <= references + 1;
  return is_worse ? Comparison::kWorse : Comparison::kInconclusive;
}

void ServiceHealth::AvoidWithinFloor(BackendHealth& suspect, TimePoint now) {
  const auto own = std::find_if(this->backends.begin(), this->backends.end(),
                                [&suspect](const ComparedBackend& each) {
                                  return each.health == &suspect;
                                });
  if (own == this->backends.end()) {
    return;
  }
  const std::uint32_t slots = own->is_capacity ? own->slots : 0;
  if (!this->KeepsFloorWithout(slots)) {
    BackendHealth* least = this->LeastBadAvoided();
    if (least == nullptr ||
        suspect.BadOutcomeRate() <
            least->BadOutcomeRate() + kMinBadRateDifference) {
      return suspect.ClearSuspicion();
    }
    least->RestoreForFloor(now);
    if (!this->KeepsFloorWithout(slots)) {
      return suspect.ClearSuspicion();
    }
  }
  suspect.Avoid(now);
}

bool ServiceHealth::KeepsFloorWithout(std::uint32_t without_slots) const {
  std::uint64_t all = 0;
  std::uint64_t capacity = 0;
  for (const ComparedBackend& backend : this->backends) {
    all += backend.slots;
    const bool counts = backend.is_capacity && !backend.health->IsAvoided();
    capacity += counts ? backend.slots : 0;
  }
  return capacity >= without_slots &&
         (capacity - without_slots) * 100 >= all * this->floor_percent;
}

BackendHealth* ServiceHealth::LeastBadAvoided() const {
  BackendHealth* least = nullptr;
  for (const ComparedBackend& backend : this->backends) {
    if (backend.health->IsAvoided() &&
        (least == nullptr ||
         backend.health->BadOutcomeRate() < least->BadOutcomeRate())) {
      least = backend.health;
    }
  }
  return least;
}

void ServiceHealth::RestoreUntilFloorHolds(TimePoint now) {
  while (!this->KeepsFloorWithout(0)) {
    BackendHealth* least = this->LeastBadAvoided();
    if (least == nullptr) {
      return;
    }
    least->RestoreForFloor(now);
  }
}

}  // namespace acacia
