// The backend servers registered in the store, and how they are kept through an
// outage of the store. Backend servers cannot renew their registrations during
// an outage, so registrations expire; those of running backend servers come
// back soon after the store does. A backend server that goes missing in an
// outage therefore stays in use until the store has been back for
// kReregistrationTime, and is removed if it is still missing then. When only
// this entry lost the store, no registration expired because of that, and
// missing backend servers are removed at once.
//
// A store that was restored from a copy shows registrations as they were when
// the copy was made. A report older than the one known is ignored, and a
// backend server that is known to be gone returns only with a newer report, or
// when its registration is still there after kRestoredRowExpiry.
//
// Not thread-safe. Driven by events and `now`; does no I/O.
#ifndef SRC_BACKEND_REGISTRY_H_
#define SRC_BACKEND_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "src/clock.h"
#include "src/configuration.h"
#include "src/ids.h"

namespace acacia {

// Orders the reports of a backend server about itself.
struct ReportOrder {
  // When the incarnation started, in milliseconds of Unix time; 0 if unknown.
  std::uint64_t started_ms = 0;
  // Grows with each report of the incarnation.
  std::uint64_t sequence = 0;

  bool operator==(const ReportOrder&) const = default;
  bool operator<(const ReportOrder& other) const {
    return std::tie(this->started_ms, this->sequence) <
           std::tie(other.started_ms, other.sequence);
  }
};

struct RegisteredBackend {
  // Differs between incarnations of the same name.
  BackendId id;
  ServiceName service;
  // Includes the name under which the backend server expects requests.
  BackendServer server;
  bool leaving = false;
  ReportOrder report;
  // The rest of its cold start, counted from when the registration was read.
  Duration cold_remaining{};
  bool operator==(const RegisteredBackend&) const = default;
};

// Keyed by the registration's name. The value is nullopt when the registration
// does not describe a usable backend server.
using Registrations = std::map<std::string, std::optional<RegisteredBackend>>;

class BackendRegistry {
 public:
  // Running backend servers restore their registrations within this time after
  // an outage.
  static constexpr Duration kReregistrationTime =
      std::chrono::milliseconds(1900);
  // No registration expires in a shorter time without the store, so a single
  // lost connection does not delay removals.
  static constexpr Duration kMinOutage = std::chrono::seconds(1);

  // Registrations of backend servers that are gone expire within this time
  // after the store was restored.
  static constexpr Duration kRestoredRowExpiry = std::chrono::seconds(6);

  struct TrackedBackend {
    RegisteredBackend backend;
    TimePoint cold_until;
    // Set when the registration went missing in an outage: it is removed at
    // this time unless it returns.
    std::optional<TimePoint> removal_at;
  };

  // Replaces all registrations.
  void Replace(const Registrations& registrations, TimePoint now);
  void Put(const std::string& name,
           const std::optional<RegisteredBackend>& backend,
           TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  void OnStoreAvailable(bool available, TimePoint now);
  // The store was restored from a copy. Call before the restored registrations
  // are passed on.
  void OnStoreRestored(TimePoint now);
  // Called when another entry knows of a newer registration than this one,
  // which means that the store still serves others.
  void OnPeerHasNewerRegistration(TimePoint now);

  // Removes registrations whose removal time has passed. Returns true when one
  // was removed or a cold start has ended since the last call.
  bool OnTimer(TimePoint now);
  std::optional<TimePoint> NextTimer() const;

  const std::map<std::string, TrackedBackend>& Backends() const {
    return this->tracked;
  }

 private:
  // The last report of a backend server that is gone.
  struct LastReport {
    ReportOrder report;
    TimePoint removed_at;
  };
  using Tracked = std::map<std::string, TrackedBackend>;

  bool IsRecovering(TimePoint now) const;
  // Whether a registration of the restored store may be that of a backend
  // server that is gone.
  bool MayBeGone(const std::string& name,
                 const RegisteredBackend& backend,
                 TimePoint now) const;
  Tracked::iterator Erase(Tracked::iterator found, TimePoint now);

  Tracked tracked;
  // By name of the registration.
  std::map<std::string, LastReport> removed;
  // Registrations that are not used until kRestoredRowExpiry has passed.
  std::map<std::string, RegisteredBackend> withheld;
  std::optional<TimePoint> restored_at;
  bool available = true;
  TimePoint store_lost_at{};
  // The store served other entries during this outage.
  bool is_own_outage = false;
  std::optional<TimePoint> store_returned_at;
  TimePoint last_timer{};
};

}  // namespace acacia

#endif  // SRC_BACKEND_REGISTRY_H_
