#include "src/concurrency_limit.h"

#include <algorithm>

namespace acacia {

namespace {

constexpr Duration kFirstPause = std::chrono::milliseconds(4);
constexpr Duration kLongestPause = std::chrono::milliseconds(2000);
// At a home backend server slots come free for this entry again soon.
constexpr Duration kLongestHomePause = std::chrono::milliseconds(16);
constexpr std::uint32_t kMostQuadruplings = 5;
// Added to the limit by an answer while the limit is used up.
constexpr double kIncreaseWithinShare = 1.0;
constexpr double kIncreaseBeyondShare = 0.25;
constexpr double kIncreaseAfterRefusal = 0.05;
constexpr Duration kRefusalRemembered = std::chrono::seconds(1);

}  // namespace

void ConcurrencyLimit::Configure(std::uint32_t slots, std::uint32_t share) {
  this->slots = std::max(slots, 1U);
  const std::uint32_t bounded = std::min(share, this->slots);
  if (bounded > this->share) {
    this->limit = std::max<double>(this->limit, bounded);
  }
  this->share = bounded;
  this->limit = std::min<double>(this->limit, this->slots);
}

bool ConcurrencyLimit::Allows(std::uint32_t in_flight, TimePoint now) const {
  return in_flight + 1 <= this->limit && now >= this->closed_until;
}

void ConcurrencyLimit::OnAnswer(std::uint32_t in_flight, TimePoint now) {
  this->refusals_in_a_row = 0;
  if (in_flight + 1 > this->limit) {
    this->limit =
        std::min<double>(this->limit + this->Increase(now), this->slots);
  }
}

double ConcurrencyLimit::Increase(TimePoint now) const {
  if (this->limit < this->share) {
    return kIncreaseWithinShare;
  }
  return now - this->last_refusal < kRefusalRemembered ? kIncreaseAfterRefusal
                                                       : kIncreaseBeyondShare;
}

void ConcurrencyLimit::OnRefused(std::uint32_t in_flight,
                                 TimePoint now,
                                 RandomSource& random) {
  this->last_refusal = now;
  this->limit = std::max(1.0, std::min<double>(this->limit, in_flight));
  const Duration longest = this->share > 0 ? kLongestHomePause : kLongestPause;
  const Duration pause =
      std::min(longest, kFirstPause * (1U << (2 * this->refusals_in_a_row)));
  this->refusals_in_a_row =
      std::min(this->refusals_in_a_row + 1, kMostQuadruplings);
  // Between half and one and a half of the pause, so that entries that were
  // refused together do not come back together.
  const double jitter = 0.5 + random.Fraction();
  this->closed_until =
      now + std::chrono::duration_cast<Duration>(pause * jitter);
}

}  // namespace acacia
