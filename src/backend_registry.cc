#include "src/backend_registry.h"

#include <algorithm>

namespace acacia {

bool BackendRegistry::IsRecovering(TimePoint now) const {
  return !this->available ||
         (this->store_returned_at &&
          now < *this->store_returned_at + kReregistrationTime);
}

void BackendRegistry::Replace(const Registrations& registrations,
                              TimePoint now) {
  std::vector<std::string> missing;
  for (const auto& [name, tracked] : this->tracked) {
    if (!registrations.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    this->Remove(name, now);
  }
  for (const auto& [name, backend] : registrations) {
    this->Put(name, backend, now);
  }
}

void BackendRegistry::Put(const std::string& name,
                          const std::optional<RegisteredBackend>& backend,
                          TimePoint now) {
  if (!backend) {
    this->tracked.erase(name);
    return;
  }
  TrackedBackend& tracked = this->tracked[name];
  const bool same = tracked.backend.id == backend->id;
  const bool cold = backend->cold_remaining > Duration{};
  const TimePoint cold_until =
      cold ? now + backend->cold_remaining : TimePoint{};
  tracked.cold_until =
      same ? std::min(tracked.cold_until, cold_until) : cold_until;
  tracked.backend = *backend;
  tracked.removal_at.reset();
}

void BackendRegistry::Remove(const std::string& name, TimePoint now) {
  const auto found = this->tracked.find(name);
  if (found == this->tracked.end()) {
    return;
  }
  // A backend server that was leaving has stopped and will not return.
  if (!this->IsRecovering(now) || found->second.backend.leaving) {
    this->tracked.erase(found);
    return;
  }
  found->second.removal_at =
      this->available ? *this->store_returned_at + kReregistrationTime
                      : TimePoint::max();
}

void BackendRegistry::OnStoreAvailable(bool available, TimePoint now) {
  if (!available && this->available) {
    this->store_lost_at = now;
    this->is_own_outage = false;
  }
  const bool outage =
      now - this->store_lost_at >= kMinOutage && !this->is_own_outage;
  if (available && !this->available && outage) {
    this->store_returned_at = now;
    for (auto& [name, tracked] : this->tracked) {
      if (tracked.removal_at) {
        tracked.removal_at = now + kReregistrationTime;
      }
    }
  }
  this->available = available;
}

// Ignored for the first kMinOutage: what another entry read just before the
// store went away may still arrive shortly after.
void BackendRegistry::OnPeerHasNewerRegistration(TimePoint now) {
  if (!this->available && now - this->store_lost_at >= kMinOutage) {
    this->is_own_outage = true;
  }
}

bool BackendRegistry::OnTimer(TimePoint now) {
  const std::size_t before = this->tracked.size();
  std::erase_if(this->tracked, [now](const auto& item) {
    return item.second.removal_at && *item.second.removal_at <= now;
  });
  bool warmed = false;
  for (const auto& [name, tracked] : this->tracked) {
    warmed = warmed || (tracked.cold_until > this->last_timer &&
                        tracked.cold_until <= now);
  }
  this->last_timer = now;
  return warmed || this->tracked.size() != before;
}

std::optional<TimePoint> BackendRegistry::NextTimer() const {
  std::optional<TimePoint> next;
  const auto sooner = [&next](TimePoint at) {
    next = std::min(next.value_or(at), at);
  };
  for (const auto& [name, tracked] : this->tracked) {
    if (tracked.removal_at && *tracked.removal_at != TimePoint::max()) {
      sooner(*tracked.removal_at);
    }
    if (tracked.cold_until > this->last_timer) {
      sooner(tracked.cold_until);
    }
  }
  return next;
}

}  // namespace acacia
