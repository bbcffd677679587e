#include "src/concurrency_limit.h"

#include <algorithm>

namespace acacia {

namespace {

constexpr Duration kMinPause = std::chrono::milliseconds(4);
constexpr Duration kMaxPause = std::chrono::milliseconds(2000);
// Shorter at a home backend server, where slots soon become free for this entry
// again.
constexpr Duration kMaxHomePause = std::chrono::milliseconds(16);
constexpr std::uint32_t kMaxQuadruplings = 5;
// Added to the limit by an answer while the limit is fully used.
constexpr double kIncreaseWithinShare = 1.0;
constexpr double kIncreaseBeyondShare = 0.25;
constexpr double kIncreaseAfterRefusal = 0.05;
constexpr Duration kRefusalWindow = std::chrono::seconds(1);

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
  this->consecutive_refusals = 0;
  if (in_flight + 1 > this->limit) {
    this->limit =
        std::min<double>(this->limit + this->Increase(now), this->slots);
  }
}

double ConcurrencyLimit::Increase(TimePoint now) const {
  if (this->limit < this->share) {
    return kIncreaseWithinShare;
  }
  return now - this->last_refusal < kRefusalWindow ? kIncreaseAfterRefusal
                                                   : kIncreaseBeyondShare;
}

void ConcurrencyLimit::OnRefused(std::uint32_t in_flight,
                                 TimePoint now,
                                 RandomSource& random) {
  this->last_refusal = now;
  this->limit = std::max(1.0, std::min<double>(this->limit, in_flight));
  const Duration max_pause = this->share > 0 ? kMaxHomePause : kMaxPause;
  const Duration pause =
      std::min(max_pause, kMinPause * (1U << (2 * this->consecutive_refusals)));
  this->consecutive_refusals =
      std::min(this->consecutive_refusals + 1, kMaxQuadruplings);
  // Between 0.5 and 1.5 times the pause, so that entries that were refused at
  // the same time do not retry at the same time.
  const double jitter = 0.5 + random.Fraction();
  this->closed_until =
      now + std::chrono::duration_cast<Duration>(pause * jitter);
}

}  // namespace acacia
