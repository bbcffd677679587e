#include "src/shared_health.h"

#include <algorithm>
#include <cmath>

namespace acacia {

double SharedHealth::Suspicion(TimePoint now) const {
  const std::chrono::duration<double> passed = now - this->faded_at;
  const std::chrono::duration<double> half_life = kHalfLife;
  return this->level * std::exp2(-std::max(0.0, passed / half_life));
}

bool SharedHealth::IsSuspect(TimePoint now) const {
  return this->suspect && this->Suspicion(now) > kCleared;
}

void SharedHealth::Fade(TimePoint now) {
  this->suspect = this->IsSuspect(now);
  this->level = this->Suspicion(now);
  this->faded_at = now;
  this->last_heard = now;
}

void SharedHealth::AddBad(double weight, TimePoint now) {
  this->Fade(now);
  this->level = std::min(kMost, this->level + weight);
  this->suspect = this->suspect || this->level >= kSuspect;
}

void SharedHealth::AddGood(TimePoint now) {
  this->Fade(now);
  this->level /= 2;
  this->last_good = now;
  this->suspect = this->suspect && this->level > kCleared;
}

}  // namespace acacia
