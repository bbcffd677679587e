// Everything that an entry routes by, as one immutable value: the accepted
// configuration and the fleet's state. A newer snapshot replaces it whole,
// between two requests.
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
  // Subset of the entries per service, for lookups.
  std::map<ServiceName, std::vector<EntryMember>> subsets;
  std::uint64_t fleet_sequence = 0;

  bool IsReady() const { return this->configuration != nullptr; }
};

// Joins a configuration (null: none yet) and the fleet's state (null: nothing
// known). `self` takes part in its own lookups even when no fleet state names
// it, unless it is stopping.
EntrySnapshot BuildSnapshot(std::shared_ptr<const Configuration> configuration,
                            const schema::FleetUpdateT* fleet,
                            const EntryMember& self);

// Drops all ejections when the fleet's state is older than it says they are
// valid: the grants behind them may have changed since, and only the agent
// could tell. Returns true when there were any.
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
