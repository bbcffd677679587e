// The routing state of an entry as one immutable value: the accepted
// configuration joined with the fleet's state. A newer snapshot replaces it as
// a whole, so that each request is routed by one consistent state.
#ifndef SRC_ENTRY_SNAPSHOT_H_
#define SRC_ENTRY_SNAPSHOT_H_

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "src/configuration.h"
#include "src/dispatcher.h"
#include "src/generated/entry_link_generated.h"
#include "src/lookup.h"
#include "src/router.h"

namespace acacia {

struct EntrySnapshot {
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const Router> router;
  std::vector<EntryMember> members;
  std::map<ServiceName, ServiceView> views;
  // The entries that lookups return for each service.
  std::map<ServiceName, std::vector<EntryMember>> subsets;
  std::uint64_t fleet_sequence = 0;

  // Whether a configuration is in force.
  bool IsReady() const { return this->configuration != nullptr; }
};

// Joins a configuration (null: none received yet) with the fleet's state (null:
// none received yet). This entry, `self`, is part of its own lookup answers
// even if the fleet's state does not list it, unless it is stopping.
EntrySnapshot BuildSnapshot(std::shared_ptr<const Configuration> configuration,
                            const schema::FleetUpdateT* fleet,
                            const EntryMember& self);

// Clears all ejections if the fleet's state, received `age` ago, is older than
// its `ejections_valid_ms`: the grants that permit them may have changed since,
// and only the agent could tell. Returns whether any ejection was cleared.
bool DropLapsedEjections(schema::FleetUpdateT& fleet, Duration age);

// Holds the current snapshot. Thread-safe.
class SnapshotHolder {
 public:
  SnapshotHolder() : current(std::make_shared<EntrySnapshot>()) {}

  std::shared_ptr<const EntrySnapshot> Get() const {
    const std::lock_guard lock(this->mutex);
    return this->current;
  }

  void Set(std::shared_ptr<const EntrySnapshot> next) {
    const std::lock_guard lock(this->mutex);
    this->current.swap(next);
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const EntrySnapshot> current;
};

}  // namespace acacia

#endif  // SRC_ENTRY_SNAPSHOT_H_
