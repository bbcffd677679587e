// Identifier types used throughout the system.
#ifndef SRC_IDS_H_
#define SRC_IDS_H_

#include <cstdint>

#include "src/strong_type.h"

namespace acacia {

// An entry instance: a machine slot that runs an agent and an entry.
using InstanceId = StrongString<struct InstanceTag>;
using FailureDomain = StrongString<struct FailureDomainTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
// A backend server is identified by its address, "ip:port".
using BackendId = StrongString<struct BackendTag>;
using AccountId = StrongString<struct AccountTag>;
// "ip:port" of an acaciaswitch process.
using PeerAddress = StrongString<struct PeerAddressTag>;
// Lower-case hexadecimal SHA-256 of an object's bytes.
using ObjectHash = StrongString<struct ObjectHashTag>;

// Identifies a caller's request within one entry process.
using RequestId = StrongNumber<struct RequestTag, std::uint64_t>;
// Numbers the attempts of one request, from 1.
using AttemptId = StrongNumber<struct AttemptTag, std::uint32_t>;
// Counts accepted configurations; 0 means that there is none yet.
using Generation = StrongNumber<struct GenerationTag, std::uint64_t>;
// Distinguishes an instance from its predecessor at the same address.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
// Version of a table row; 0 means that the row does not exist.
using RowVersion = StrongNumber<struct RowVersionTag, std::uint64_t>;
// Matches the completion of a control action to the action.
using OperationId = StrongNumber<struct OperationTag, std::uint64_t>;

}  // namespace acacia

#endif  // SRC_IDS_H_
