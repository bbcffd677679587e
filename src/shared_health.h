// One backend server's health as the whole fleet sees it. Each entry sees a
// few requests a second, so every outcome counts, whoever saw it. Suspicion
// rises with each bad outcome, halves with each good one, and fades with time;
// it makes the backend server a suspect above one level and clears it below a
// lower one.
#ifndef SRC_SHARED_HEALTH_H_
#define SRC_SHARED_HEALTH_H_

#include "src/clock.h"

namespace acacia {

// How much one outcome tells against a backend server.
namespace suspicion {
// The connection broke, or the answer was cut short or spoiled: never usual.
inline constexpr double kBroken = 1.0;
// A server error: some are usual, two in a row are not.
inline constexpr double kServerError = 0.5;
// No answer, or a late one: may be chance.
inline constexpr double kSlow = 0.35;
// No answer in more than the usual time, nor any to others meanwhile: a suspect
// at once, as hung ones would take more requests until the next sign.
inline constexpr double kSilent = 0.8;
// Refused although it reported free slots.
inline constexpr double kRefusedFree = 0.5;
// Not reached: a suspect for this entry, whose own link it may be.
inline constexpr double kUnreachable = 0.8;
}  // namespace suspicion

class SharedHealth {
 public:
  // From this suspicion on a backend server is a suspect, and stays one until
  // it falls to the second level.
  static constexpr double kSuspect = 0.8;
  static constexpr double kCleared = 0.3;
  static constexpr double kMost = 3;
  static constexpr Duration kHalfLife = std::chrono::seconds(3);

  void AddBad(double weight, TimePoint now);
  void AddGood(TimePoint now);

  bool IsSuspect(TimePoint now) const;
  double Suspicion(TimePoint now) const;
  // The last outcome that was heard of, good or bad.
  TimePoint LastHeard() const { return this->last_heard; }
  TimePoint LastGood() const { return this->last_good; }

 private:
  void Fade(TimePoint now);

  double level = 0;
  bool suspect = false;
  TimePoint faded_at{};
  TimePoint last_heard{};
  TimePoint last_good{};
};

}  // namespace acacia

#endif  // SRC_SHARED_HEALTH_H_
