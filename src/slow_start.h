// A backend server that is new, or was cold, gets its share of requests over a
// ramp.
#ifndef SRC_SLOW_START_H_
#define SRC_SLOW_START_H_

#include <algorithm>

#include "src/clock.h"

namespace acacia {

class SlowStart {
 public:
  // Call for each view. One that was there from the first view on, and not
  // cold, is warm.
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
  // Share of its usual requests, from kColdWeight to 1.
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
