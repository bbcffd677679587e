#include "src/backend_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acacia {
namespace {

// Longer than the age of a copy from which the store is restored.
constexpr Duration kRemovedMemory = std::chrono::minutes(2);

}  // namespace

bool BackendRegistry::IsRecovering(TimePoint now) const {
  return !this->available ||
         (this->store_returned_at &&
          now < *this->store_returned_at + kReregistrationTime);
}

bool BackendRegistry::MayBeGone(const std::string& name,
                                const RegisteredBackend& backend,
                                TimePoint now) const {
  const auto found = this->removed.find(name);
  return this->restored_at && now < *this->restored_at + kRestoredRowExpiry &&
         found != this->removed.end() &&
         !(found->second.report < backend.report);
}

BackendRegistry::Tracked::iterator BackendRegistry::Erase(
    Tracked::iterator found,
    TimePoint now) {
  std::erase_if(this->removed, [now](const auto& item) {
    return now - item.second.removed_at >= kRemovedMemory;
  });
  this->removed[found->first] = {found->second.backend.report, now};
  return this->tracked.erase(found);
}

void BackendRegistry::Replace(const Registrations& registrations,
                              TimePoint now) {
  std::erase_if(this->withheld, [&registrations](const auto& item) {
    return !registrations.contains(item.first);
  });
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
  this->withheld.erase(name);
  if (!backend) {
    this->tracked.erase(name);
    return;
  }
  const auto known = this->tracked.find(name);
  const bool is_known = known != this->tracked.end();
  if (is_known && backend->report < known->second.backend.report) {
    return;
  }
  if (!is_known && this->MayBeGone(name, *backend, now)) {
    this->withheld.emplace(name, *backend);
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
  this->withheld.erase(name);
  const auto found = this->tracked.find(name);
  if (found == this->tracked.end()) {
    return;
  }
  // A backend server that was leaving has stopped and will not return.
  if (!this->IsRecovering(now) || found->second.backend.leaving) {
    this->Erase(found, now);
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
  if (available && !this->available) {
    // Without an outage nothing expired, so what went missing has left.
    const TimePoint removal_at = outage ? now + kReregistrationTime : now;
    if (outage) {
      this->store_returned_at = now;
    }
    for (auto& [name, tracked] : this->tracked) {
      if (tracked.removal_at) {
        tracked.removal_at = std::min(*tracked.removal_at, removal_at);
      }
    }
  }
  this->available = available;
}

void BackendRegistry::OnStoreRestored(TimePoint now) {
  this->store_returned_at = now;
  this->restored_at = now;
}

// Ignored for the first kMinOutage: what another entry read just before the
// store went away may still arrive shortly after.
void BackendRegistry::OnPeerHasNewerRegistration(TimePoint now) {
  if (!this->available && now - this->store_lost_at >= kMinOutage) {
    this->is_own_outage = true;
  }
}

bool BackendRegistry::OnTimer(TimePoint now) {
  bool changed = false;
  for (auto each = this->tracked.begin(); each != this->tracked.end();) {
    const auto removal_at = each->second.removal_at;
    const bool is_due = removal_at && *removal_at <= now;
    each = is_due ? this->Erase(each, now) : std::next(each);
    changed = changed || is_due;
  }
  if (this->restored_at && now >= *this->restored_at + kRestoredRowExpiry) {
    for (const auto& [name, backend] : std::exchange(this->withheld, {})) {
      this->Put(name, backend, now);
      changed = true;
    }
  }
  bool warmed = false;
  for (const auto& [name, tracked] : this->tracked) {
    warmed = warmed || (tracked.cold_until > this->last_timer &&
                        tracked.cold_until <= now);
  }
  this->last_timer = now;
  return warmed || changed;
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
  if (this->restored_at && !this->withheld.empty()) {
    sooner(*this->restored_at + kRestoredRowExpiry);
  }
  return next;
}

}  // namespace acacia
