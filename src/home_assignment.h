// Gives each entry of a service its home backend servers: the few it prefers,
// so that a slot has few rivals and an entry sees enough of each of them to
// judge it. All entries compute the same assignment from the same view without
// talking. The nearby ones, to which an entry spills first, are assigned the
// same way: evidence about a backend server then comes from few entries that
// each have enough of it. Rendezvous scores decide, with a bound on both sides
// so that homes and slots come out even (bounded loads after Mirrokni, Thorup,
// Zadimoghaddam 2018).
#ifndef SRC_HOME_ASSIGNMENT_H_
#define SRC_HOME_ASSIGNMENT_H_

#include <cstddef>
#include <vector>

#include "src/configuration.h"
#include "src/ids.h"

namespace acacia {

// An entry has at least this many homes while there are as many backend
// servers.
inline constexpr std::size_t kMinHomes = 2;
inline constexpr std::size_t kNearby = 6;

struct HomeAssignment {
  // Indexes into the backend servers; empty for an instance that is not among
  // the entries.
  std::vector<std::size_t> homes;
  std::vector<std::size_t> nearby;
  // How many entries share each home at most.
  std::size_t entries_per_home = 1;
};

HomeAssignment AssignHomes(const ServiceName& service,
                           const InstanceId& self,
                           const std::vector<InstanceId>& entries,
                           const std::vector<BackendServer>& backend_servers);

}  // namespace acacia

#endif  // SRC_HOME_ASSIGNMENT_H_
