// Builds the fleet's state, as an entry uses it for routing, from the
// registered backend servers and the members' table.
#ifndef SRC_FLEET_STATE_H_
#define SRC_FLEET_STATE_H_

#include <cstdint>
#include <memory>

#include "src/backend_registry.h"
#include "src/cells.h"
#include "src/clock.h"
#include "src/generated/entry_link_generated.h"
#include "src/member_directory.h"

namespace acacia {

// Converts a membership record to the form that an entry receives.
std::unique_ptr<schema::FleetMemberT> MakeFleetMember(
    const schema::MemberUpdateT& info);

// Assigns the members and the registered backend servers to cells.
Cells BuildCells(const BackendRegistry& registry,
                 const MemberDirectory& directory);

// Builds the fleet's state for this entry. `fleet_size` is the number of
// entries that share the fleet-wide limits; `now` decides which backend servers
// still count as cold.
std::unique_ptr<schema::FleetUpdateT> BuildFleetUpdate(
    const BackendRegistry& registry,
    const MemberDirectory& directory,
    const Cells& cells,
    std::uint32_t fleet_size,
    TimePoint now);

}  // namespace acacia

#endif  // SRC_FLEET_STATE_H_
