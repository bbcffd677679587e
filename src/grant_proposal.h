// Computes the next version of an ejection grant: which backend servers are
// ejected, which are returning and which are dropped from it. Pure functions;
// see ejection.h for the protocol and why it keeps the floor.
#ifndef SRC_GRANT_PROPOSAL_H_
#define SRC_GRANT_PROPOSAL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "src/clock.h"
#include "src/floor.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"

namespace acacia {

// Longest time that an instance applies a grant which it has not confirmed.
inline constexpr Duration kMaxGrantAge = std::chrono::minutes(10);
// How long a returning backend server counts as ejected for the floor.
inline constexpr Duration kReturningTime = std::chrono::minutes(12);

// How long a backend server stays ejected: 30 s, doubled for each relapse, at
// most 30 min.
Duration Probation(std::uint32_t relapses);

// The ejected backend servers, those ejected longest first.
std::vector<BackendId> EjectedInOrder(const schema::EjectionGrantT& grant);

struct ProposalInput {
  const schema::EjectionGrantT& grant;
  const ServiceCapacity& capacity;
  const std::set<BackendId>& sick;
  UnixTime unix_now;
  // How long this instance has itself seen the entry in its list, the returning
  // or the ejected one.
  std::function<Duration(const schema::EjectionEntryT& entry, bool returning)>
      age;
};

// The next version of the grant; nullopt when no change is due.
std::optional<schema::EjectionGrantT> ProposeGrant(const ProposalInput& input);

}  // namespace acacia

#endif  // SRC_GRANT_PROPOSAL_H_
