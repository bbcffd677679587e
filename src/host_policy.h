// What the settings of an entry on a host platform mean for its services and
// its own row in the members' table.
#ifndef SRC_HOST_POLICY_H_
#define SRC_HOST_POLICY_H_

#include "src/clock.h"
#include "src/configuration.h"
#include "src/generated/peer_generated.h"
#include "src/generated/settings_generated.h"

namespace acacia {

// The policy of every service; retry_window->extra is the whole fleet's.
ServicePolicy MakeServicePolicy(const schema::HostPlatformSettingsT& settings);

// The settings must have a host platform.
schema::MemberUpdateT DescribeSelf(const schema::EntrySettingsT& settings,
                                   const Clock& clock);

}  // namespace acacia

#endif  // SRC_HOST_POLICY_H_
