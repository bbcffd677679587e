#include "src/hedge_limit.h"

#include <algorithm>

namespace acacia {
namespace {

// The credit that requests of this many seconds earn may be saved. Slow
// requests come in groups: with 1 s, a quarter of the hedges was refused at
// entries with 36 requests a second, while a third of the limit was used.
constexpr double kMaxCreditSeconds = 3;
// Absorbs the rounding of sums of shares.
constexpr double kRounding = 1e-6;

}  // namespace

void HedgeLimit::MoveTo(TimePoint now) {
  const std::int64_t period = now.time_since_epoch() / kPeriod;
  if (period - this->latest > kPeriods) {
    this->counts.fill({});
    this->requests = 0;
    this->hedges = 0;
    this->latest = period;
  }
  while (this->latest < period) {
    ++this->latest;
    // The place of the period that has left the ring is used again. The period
    // after it becomes the oldest, whose requests no longer count.
    this->hedges -= this->At(this->latest).hedges;
    this->At(this->latest) = {};
    this->requests -= this->At(this->latest + 1).requests;
  }
}

void HedgeLimit::OnRequest(TimePoint now) {
  this->MoveTo(now);
  ++this->At(this->latest).requests;
  ++this->requests;
  constexpr double kWindowSeconds = ToSeconds(kWindow);
  const double max_credit = std::max(
      1.0, kMaxCreditSeconds * this->share * this->requests / kWindowSeconds);
  this->credit = std::min(this->credit + this->share, max_credit);
}

bool HedgeLimit::Allows(TimePoint now) {
  this->MoveTo(now);
  return this->credit + kRounding >= 1 &&
         this->hedges + 1 <= this->share * this->requests + kRounding;
}

void HedgeLimit::Charge(TimePoint now) {
  this->MoveTo(now);
  this->credit = std::max(this->credit - 1, 0.0);
  ++this->At(this->latest).hedges;
  ++this->hedges;
}

}  // namespace acacia
