// One backend server's health as this entry sees it. Two cumulative sums (Page
// 1954), one over failures and one over slow answers, weigh each outcome
// against what is usual for the service's other backend servers; together they
// make the backend server a suspect when they cross the threshold. Whether a
// suspect is avoided is for service_health.h to say, which knows the others and
// the floor. An avoided one gets a trickle of requests; enough good answers
// bring it back over a ramp, later after each relapse.
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
  // A truncated or wrong answer harms more than none and weighs double.
  bool corrupt = false;

  bool IsBad() const { return this->failed || this->slow; }
};

// How often outcomes are bad at the service's other backend servers.
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
  // Counts a request sent, for the rate that the trickle is a part of.
  void OnStart(TimePoint now);

  void Avoid(TimePoint now);
  // Back to full weight, because the floor needs it.
  void Spare(TimePoint now);
  // The suspicion proved to be unfounded: the others do no better.
  void Acquit();

  bool IsAvoided() const { return this->condition == Condition::kAvoided; }
  Condition State(TimePoint now) const;
  // Share of its usual requests that it should get, apart from the trickle.
  double Weight(TimePoint now) const;
  // An avoided one is due for one of its trickle of requests.
  bool IsTrickleDue(TimePoint now) const;

  // Recent share of bad outcomes, failures counted double: the least bad has
  // the lowest.
  double Badness() const { return this->badness; }
  bool IsSuspect() const { return this->suspect_since.has_value(); }
  // Half the evidence that makes a suspect, or more.
  bool IsDoubtful(TimePoint now) const;
  // Start of the outcomes that made it a suspect: from here on it is compared
  // with the others. Only for a suspect.
  TimePoint SuspectSince() const { return *this->suspect_since; }
  std::uint32_t Relapses() const { return this->relapses; }
  // "failures" or "slow": what told against it last.
  const char* Reason() const { return this->mostly_slow ? "slow" : "failures"; }

  // The latest outcomes.
  template <typename Use>
  void ForRecent(Use use) const {
    for (std::size_t i = 0; i < this->recent_count; ++i) {
      use(this->recent[i]);
    }
  }

  std::array<LatencyWindow, kWorkClassCount> latencies;

 private:
  static constexpr std::size_t kRecent = 16;
  static constexpr std::size_t kSuspectOutcomes = 3;

  void Remember(const AttemptEvidence& outcome);
  void Judge(const AttemptEvidence& outcome, TimePoint now);
  void Return(TimePoint now);
  void Forget();
  double Threshold(TimePoint now) const;

  Condition condition = Condition::kHealthy;
  double failure_sum = 0;
  double slow_sum = 0;
  double badness = 0;
  bool mostly_slow = false;
  std::array<AttemptEvidence, kRecent> recent;
  std::size_t recent_count = 0;
  std::size_t recent_next = 0;
  // Starts of the latest bad outcomes.
  std::deque<TimePoint> bad_starts;
  std::optional<TimePoint> suspect_since;
  // Requests sent, decayed over kRateMemory.
  double sent = 0;
  TimePoint sent_at{};
  TimePoint avoided_at{};
  TimePoint avoided_until{};
  TimePoint next_trickle{};
  Duration trickle_interval{};
  std::uint32_t good_in_a_row = 0;
  std::uint32_t relapses = 0;
  bool has_returned = false;
  TimePoint returned_at{};
};

}  // namespace acacia

#endif  // SRC_BACKEND_HEALTH_H_
