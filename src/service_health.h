// Judges a service's backend servers against each other. What is slow is
// measured by the others' median; a suspect is avoided only while the others do
// well at the same time, so that a slow service, a crest or this entry's own
// broken link avoids nobody; and never so that less capacity than the floor is
// left in this entry's view: past that, the least bad are kept.
#ifndef SRC_SERVICE_HEALTH_H_
#define SRC_SERVICE_HEALTH_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "src/backend_health.h"
#include "src/clock.h"
#include "src/configuration.h"

namespace acacia {

// A listed backend server as the judge sees it.
struct JudgedBackend {
  BackendHealth* health = nullptr;
  std::uint32_t slots = 0;
  // Neither ejected, leaving nor cold.
  bool is_capacity = false;
};

class ServiceHealth {
 public:
  // Replaces the backend servers; the pointers must stay valid until the next
  // call. Spares avoided ones where the floor now needs them.
  void SetBackends(std::vector<JudgedBackend> backends,
                   std::uint32_t floor_percent,
                   TimePoint now);

  // An answer's latency; slow or not is judged before it is added.
  void AddLatency(BackendHealth& backend,
                  WorkClass work_class,
                  Duration latency,
                  TimePoint now);
  // From this age on an attempt counts as slow; nothing while too little is
  // known.
  std::optional<Duration> SlowAfter(WorkClass work_class) const;
  // The service's median latency; zero while unknown.
  Duration MedianLatency(WorkClass work_class) const;

  void Add(BackendHealth& backend,
           const AttemptEvidence& outcome,
           TimePoint now);

 private:
  enum class Contrast { kClear, kNone, kUnknown };

  void RefreshWhenDue(TimePoint now);
  void RefreshMedian(WorkClass work_class);
  void RefreshRates(TimePoint now);
  static bool IsExample(const BackendHealth& backend);
  UsualRates UsualWithout(const BackendHealth& backend, TimePoint now) const;
  Contrast CompareWithOthers(const BackendHealth& suspect, TimePoint now) const;
  void AvoidWithinFloor(BackendHealth& suspect, TimePoint now);
  BackendHealth* LeastBadAvoided() const;
  bool HoldsFloor(std::uint32_t without_slots) const;
  void SpareUntilFloorHolds(TimePoint now);

  struct Counts {
    double failed = 0;
    double slow = 0;
    double all = 0;
  };
  Counts CountRecent(const BackendHealth& backend, TimePoint now) const;

  std::vector<JudgedBackend> backends;
  std::uint32_t floor_percent = 100;
  std::array<Duration, kWorkClassCount> medians{};
  Counts totals;
  TimePoint next_refresh{};
};

}  // namespace acacia

#endif  // SRC_SERVICE_HEALTH_H_
