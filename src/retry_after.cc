#include "src/retry_after.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace acacia {
namespace {

// Shorter waits would bring the caller back before a slot has changed hands.
constexpr Duration kLeastWait = std::chrono::milliseconds(50);
// A crest passes in a few seconds, and callers wait for a third of their time
// at most.
constexpr Duration kLongestWait = std::chrono::seconds(2);
// The wait is drawn between these parts of the estimate.
constexpr double kLeastPart = 0.5;
constexpr double kSpreadPart = 1.0;

}  // namespace

Duration RetryAfter(const RefusalLoad& load, double draw) {
  if (load.usual_time == Duration{}) {
    return kDefaultRetryAfter;
  }
  // What holds the slots now is half done on average.
  const double turns = std::max(0.0, load.per_slot - 1) + 0.5;
  const auto wait = std::chrono::duration_cast<Duration>(
      load.usual_time * turns * (kLeastPart + kSpreadPart * draw));
  return std::clamp(wait, kLeastWait, kLongestWait);
}

std::string FormatRetryAfter(Duration wait, bool with_fraction) {
  if (!with_fraction) {
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(wait).count());
  }
  const std::chrono::duration<double> seconds = wait;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", seconds.count());
  return text.data();
}

}  // namespace acacia
