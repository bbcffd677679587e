// Compares a service's backend servers with each other. An answer is slow
// relative to the median of all backend servers. A suspect is avoided only
// while the others do well at the same time, so a slow service, a load peak or
// a fault of this entry's own link causes no avoidance. Avoidance never leaves
// less capacity than the floor in this entry's view: beyond that, the least bad
// backend servers stay in use.
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

// One backend server of the view as input to the comparison.
struct ComparedBackend {
  BackendHealth* health = nullptr;
  std::uint32_t slots = 0;
  // True when it is neither ejected, leaving nor cold.
  bool is_capacity = false;
};

class ServiceHealth {
 public:
  // Replaces the backend servers. The pointers must stay valid until the next
  // call. Returns avoided ones to service where the floor now requires it.
  void SetBackends(std::vector<ComparedBackend> backends,
                   std::uint32_t floor_percent,
                   TimePoint now);

  // Records an answer's latency. Call after comparing the latency with
  // SlowThreshold, so that an answer does not affect its own threshold.
  void AddLatency(BackendHealth& backend,
                  WorkClass work_class,
                  Duration latency,
                  TimePoint now);
  // The age from which an attempt counts as slow; nullopt while too little is
  // known.
  std::optional<Duration> SlowThreshold(WorkClass work_class) const;
  // The service's median latency; zero while unknown.
  Duration MedianLatency(WorkClass work_class) const;

  void Add(BackendHealth& backend,
           const AttemptEvidence& outcome,
           TimePoint now);

 private:
  enum class Comparison { kWorse, kSimilar, kInconclusive };

  void RefreshWhenDue(TimePoint now);
  void RefreshMedian(WorkClass work_class);
  void RefreshRates(TimePoint now);
  static bool IsReference(const BackendHealth& backend);
  UsualRates UsualRatesWithout(const BackendHealth& backend,
                               TimePoint now) const;
  Comparison CompareWithOthers(const BackendHealth& suspect,
                               TimePoint now) const;
  void AvoidWithinFloor(BackendHealth& suspect, TimePoint now);
  BackendHealth* LeastBadAvoided() const;
  bool KeepsFloorWithout(std::uint32_t without_slots) const;
  void RestoreUntilFloorHolds(TimePoint now);

  struct Counts {
    double failed = 0;
    double slow = 0;
    double all = 0;
  };
  Counts CountRecent(const BackendHealth& backend, TimePoint now) const;

  std::vector<ComparedBackend> backends;
  std::uint32_t floor_percent = 100;
  std::array<Duration, kWorkClassCount> medians{};
  Counts totals;
  TimePoint next_refresh{};
};

}  // namespace acacia

#endif  // SRC_SERVICE_HEALTH_H_
