#include "src/shared_rate_limit.h"

#include <algorithm>

namespace acacia {
namespace {

// The bucket holds the highest needed level and what flows in during this time.
constexpr double kMaxNeededLevel = 2;
constexpr std::chrono::duration<double> kBurstTime(0.25);
// The bucket is overdrawn by at most what flows in during this time.
constexpr std::chrono::duration<double> kMaxDebtTime(4);

}  // namespace

bool SharedRateLimit::IsActive(TimePoint now) const {
  return this->rate > 0 && now - this->named_at < kExpiry;
}

double SharedRateLimit::Level(TimePoint now) const {
  const std::chrono::duration<double> passed = now - this->level_at;
  const double capacity = kMaxNeededLevel + this->rate * kBurstTime.count();
  return std::min(capacity, this->level + this->rate * passed.count());
}

Duration SharedRateLimit::Wait(TimePoint now) const {
  const double missing = this->needed_level - this->Level(now);
  if (!this->IsActive(now) || missing <= 0) {
    return Duration{};
  }
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(missing / this->rate));
}

void SharedRateLimit::OnNamed(double named_rate, TimePoint now) {
  // How much of a new limit others have used is unknown.
  this->level = this->IsActive(now) ? this->Level(now) : 0;
  this->level_at = now;
  this->rate = std::max(named_rate, kMinRate);
  this->named_at = now;
}

void SharedRateLimit::OnNotNamed(TimePoint attempt_started) {
  if (attempt_started > this->named_at) {
    this->rate = 0;
  }
}

void SharedRateLimit::OnOwnAttempt(double draw, TimePoint now) {
  this->Charge(1, now);
  this->needed_level = 1 + draw * (kMaxNeededLevel - 1);
}

void SharedRateLimit::OnPeerAttempts(std::uint32_t count, TimePoint now) {
  this->Charge(count, now);
}

void SharedRateLimit::Charge(double count, TimePoint now) {
  const double lowest = -this->rate * kMaxDebtTime.count();
  this->level = std::max(lowest, this->Level(now) - count);
  this->level_at = now;
}

}  // namespace acacia
