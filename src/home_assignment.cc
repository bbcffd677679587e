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

std::size_t DivideUp(std::size_t dividend, std::size_t divisor) {
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
  const auto own = static_cast<std::size_t>(found - entries.begin());
  std::size_t slots = 0;
  for (const BackendServer& backend : backend_servers) {
    slots += backend.slots;
  }
  const std::size_t per_entry = std::min(
      backend_servers.size(), std::max(kMinHomes, slots / entries.size()));
  const std::size_t per_backend =
      DivideUp(per_entry * entries.size(), backend_servers.size());
  assignment.entries_per_home = per_backend;
  std::vector<std::size_t> entry_homes(entries.size());
  std::vector<std::size_t> backend_entries(backend_servers.size());
  for (const Pairing& pairing :
       ScorePairings(service, entries, backend_servers)) {
    if (entry_homes[pairing.entry] >= per_entry ||
        backend_entries[pairing.backend] >= per_backend) {
      continue;
    }
    ++entry_homes[pairing.entry];
    ++backend_entries[pairing.backend];
    if (pairing.entry == own) {
      assignment.homes.push_back(pairing.backend);
    }
  }
  return assignment;
}

}  // namespace acacia
