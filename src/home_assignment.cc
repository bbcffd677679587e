#include "src/home_assignment.h"

#include <algorithm>
#include <string>

#include "src/rendezvous.h"

namespace acacia {

namespace {

struct Pairing {
  double score = 0;
  std::size_t entry = 0;
  std::size_t backend = 0;
};

std::size_t CeilDivide(std::size_t dividend, std::size_t divisor) {
  return (dividend + divisor - 1) / divisor;
}

std::vector<Pairing> ScorePairings(
    const ServiceName& service,
    const std::vector<InstanceId>& entries,
    const std::vector<BackendServer>& backend_servers) {
  std::vector<Pairing> pairings;
  pairings.reserve(entries.size() * backend_servers.size());
  for (std::size_t b = 0; b < backend_servers.size(); ++b) {
    const std::string key =
        service.Value() + "/" + backend_servers[b].id.Value();
    for (std::size_t e = 0; e < entries.size(); ++e) {
      const double score = RendezvousScore(key, {entries[e].Value()});
      pairings.push_back({score, e, b});
    }
  }
  std::sort(
      pairings.begin(), pairings.end(),
      [](const Pairing& a, const Pairing& b) { return a.score > b.score; });
  return pairings;
}

// Returns the backend servers of the highest-scored pairings of entry
// `self_index`, with at most `per_entry` for each entry and the resulting
// average, rounded up, for each backend server.
std::vector<std::size_t> ChooseWithinBounds(
    const std::vector<Pairing>& pairings,
    std::size_t self_index,
    std::size_t entries,
    std::size_t backends,
    std::size_t per_entry) {
  const std::size_t per_backend = CeilDivide(per_entry * entries, backends);
  std::vector<std::size_t> entry_counts(entries);
  std::vector<std::size_t> backend_counts(backends);
  std::vector<std::size_t> chosen;
  for (const Pairing& pairing : pairings) {
    if (entry_counts[pairing.entry] >= per_entry ||
        backend_counts[pairing.backend] >= per_backend) {
      continue;
    }
    ++entry_counts[pairing.entry];
    ++backend_counts[pairing.backend];
    if (pairing.entry == self_index) {
      chosen.push_back(pairing.backend);
    }
  }
  return chosen;
}

}  // namespace

HomeAssignment AssignHomes(const ServiceName& service,
                           const InstanceId& self,
                           const std::vector<InstanceId>& entries,
                           const std::vector<BackendServer>& backend_servers) {
  const auto found = std::find(entries.begin(), entries.end(), self);
  HomeAssignment assignment;
  if (found == entries.end() || backend_servers.empty()) {
    return assignment;
  }
  const auto self_index = static_cast<std::size_t>(found - entries.begin());
  const std::size_t count = backend_servers.size();
  std::size_t slots = 0;
  for (const BackendServer& backend : backend_servers) {
    slots += backend.slots;
  }
  const std::size_t homes =
      std::min(count, std::max(kMinHomes, slots / entries.size()));
  const std::size_t nearby = std::min(count, std::max(kMinNearby, homes));
  const std::vector<Pairing> pairings =
      ScorePairings(service, entries, backend_servers);
  assignment.homes =
      ChooseWithinBounds(pairings, self_index, entries.size(), count, homes);
  assignment.nearby =
      ChooseWithinBounds(pairings, self_index, entries.size(), count, nearby);
  assignment.entries_per_home = CeilDivide(homes * entries.size(), count);
  return assignment;
}

}  // namespace acacia
