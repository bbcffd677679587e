// The capacity floor: whatever is ejected, the slots of the backend servers
// that remain must not fall below floor_percent of all the service's slots.
// Leaving, drained and cold backend servers are not capacity.
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
  // Neither leaving nor drained nor cold.
  bool usable = true;
};

struct ServiceCapacity {
  std::map<BackendId, ServerCapacity> servers;
  std::uint32_t floor_percent = 50;
};

// True when the service keeps its floor without the given backend servers.
bool KeepsFloor(const ServiceCapacity& capacity,
                const std::set<BackendId>& ejected);

// The longest prefix-wise selection of `ejected` that keeps the floor; those
// that come first are kept first.
std::vector<BackendId> WithinFloor(const ServiceCapacity& capacity,
                                   const std::vector<BackendId>& ejected);

}  // namespace acacia

#endif  // SRC_FLOOR_H_
