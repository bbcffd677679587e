#include "src/shared_health.h"

#include <algorithm>
#include <cmath>

namespace acacia {

double SharedHealth::Suspicion(TimePoint now) const {
  const std::chrono::duration<double> passed = now - this->decayed_at;
  const std::chrono::duration<double> half_life = kHalfLife;
  return this->level * std::exp2(-std::max(0.0, passed / half_life));
}

bool SharedHealth::IsSuspect(TimePoint now) const {
  return this->suspect && this->Suspicion(now) > kClearThreshold;
}

void SharedHealth::Decay(TimePoint now) {
  this->suspect = this->IsSuspect(now);
  this->level = this->Suspicion(now);
  this->decayed_at = now;
  this->last_outcome = now;
}

void SharedHealth::AddBad(double weight, TimePoint now) {
  this->Decay(now);
  this->level = std::min(kMaxSuspicion, this->level + weight);
  this->suspect = this->suspect || this->level >= kSuspectThreshold;
}

void SharedHealth::AddGood(TimePoint now) {
  this->Decay(now);
  this->level /= 2;
  this->last_good = now;
  this->suspect = this->suspect && this->level > kClearThreshold;
}

}  // namespace acacia
