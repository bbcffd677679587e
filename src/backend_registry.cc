#include "src/backend_registry.h"

#include <algorithm>

namespace acacia {

bool BackendRegistry::IsRecovering(TimePoint now) const {
  return !this->available ||
         (this->returned_at && now < *this->returned_at + kReturnTime);
}

void BackendRegistry::Replace(const Registrations& registrations,
                              TimePoint now) {
  std::vector<std::string> missing;
  for (const auto& [name, held] : this->held) {
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
    this->held.erase(name);
    return;
  }
  Held& held = this->held[name];
  const bool same = held.backend.id == backend->id;
  const bool cold = backend->cold_left > Duration{};
  const TimePoint cold_until = cold ? now + backend->cold_left : TimePoint{};
  held.cold_until = same ? std::min(held.cold_until, cold_until) : cold_until;
  held.backend = *backend;
  held.gone_at.reset();
}

void BackendRegistry::Remove(const std::string& name, TimePoint now) {
  const auto found = this->held.find(name);
  if (found == this->held.end()) {
    return;
  }
  // One that was leaving has left.
  if (!this->IsRecovering(now) || found->second.backend.leaving) {
    this->held.erase(found);
    return;
  }
  found->second.gone_at =
      this->available ? *this->returned_at + kReturnTime : TimePoint::max();
}

void BackendRegistry::OnStoreAvailable(bool available, TimePoint now) {
  if (!available && this->available) {
    this->lost_at = now;
    this->is_own_outage = false;
  }
  const bool outage =
      now - this->lost_at >= kShortestOutage && !this->is_own_outage;
  if (available && !this->available && outage) {
    this->returned_at = now;
    for (auto& [name, held] : this->held) {
      if (held.gone_at) {
        held.gone_at = now + kReturnTime;
      }
    }
  }
  this->available = available;
}

// What others learnt just before the store went away may reach this entry as
// news shortly after.
void BackendRegistry::OnOthersAhead(TimePoint now) {
  if (!this->available && now - this->lost_at >= kShortestOutage) {
    this->is_own_outage = true;
  }
}

bool BackendRegistry::OnTimer(TimePoint now) {
  const std::size_t before = this->held.size();
  std::erase_if(this->held, [now](const auto& item) {
    return item.second.gone_at && *item.second.gone_at <= now;
  });
  bool warmed = false;
  for (const auto& [name, held] : this->held) {
    warmed = warmed ||
             (held.cold_until > this->last_timer && held.cold_until <= now);
  }
  this->last_timer = now;
  return warmed || this->held.size() != before;
}

std::optional<TimePoint> BackendRegistry::NextTimer() const {
  std::optional<TimePoint> next;
  const auto sooner = [&next](TimePoint at) {
    next = std::min(next.value_or(at), at);
  };
  for (const auto& [name, held] : this->held) {
    if (held.gone_at && *held.gone_at != TimePoint::max()) {
      sooner(*held.gone_at);
    }
    if (held.cold_until > this->last_timer) {
      sooner(held.cold_until);
    }
  }
  return next;
}

}  // namespace acacia
