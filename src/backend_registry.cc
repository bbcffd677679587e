#include "src/backend_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acacia {
namespace {

// Longer than the age of a copy from which the store is restored, and than the
// store may take to perform a write.
constexpr Duration kGoneMemory = std::chrono::minutes(2);
// Bounds what is remembered of a backend server that starts again and again.
constexpr std::size_t kMaxReplacedStarts = 8;

bool Contains(const std::vector<std::uint64_t>& starts, std::uint64_t start) {
  return std::find(starts.begin(), starts.end(), start) != starts.end();
}

}  // namespace

std::string_view RegistrationUseName(RegistrationUse use) {
  switch (use) {
    case RegistrationUse::kUsed:
      return "used";
    case RegistrationUse::kUnusable:
      return "unusable";
    case RegistrationUse::kOlder:
      return "older";
    case RegistrationUse::kWithheld:
      return "withheld";
  }
  return "unknown";
}

bool BackendRegistry::IsRecovering(TimePoint now) const {
  return !this->available ||
         (this->store_returned_at &&
          now < *this->store_returned_at + kReregistrationTime);
}

// While the store has just returned, what is read may have been written long
// before.
bool BackendRegistry::IsSettling(TimePoint now) const {
  return !this->available || now - this->available_since < kMinSilence;
}

bool BackendRegistry::MayBeFromBefore(const std::string& name,
                                      const RegisteredBackend& backend,
                                      TimePoint now) const {
  const auto found = this->gone.find(name);
  if (found == this->gone.end()) {
    return false;
  }
  const GoneBackend& before = found->second;
  const std::uint64_t start = backend.report.started_ms;
  const bool is_newer = before.last_report < backend.report;
  const bool is_restored =
      this->restored_at && now < *this->restored_at + kExpiryTime;
  if (is_restored && !is_newer) {
    return true;
  }
  // Without a start time, an incarnation cannot be told from the one before.
  if (start == 0) {
    return false;
  }
  if (start != before.last_report.started_ms) {
    // An earlier start of which nothing is known is a new incarnation whose
    // clock is behind.
    return Contains(before.replaced_starts, start);
  }
  if (!is_newer) {
    return true;
  }
  if (!before.has_left) {
    return false;
  }
  const auto earlier = this->withheld.find(name);
  const bool reports_again =
      earlier != this->withheld.end() &&
      earlier->second.backend.report.started_ms == start &&
      before.last_report < earlier->second.backend.report &&
      earlier->second.backend.report < backend.report;
  return !reports_again;
}

BackendRegistry::Tracked::iterator
BackendRegistry::Erase(Tracked::iterator found, bool has_left, TimePoint now) {
  std::erase_if(this->gone, [now](const auto& item) {
    return now - item.second.removed_at >= kGoneMemory;
  });
  TrackedBackend& tracked = found->second;
  this->gone[found->first] = {tracked.backend.report,
                              std::move(tracked.replaced_starts), now,
                              has_left};
  return this->tracked.erase(found);
}

void BackendRegistry::Withhold(const std::string& name,
                               const RegisteredBackend& backend,
                               TimePoint now) {
  const auto [found, is_new] =
      this->withheld.try_emplace(name, WithheldBackend{backend, now});
  const bool is_same = found->second.backend.report == backend.report;
  if (!is_new && !is_same) {
    found->second = {backend, now};
  }
}

// The registration that was withheld is gone. Reports of the same incarnation
// that are no newer are then from before, too.
void BackendRegistry::DropWithheld(const std::string& name) {
  const auto item = this->withheld.extract(name);
  const auto found = this->gone.find(name);
  if (item.empty() || found == this->gone.end()) {
    return;
  }
  const ReportOrder& report = item.mapped().backend.report;
  ReportOrder& last = found->second.last_report;
  if (report.started_ms == last.started_ms && last < report) {
    last = report;
  }
}

void BackendRegistry::Replace(const Registrations& registrations,
                              TimePoint now) {
  std::vector<std::string> missing;
  const auto find_missing = [&](const auto& known) {
    for (const auto& [name, backend] : known) {
      if (!registrations.contains(name)) {
        missing.push_back(name);
      }
    }
  };
  find_missing(this->tracked);
  find_missing(this->withheld);
  for (const std::string& name : missing) {
    this->Remove(name, now);
  }
  for (const auto& [name, backend] : registrations) {
    this->Apply(name, backend, std::nullopt, now);
  }
}

RegistrationUse BackendRegistry::Put(
    const std::string& name,
    const std::optional<RegisteredBackend>& backend,
    TimePoint now) {
  return this->Apply(name, backend,
                     this->IsSettling(now) ? std::nullopt : std::optional(now),
                     now);
}

