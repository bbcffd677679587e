// One backend server's health, from the outcomes that all entries observed.
// Each entry sees only a few requests a second, so every outcome counts,
// whichever entry saw it. Suspicion rises with each bad outcome, halves with
// each good one and decays over time. The backend server becomes a suspect at
// one level and is cleared at a lower one.
#ifndef SRC_SHARED_HEALTH_H_
#define SRC_SHARED_HEALTH_H_

#include "src/clock.h"

namespace acacia {

// How much one bad outcome adds to the suspicion of a backend server.
namespace suspicion {
// The connection broke, or the answer was truncated or corrupt. Healthy backend
// servers do not do this.
inline constexpr double kBroken = 1.0;
// A server error. A single one is normal, two in a row are not.
inline constexpr double kServerError = 0.5;
// No answer, or a late one, which may be chance.
inline constexpr double kSlow = 0.35;
// An overdue attempt, and no good answer to any entry since it started. Reaches
// kSuspectThreshold at once, because a hung backend server would take more
// requests until the next evidence.
inline constexpr double kSilent = 0.8;
// The backend server refused a request although it reported free slots.
inline constexpr double kRefusedWithFreeSlots = 0.5;
// The connection failed. Makes it a suspect for this entry only, as the fault
// may be in this entry's own link.
inline constexpr double kUnreachable = 0.8;
}  // namespace suspicion

class SharedHealth {
 public:
  // A backend server becomes a suspect at the first level and stays one until
  // suspicion falls to the second.
  static constexpr double kSuspectThreshold = 0.8;
  static constexpr double kClearThreshold = 0.3;
  static constexpr double kMaxSuspicion = 3;
  static constexpr Duration kHalfLife = std::chrono::seconds(3);

  void AddBad(double weight, TimePoint now);
  void AddGood(TimePoint now);

  bool IsSuspect(TimePoint now) const;
  double Suspicion(TimePoint now) const;
  // When the last outcome, good or bad, was recorded.
  TimePoint LastOutcome() const { return this->last_outcome; }
  TimePoint LastGood() const { return this->last_good; }

 private:
  void Decay(TimePoint now);

  double level = 0;
  bool suspect = false;
  TimePoint decayed_at{};
  TimePoint last_outcome{};
  TimePoint last_good{};
};

}  // namespace acacia

#endif  // SRC_SHARED_HEALTH_H_
