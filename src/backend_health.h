// One backend server's health, from this entry's own outcomes. Two cumulative
// sums (Page 1954), one over failures and one over slow answers, compare each
// outcome with the usual rates of the service's other backend servers; the
// backend server becomes a suspect when their total crosses a threshold.
// Whether a suspect is avoided is decided in service_health.h, which knows the
// other backend servers and the floor. An avoided backend server receives only
// a few probe requests. After enough good answers it returns over a ramp; each
// relapse makes this take longer.
#ifndef SRC_BACKEND_HEALTH_H_
#define SRC_BACKEND_HEALTH_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "src/clock.h"
#include "src/configuration.h"
#include "src/latency_window.h"

namespace acacia {

struct AttemptEvidence {
  TimePoint started;
  bool failed = false;
  bool slow = false;
  // A truncated or wrong answer is worse than none and counts double.
  bool corrupt = false;

  bool IsBad() const { return this->failed || this->slow; }
};

// The rates of failed and slow outcomes at the service's other backend servers.
struct UsualRates {
  double failed = 0;
  double slow = 0;
};

class BackendHealth {
 public:
  enum class Condition { kHealthy, kAvoided, kReturning };

  // Returns true when the evidence makes the backend server a suspect.
  bool Add(const AttemptEvidence& outcome,
           const UsualRates& usual,
           TimePoint now);
  // Counts a request sent, for the request rate that sets the probe interval.
  void OnStart(TimePoint now);

  void Avoid(TimePoint now);
  // Returns the backend server to full weight at once, because the floor needs
  // it.
  void RestoreForFloor(TimePoint now);
  // Discards the evidence without avoiding the backend server, because the
  // others do no better or the floor needs it.
  void ClearSuspicion();

  bool IsAvoided() const { return this->condition == Condition::kAvoided; }
  Condition State(TimePoint now) const;
  // The share of its normal requests that it should get, apart from probes,
  // from 0 to 1.
  double Weight(TimePoint now) const;
  // True when it is avoided and its next probe request is due.
  bool IsProbeDue(TimePoint now) const;

  // Exponentially weighted average of recent outcomes from 0 to 1: a failure
  // counts 1, a slow answer 0.5. Used to rank backend servers.
  double BadOutcomeRate() const { return this->bad_outcome_rate; }
  bool IsSuspect() const { return this->suspect_since.has_value(); }
  // True when there is at least half the evidence that makes a suspect.
  bool IsNearSuspect(TimePoint now) const;
  // The start time of the earliest recent bad outcome when it became a suspect,
  // from which it is compared with the others. Call only for a suspect.
  TimePoint SuspectSince() const { return *this->suspect_since; }
  std::uint32_t Relapses() const { return this->relapses; }
  // "failures" or "slow", whichever weighed more at the last bad outcome.
  const char* Reason() const { return this->mostly_slow ? "slow" : "failures"; }

  // Calls `use` with each of the latest outcomes.
  template <typename Use>
  void ForEachRecent(Use use) const {
    for (std::size_t i = 0; i < this->recent_count; ++i) {
      use(this->recent[i]);
    }
  }

  std::array<LatencyWindow, kWorkClassCount> latencies;

 private:
  static constexpr std::size_t kRecentOutcomes = 16;
  static constexpr std::size_t kTrackedBadStarts = 3;

  void RecordRecent(const AttemptEvidence& outcome);
  void AddProbeOutcome(const AttemptEvidence& outcome, TimePoint now);
  void StartReturn(TimePoint now);
  void ResetEvidence();
  double Threshold(TimePoint now) const;

  Condition condition = Condition::kHealthy;
  double failure_sum = 0;
  double slow_sum = 0;
  double bad_outcome_rate = 0;
  bool mostly_slow = false;
  std::array<AttemptEvidence, kRecentOutcomes> recent;
  std::size_t recent_count = 0;
  std::size_t recent_next = 0;
  // Start times of the latest bad outcomes.
  std::deque<TimePoint> bad_starts;
  std::optional<TimePoint> suspect_since;
  // Number of requests sent, decayed with kRateDecayTime.
  double decayed_sent = 0;
  TimePoint sent_at{};
  TimePoint avoided_at{};
  TimePoint avoided_until{};
  TimePoint next_probe{};
  Duration probe_interval{};
  std::uint32_t consecutive_good = 0;
  std::uint32_t relapses = 0;
  bool has_returned = false;
  TimePoint returned_at{};
};

}  // namespace acacia

#endif  // SRC_BACKEND_HEALTH_H_