RegistrationUse BackendRegistry::Apply(
    const std::string& name,
    const std::optional<RegisteredBackend>& backend,
    std::optional<TimePoint> reported_at,
    TimePoint now) {
  const auto known = this->tracked.find(name);
  const bool is_known = known != this->tracked.end();
  if (!backend) {
    this->DropWithheld(name);
    if (is_known) {
      this->Erase(known, false, now);
    }
    return RegistrationUse::kUnusable;
  }
  if (is_known && backend->report < known->second.backend.report) {
    // All that is left if the backend server, which is missing, does not
    // return.
    if (known->second.removal_at) {
      this->Withhold(name, *backend, now);
    }
    return RegistrationUse::kOlder;
  }
  if (!is_known && this->MayBeFromBefore(name, *backend, now)) {
    this->Withhold(name, *backend, now);
    return RegistrationUse::kWithheld;
  }
  this->Use(name, *backend, reported_at, now);
  return RegistrationUse::kUsed;
}

void BackendRegistry::Use(const std::string& name,
                          const RegisteredBackend& backend,
                          std::optional<TimePoint> reported_at,
                          TimePoint now) {
  this->withheld.erase(name);
  const auto [found, is_new] = this->tracked.try_emplace(name);
  TrackedBackend& tracked = found->second;
  std::uint64_t start_before = tracked.backend.report.started_ms;
  if (const auto before = this->gone.extract(name); is_new && !before.empty()) {
    tracked.replaced_starts = std::move(before.mapped().replaced_starts);
    start_before = before.mapped().last_report.started_ms;
  }
  if (start_before != 0 && start_before != backend.report.started_ms) {
    tracked.replaced_starts.push_back(start_before);
    if (tracked.replaced_starts.size() > kMaxReplacedStarts) {
      tracked.replaced_starts.erase(tracked.replaced_starts.begin());
    }
  }
  const bool same = tracked.backend.id == backend.id;
  const bool cold = backend.cold_remaining > Duration{};
  const TimePoint cold_until =
      cold ? now + backend.cold_remaining : TimePoint{};
  tracked.cold_until =
      same ? std::min(tracked.cold_until, cold_until) : cold_until;
  if (is_new || !(tracked.backend.report == backend.report)) {
    tracked.reported_at = reported_at;
  }
  tracked.backend = backend;
  tracked.removal_at.reset();
}

void BackendRegistry::Remove(const std::string& name, TimePoint now) {
  this->DropWithheld(name);
  const auto found = this->tracked.find(name);
  if (found == this->tracked.end()) {
    return;
  }
  TrackedBackend& tracked = found->second;
  // A backend server that was leaving has stopped and will not return.
  if (!this->IsRecovering(now) || tracked.backend.leaving) {
    const bool has_left = !this->IsSettling(now) && tracked.reported_at &&
                          now - *tracked.reported_at < kMinSilence;
    this->Erase(found, has_left, now);
    return;
  }
  tracked.removal_at = this->available
                           ? *this->store_returned_at + kReregistrationTime
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
  if (available && !this->available) {
    this->available_since = now;
  }
  this->available = available;
}

void BackendRegistry::OnStoreRestored(TimePoint now) {
  this->store_returned_at = now;
  this->restored_at = now;
  // The copy may not have the removals that were known.
  for (auto& [name, each] : this->gone) {
    each.has_left = false;
  }
}

// Ignored for the first kMinOutage: what another entry read just before the
// store went away may still arrive shortly after.
void BackendRegistry::OnPeerHasNewerRegistration(TimePoint now) {
  if (!this->available && now - this->store_lost_at >= kMinOutage) {
    this->is_own_outage = true;
  }
}

// A registration expires only while the store is there to tell.
TimePoint BackendRegistry::ReleaseTime(const WithheldBackend& each) const {
  return std::max(each.since, this->store_returned_at.value_or(each.since)) +
         kExpiryTime;
}

bool BackendRegistry::OnTimer(TimePoint now) {
  bool changed = false;
  for (auto each = this->tracked.begin(); each != this->tracked.end();) {
    const auto removal_at = each->second.removal_at;
    const bool is_due = removal_at && *removal_at <= now;
    each = is_due ? this->Erase(each, false, now) : std::next(each);
    changed = changed || is_due;
  }
  // While the store is away, nothing is known to have outlasted its expiry.
  for (auto each = this->withheld.begin();
       this->available && each != this->withheld.end();) {
    const auto next = std::next(each);
    if (this->ReleaseTime(each->second) <= now &&
        !this->tracked.contains(each->first)) {
      const auto [name, outlasted] = *each;
      this->Use(name, outlasted.backend, std::nullopt, now);
      changed = true;
    }
    each = next;
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
  for (const auto& [name, each] : this->withheld) {
    if (this->available && !this->tracked.contains(name)) {
      sooner(this->ReleaseTime(each));
    }
  }
  return next;
}

}  // namespace acacia
