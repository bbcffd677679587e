#include "src/service_health.h"

#include <algorithm>
#include <utility>

namespace acacia {

namespace {

constexpr Duration kRefreshEvery = std::chrono::milliseconds(100);
// An attempt this many times as long as the service's median is slow.
constexpr int kSlowFactor = 3;
constexpr Duration kLeastSlow = std::chrono::milliseconds(10);
// A backend server's median counts from this many latencies on, and the
// service's from this many backend servers on.
constexpr std::size_t kMinLatencies = 3;
constexpr std::size_t kMinMedians = 2;
constexpr std::size_t kMinLatenciesOfService = 24;
// To tell against a suspect the others need this many good outcomes in the
// same time, and this many more for each bad one.
constexpr std::uint32_t kMinGoodOfOthers = 12;
constexpr std::uint32_t kMoreGoodPerBad = 6;
// Others that do this badly clear the suspect: one bad in as many good ones.
constexpr std::uint32_t kGoodPerBad = 3;
constexpr std::uint32_t kMinBadOfOthers = 2;
// Outcomes older than this say nothing of what is usual now.
constexpr Duration kUsualMemory = std::chrono::seconds(10);

// Before the others have shown enough, this is taken to be usual.
constexpr double kAssumedOutcomes = 16;
constexpr double kAssumedFailed = 0.01;
constexpr double kAssumedSlow = 0.1;
// A suspect takes the place of an avoided one only when it is worse by this.
constexpr double kWorseBy = 0.15;

// The lower of two in the middle: of two backend servers the better one sets
// the measure.
template <typename T>
T LowerMedian(std::vector<T>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void ServiceHealth::SetBackends(std::vector<JudgedBackend> backends,
                                std::uint32_t floor_percent,
                                TimePoint now) {
  this->backends = std::move(backends);
  this->floor_percent = floor_percent;
  this->next_refresh = TimePoint{};
  this->RefreshWhenDue(now);
  this->SpareUntilFloorHolds(now);
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
  this->next_refresh = now + kRefreshEvery;
  this->RefreshMedian(WorkClass::kShort);
  this->RefreshMedian(WorkClass::kLong);
  this->RefreshRates(now);
}

void ServiceHealth::RefreshMedian(WorkClass work_class) {
  const auto index = static_cast<std::size_t>(work_class);
  std::vector<Duration> each;
  std::size_t latencies = 0;
  for (const JudgedBackend& backend : this->backends) {
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
  backend.ForRecent([&counts, now](const AttemptEvidence& outcome) {
    if (now - outcome.started > kUsualMemory) {
      return;
    }
    counts.failed += outcome.failed ? 1 : 0;
    counts.slow += outcome.slow ? 1 : 0;
    counts.all += 1;
  });
  return counts;
}

// Suspects do not say what is usual.
bool ServiceHealth::IsExample(const BackendHealth& backend) {
  return !backend.IsAvoided() && !backend.IsSuspect();
}

void ServiceHealth::RefreshRates(TimePoint now) {
  this->totals = {};
  for (const JudgedBackend& backend : this->backends) {
    if (!IsExample(*backend.health)) {
      continue;
    }
    const Counts counts = this->CountRecent(*backend.health, now);
    this->totals.failed += counts.failed;
    this->totals.slow += counts.slow;
    this->totals.all += counts.all;
  }
}

UsualRates ServiceHealth::UsualWithout(const BackendHealth& backend,
                                       TimePoint now) const {
  const Counts own =
      IsExample(backend) ? this->CountRecent(backend, now) : Counts{};
  const double failed = std::max(0.0, this->totals.failed - own.failed);
  const double slow = std::max(0.0, this->totals.slow - own.slow);
  const double all =
      std::max(0.0, this->totals.all - own.all) + kAssumedOutcomes;
  return {(failed + kAssumedOutcomes * kAssumedFailed) / all,
          (slow + kAssumedOutcomes * kAssumedSlow) / all};
}

std::optional<Duration> ServiceHealth::SlowAfter(WorkClass work_class) const {
  const Duration median = this->MedianLatency(work_class);
  if (median == Duration{}) {
    return std::nullopt;
  }
  return std::max(median * kSlowFactor, median + kLeastSlow);
}

Duration ServiceHealth::MedianLatency(WorkClass work_class) const {
  return this->medians[static_cast<std::size_t>(work_class)];
}

void ServiceHealth::Add(BackendHealth& backend,
                        const AttemptEvidence& outcome,
                        TimePoint now) {
  this->RefreshWhenDue(now);
  if (!backend.Add(outcome, this->UsualWithout(backend, now), now)) {
    return;
  }
  switch (this->CompareWithOthers(backend, now)) {
    case Contrast::kClear:
      return this->AvoidWithinFloor(backend, now);
    case Contrast::kNone:
      return backend.Acquit();
    case Contrast::kUnknown:
      return;
  }
}

ServiceHealth::Contrast ServiceHealth::CompareWithOthers(
    const BackendHealth& suspect,
    TimePoint now) const {
  const TimePoint since = suspect.SuspectSince();
  std::uint32_t good = 0;
  std::uint32_t bad = 0;
  std::uint32_t examples = 0;
  std::uint32_t doubtful = 0;
  for (const JudgedBackend& backend : this->backends) {
    if (backend.health->IsAvoided()) {
      continue;
    }
    // Several may turn sick at once; if most seem to, it is the service.
    if (backend.health->IsDoubtful(now)) {
      ++doubtful;
      continue;
    }
    const std::uint32_t good_before = good;
    backend.health->ForRecent([&](const AttemptEvidence& outcome) {
      if (outcome.started >= since) {
        ++(outcome.IsBad() ? bad : good);
      }
    });
    examples += good > good_before ? 1 : 0;
  }
  if (bad >= kMinBadOfOthers && bad * kGoodPerBad > good) {
    return Contrast::kNone;
  }
  const bool clear = good >= kMinGoodOfOthers + kMoreGoodPerBad * bad &&
                     doubtful <= examples + 1;
  return clear ? Contrast::kClear : Contrast::kUnknown;
}

void ServiceHealth::AvoidWithinFloor(BackendHealth& suspect, TimePoint now) {
  const auto own = std::find_if(this->backends.begin(), this->backends.end(),
                                [&suspect](const JudgedBackend& each) {
                                  return each.health == &suspect;
                                });
  if (own == this->backends.end()) {
    return;
  }
  const std::uint32_t slots = own->is_capacity ? own->slots : 0;
  if (!this->HoldsFloor(slots)) {
    BackendHealth* least = this->LeastBadAvoided();
    if (least == nullptr || suspect.Badness() < least->Badness() + kWorseBy) {
      return suspect.Acquit();
    }
    least->Spare(now);
    if (!this->HoldsFloor(slots)) {
      return suspect.Acquit();
    }
  }
  suspect.Avoid(now);
}

bool ServiceHealth::HoldsFloor(std::uint32_t without_slots) const {
  std::uint64_t all = 0;
  std::uint64_t capacity = 0;
  for (const JudgedBackend& backend : this->backends) {
    all += backend.slots;
    const bool counts = backend.is_capacity && !backend.health->IsAvoided();
    capacity += counts ? backend.slots : 0;
  }
  return capacity >= without_slots &&
         (capacity - without_slots) * 100 >= all * this->floor_percent;
}

BackendHealth* ServiceHealth::LeastBadAvoided() const {
  BackendHealth* least = nullptr;
  for (const JudgedBackend& backend : this->backends) {
    if (backend.health->IsAvoided() &&
        (least == nullptr || backend.health->Badness() < least->Badness())) {
      least = backend.health;
    }
  }
  return least;
}

void ServiceHealth::SpareUntilFloorHolds(TimePoint now) {
  while (!this->HoldsFloor(0)) {
    BackendHealth* least = this->LeastBadAvoided();
    if (least == nullptr) {
      return;
    }
    least->Spare(now);
  }
}

}  // namespace acacia
