// The backend servers that are registered in the store, and what an outage of
// the store does to them. Registrations lapse while backend servers cannot
// renew them; those that live are back soon after the store is. So what goes
// missing in an outage stays in use until the store has been back for a while,
// and is gone if it is still missing then. When only this entry was cut off
// from the store, nothing lapsed by that, and what is missing is gone at once.
//
// Not thread-safe; events and `now` in, no I/O.
#ifndef SRC_BACKEND_REGISTRY_H_
#define SRC_BACKEND_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/configuration.h"
#include "src/ids.h"

namespace acacia {

struct RegisteredBackend {
  // Differs between incarnations, also of the same name.
  BackendId id;
  ServiceName service;
  // With the name under which the backend server expects requests.
  BackendServer server;
  bool leaving = false;
  // How long it stays slow, counted from when the registration was read.
  Duration cold_left{};
  bool operator==(const RegisteredBackend&) const = default;
};

// Keyed by the name of the registration. Nothing: one that names no usable
// backend server.
using Registrations = std::map<std::string, std::optional<RegisteredBackend>>;

class BackendRegistry {
 public:
  // Registrations that lapsed in an outage are back within this time of its
  // end, if their backend server lives.
  static constexpr Duration kReturnTime = std::chrono::milliseconds(1900);
  // A shorter time without the store lets no registration lapse: a single lost
  // connection delays nothing.
  static constexpr Duration kShortestOutage = std::chrono::seconds(1);

  struct Held {
    RegisteredBackend backend;
    TimePoint cold_until;
    // Missing since an outage: gone at this time unless it returns.
    std::optional<TimePoint> gone_at;
  };

  // The whole table.
  void Replace(const Registrations& registrations, TimePoint now);
  void Put(const std::string& name,
           const std::optional<RegisteredBackend>& backend,
           TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  void OnStoreAvailable(bool available, TimePoint now);
  // Another entry knows of a newer registration than this one.
  void OnOthersAhead(TimePoint now);

  // Drops what is gone by now; true when that, or the end of a cold start,
  // changed anything since the last call.
  bool OnTimer(TimePoint now);
  std::optional<TimePoint> NextTimer() const;

  const std::map<std::string, Held>& Backends() const { return this->held; }

 private:
  bool IsRecovering(TimePoint now) const;

  std::map<std::string, Held> held;
  bool available = true;
  TimePoint lost_at{};
  // The store served others during this outage.
  bool is_own_outage = false;
  std::optional<TimePoint> returned_at;
  TimePoint last_timer{};
};

}  // namespace acacia

#endif  // SRC_BACKEND_REGISTRY_H_
