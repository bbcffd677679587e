// The backend servers registered in the store, and how they are kept through an
// outage of the store. Backend servers cannot renew their registrations during
// an outage, so registrations expire; those of running backend servers come
// back soon after the store does. A backend server that goes missing in an
// outage therefore stays in use until the store has been back for
// kReregistrationTime, and is removed if it is still missing then. When only
// this entry lost the store, no registration expired because of that, and
// missing backend servers are removed at once.
//
// A row may be older than what is known: the store performs a write late, or
// was restored from a copy. A report older than the one known is ignored. A
// backend server that is known to be gone returns at once with a newer report
// or as a new incarnation; any other report of it is withheld. It is used only
// when a newer one follows, or when its registration outlasts kExpiryTime,
// within which that of a backend server without heartbeats expires. One that
// was removed sooner after a report than it could have expired has left, so
// that a newer report alone, written before it left, does not bring it back.
//
// Not thread-safe. Driven by events and `now`; does no I/O.
#ifndef SRC_BACKEND_REGISTRY_H_
#define SRC_BACKEND_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
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

// What became of a registration that was read.
enum class RegistrationUse {
  kUsed,
  // Describes no usable backend server.
  kUnusable,
  // Older than the report known of a backend server that is in use.
  kOlder,
  // The backend server is gone, and this may be from before it went.
  kWithheld,
};

// Returns the name for the log. These names are stable.
std::string_view RegistrationUseName(RegistrationUse use);

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

  // Registrations of backend servers that do not renew them expire within this
  // time.
  static constexpr Duration kExpiryTime = std::chrono::seconds(6);
  // No registration expires so soon after a report has arrived.
  static constexpr Duration kMinSilence = std::chrono::milliseconds(3500);

  struct TrackedBackend {
    RegisteredBackend backend;
    // When the report arrived; nullopt if it may have been written long before.
    std::optional<TimePoint> reported_at;
    // Starts of earlier incarnations, the latest last. They do not return.
    std::vector<std::uint64_t> replaced_starts;
    TimePoint cold_until;
    // Set when the registration went missing in an outage: it is removed at
    // this time unless it returns.
    std::optional<TimePoint> removal_at;
  };

  // Replaces all registrations.
  void Replace(const Registrations& registrations, TimePoint now);
  RegistrationUse Put(const std::string& name,
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
  std::size_t WithheldCount() const { return this->withheld.size(); }

 private:
  // What is remembered of a backend server that is gone.
  struct GoneBackend {
    ReportOrder last_report;
    std::vector<std::uint64_t> replaced_starts;
    TimePoint removed_at;
    // Its registration did not expire, but was removed.
    bool has_left = false;
  };
  struct WithheldBackend {
    RegisteredBackend backend;
    TimePoint since;
  };
  using Tracked = std::map<std::string, TrackedBackend>;

  bool IsRecovering(TimePoint now) const;
  bool IsSettling(TimePoint now) const;
  // Whether a report of a backend server that is gone may be from before it
  // went.
  bool MayBeFromBefore(const std::string& name,
                       const RegisteredBackend& backend,
                       TimePoint now) const;
  RegistrationUse Apply(const std::string& name,
                        const std::optional<RegisteredBackend>& backend,
                        std::optional<TimePoint> reported_at,
                        TimePoint now);
  void Use(const std::string& name,
           const RegisteredBackend& backend,
           std::optional<TimePoint> reported_at,
           TimePoint now);
  void Withhold(const std::string& name,
                const RegisteredBackend& backend,
                TimePoint now);
  void DropWithheld(const std::string& name);
  TimePoint ReleaseTime(const WithheldBackend& each) const;
  Tracked::iterator Erase(Tracked::iterator found,
                          bool has_left,
                          TimePoint now);

  // All by name of the registration.
  Tracked tracked;
  std::map<std::string, GoneBackend> gone;
  std::map<std::string, WithheldBackend> withheld;
  std::optional<TimePoint> restored_at;
  bool available = true;
  TimePoint available_since{};
  TimePoint store_lost_at{};
  // The store served other entries during this outage.
  bool is_own_outage = false;
  std::optional<TimePoint> store_returned_at;
  TimePoint last_timer{};
};

}  // namespace acacia

#endif  // SRC_BACKEND_REGISTRY_H_
