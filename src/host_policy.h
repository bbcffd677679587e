// Derives the policy of services, and an entry's own row in the members table,
// from the settings of an entry on a host platform.
#ifndef SRC_HOST_POLICY_H_
#define SRC_HOST_POLICY_H_

#include "src/clock.h"
#include "src/configuration.h"
#include "src/generated/peer_generated.h"
#include "src/generated/settings_generated.h"

namespace acacia {

// Returns the policy that applies to every service. `retry_window->extra`
// counts for the whole fleet, not for one entry.
ServicePolicy MakeServicePolicy(const schema::HostPlatformSettingsT& settings);

// Returns this entry's row in the members table; its incarnation is the time of
// the call. `settings.host_platform` must be set.
schema::MemberUpdateT DescribeSelf(const schema::EntrySettingsT& settings,
                                   const Clock& clock);

}  // namespace acacia

#endif  // SRC_HOST_POLICY_H_
