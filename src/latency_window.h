// Holds the latest latencies of one backend server for one work class, or of
// one latency key, and computes their median.
#ifndef SRC_LATENCY_WINDOW_H_
#define SRC_LATENCY_WINDOW_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "src/clock.h"

namespace acacia {

class LatencyWindow {
 public:
  void Add(Duration latency) {
    this->latencies[this->next] = latency;
    this->next = (this->next + 1) % kSize;
    this->count = std::min(this->count + 1, kSize);
  }
  std::size_t Count() const { return this->count; }
  // Returns zero when empty.
  Duration Median() const {
    if (this->count == 0) {
      return Duration{};
    }
    std::array<Duration, kSize> sorted = this->latencies;
    const auto middle = sorted.begin() + this->count / 2;
    std::nth_element(sorted.begin(), middle, sorted.begin() + this->count);
    return *middle;
  }

 private:
  static constexpr std::size_t kSize = 16;

  std::array<Duration, kSize> latencies{};
  std::size_t next = 0;
  std::size_t count = 0;
};

}  // namespace acacia

#endif  // SRC_LATENCY_WINDOW_H_
