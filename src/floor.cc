#include "src/floor.h"

namespace acacia {

bool KeepsFloor(const ServiceCapacity& capacity,
                const std::set<BackendId>& ejected) {
  std::uint64_t total = 0;
  std::uint64_t remaining = 0;
  for (const auto& [id, server] : capacity.servers) {
    total += server.slots;
    if (server.usable && ejected.count(id) == 0) {
      remaining += server.slots;
    }
  }
  return remaining * 100 >= total * capacity.floor_percent;
}

std::vector<BackendId> SelectWithinFloor(
    const ServiceCapacity& capacity,
    const std::vector<BackendId>& ejected) {
  std::vector<BackendId> kept;
  std::set<BackendId> selected;
  for (const BackendId& id : ejected) {
    if (capacity.servers.count(id) == 0) {
      continue;
    }
    selected.insert(id);
    if (KeepsFloor(capacity, selected)) {
      kept.push_back(id);
    } else {
      selected.erase(id);
    }
  }
  return kept;
}

}  // namespace acacia
