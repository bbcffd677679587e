// The capacity floor: ejections must leave at least floor_percent of all slots
// of the service at the remaining backend servers. Leaving, drained and cold
// backend servers do not count as capacity.
#ifndef SRC_FLOOR_H_
#define SRC_FLOOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "src/ids.h"

namespace acacia {

struct ServerCapacity {
  std::uint32_t slots = 0;
  // False when it is leaving, drained or cold.
  bool usable = true;
};

struct ServiceCapacity {
  std::map<BackendId, ServerCapacity> servers;
  std::uint32_t floor_percent = 50;
};

// Returns true when the service keeps its floor without the `ejected` backend
// servers.
bool KeepsFloor(const ServiceCapacity& capacity,
                const std::set<BackendId>& ejected);

// Selects from `ejected`, in order, each known backend server that can be
// ejected together with those already selected without falling below the floor.
std::vector<BackendId> SelectWithinFloor(const ServiceCapacity& capacity,
                                         const std::vector<BackendId>& ejected);

}  // namespace acacia

#endif  // SRC_FLOOR_H_
