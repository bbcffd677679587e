#include "src/retry_after.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace acacia {
namespace {

// After a shorter wait the caller would return before any slot was freed.
constexpr Duration kMinWait = std::chrono::milliseconds(50);
// Load peaks pass within a few seconds, and callers wait for at most a third of
// the time that they have.
constexpr Duration kMaxWait = std::chrono::seconds(2);
// The wait is drawn from [kMinWaitFactor, kMinWaitFactor + kWaitFactorSpread)
// times the estimate.
constexpr double kMinWaitFactor = 0.5;
constexpr double kWaitFactorSpread = 1.0;
// Each lower rank returns later by this part, so that higher ranks are served
// before.
constexpr double kRankFactor = 0.5;
constexpr std::uint32_t kMaxRankSteps = 4;
// Callers that wait for the end of a pause return within this time after it.
constexpr std::chrono::duration<double> kPauseSpread(1);

}  // namespace

Duration RetryAfter(const ServiceLoad& load, double draw) {
  if (load.pause_wait > Duration{}) {
    return load.pause_wait +
           std::chrono::duration_cast<Duration>(draw * kPauseSpread);
  }
  if (load.typical_latency == Duration{}) {
    return kDefaultRetryAfter;
  }
  // Requests that hold a slot now are half done on average.
  const double rounds = std::max(0.0, load.requests_per_slot - 1) + 0.5;
  const auto queue_wait =
      std::chrono::duration_cast<Duration>(load.typical_latency * rounds);
  const double rank_factor =
      1 + kRankFactor * std::min(load.rank, kMaxRankSteps);
  const auto wait = std::chrono::duration_cast<Duration>(
      std::max(queue_wait, load.rate_limit_wait) * rank_factor *
      (kMinWaitFactor + kWaitFactorSpread * draw));
  const auto max_wait =
      std::chrono::duration_cast<Duration>(kMaxWait * rank_factor);
  return std::clamp(wait, kMinWait, max_wait);
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
