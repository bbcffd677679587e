// Raises the share of requests of a new or formerly cold backend server over a
// ramp.
#ifndef SRC_SLOW_START_H_
#define SRC_SLOW_START_H_

#include <algorithm>

#include "src/clock.h"

namespace acacia {

class SlowStart {
 public:
  // Call for each view. A backend server that was in the first view and not
  // cold gets its full share at once.
  void OnView(bool cold, bool first_view, TimePoint now) {
    if (!this->seen && !first_view) {
      this->ramp_from = now;
    }
    if (cold) {
      this->ramp_from = now;
    }
    this->seen = true;
    this->cold = cold;
  }
  bool IsCold() const { return this->cold; }
  // The share of its normal requests, from kColdWeight to 1.
  double Weight(TimePoint now) const {
    if (this->cold) {
      return kColdWeight;
    }
    const double done = std::chrono::duration<double>(now - this->ramp_from) /
                        std::chrono::duration<double>(kRamp);
    return std::clamp(kColdWeight + (1 - kColdWeight) * done, kColdWeight, 1.0);
  }

 private:
  static constexpr double kColdWeight = 0.1;
  static constexpr Duration kRamp = std::chrono::seconds(10);

  bool seen = false;
  bool cold = false;
  TimePoint ramp_from{};
};

}  // namespace acacia

#endif  // SRC_SLOW_START_H_
