// Joins what the registry and the members' table say into the fleet's state as
// an entry routes by it.
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

// What an entry is told of a member.
std::unique_ptr<schema::FleetMemberT> MakeFleetMember(
    const schema::MemberUpdateT& info);

Cells BuildCells(const BackendRegistry& registry,
                 const MemberDirectory& directory);

// `fleet_size` entries share the fleet-wide bounds.
std::unique_ptr<schema::FleetUpdateT> BuildFleetUpdate(
    const BackendRegistry& registry,
    const MemberDirectory& directory,
    const Cells& cells,
    std::uint32_t fleet_size,
    TimePoint now);

}  // namespace acacia

#endif  // SRC_FLEET_STATE_H_
