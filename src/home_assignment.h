// Assigns each entry of a service its home backend servers: the few it prefers,
// so that few entries compete for a slot and an entry sees enough outcomes of
// each to assess its health. Every entry computes the same assignment from the
// same view without communication. The nearby backend servers, which an entry
// uses next, are assigned the same way, so that the evidence about a backend
// server comes from few entries that each have enough of it. Assignment is by
// rendezvous score, with an upper bound on both sides that keeps homes and
// slots balanced (bounded loads, after Mirrokni, Thorup, Zadimoghaddam 2018).
#ifndef SRC_HOME_ASSIGNMENT_H_
#define SRC_HOME_ASSIGNMENT_H_

#include <cstddef>
#include <vector>

#include "src/configuration.h"
#include "src/ids.h"

namespace acacia {

// The minimum number of homes of an entry, as far as there are backend servers.
inline constexpr std::size_t kMinHomes = 2;
inline constexpr std::size_t kMinNearby = 6;

struct HomeAssignment {
  // Indexes into `backend_servers`; empty when `self` is not among `entries`.
  std::vector<std::size_t> homes;
  std::vector<std::size_t> nearby;
  // The maximum number of entries that share a home.
  std::size_t entries_per_home = 1;
};

HomeAssignment AssignHomes(const ServiceName& service,
                           const InstanceId& self,
                           const std::vector<InstanceId>& entries,
                           const std::vector<BackendServer>& backend_servers);

}  // namespace acacia

#endif  // SRC_HOME_ASSIGNMENT_H_
