// Clock interface and time types. Code that makes decisions takes the current
// time as an argument; only the code that does I/O reads it from a Clock.
#ifndef SRC_CLOCK_H_
#define SRC_CLOCK_H_

#include <chrono>

namespace acacia {

using Duration = std::chrono::nanoseconds;
// Monotonic time of this process; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using UnixTime = std::chrono::milliseconds;

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  // Wall-clock time, for logs and rows that people read; not for decisions.
  virtual UnixTime UnixNow() const = 0;
};

class SystemClock : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  UnixTime UnixNow() const override {
    return std::chrono::duration_cast<UnixTime>(
        std::chrono::system_clock::now().time_since_epoch());
  }
};

// A clock that tests advance explicitly.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return this->now; }
  UnixTime UnixNow() const override {
    return std::chrono::duration_cast<UnixTime>(this->now.time_since_epoch());
  }
  void Advance(Duration by) { this->now += by; }

 private:
  TimePoint now{std::chrono::seconds(1000)};
};

}  // namespace acacia

#endif  // SRC_CLOCK_H_
