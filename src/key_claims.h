// Claims idempotency keys for routes that ask for it: a row per key, written by
// compare-and-set from "does not exist". A claim is granted only when the row
// is known to hold this claim's own id; a lost reply is settled by reading the
// row, and by the same write again while the row does not exist.
#ifndef SRC_KEY_CLAIMS_H_
#define SRC_KEY_CLAIMS_H_

#include <cstdint>
#include <map>
#include <string>

#include "src/agent_actions.h"
#include "src/clock.h"
#include "src/generated/entry_link_generated.h"
#include "src/ids.h"

namespace acacia {

class KeyClaims {
 public:
  // `owner` is unique to this process.
  KeyClaims(std::string owner, OperationIds& operations);

  void OnClaim(const schema::KeyClaimT& claim,
               TimePoint now,
               AgentActions& actions);
  // Both return false when the operation is somebody else's.
  bool OnRowRead(OperationId operation,
                 const RowResult& result,
                 AgentActions& actions);
  bool OnRowWritten(OperationId operation,
                    const WriteResult& result,
                    AgentActions& actions);
  // Answers "not known" for claims that the platform has kept waiting.
  void OnTick(TimePoint now, AgentActions& actions);

 private:
  struct Claim {
    std::uint64_t request = 0;
    std::string row_key;
    std::string write_id;
    TimePoint started;
    int tries_left = 0;
  };

  void Write(const Claim& claim, AgentActions& actions);
  void Read(const Claim& claim, AgentActions& actions);

  std::string owner;
  OperationIds& operations;
  std::map<OperationId, Claim> claims;
  std::uint64_t count = 0;
};

}  // namespace acacia

#endif  // SRC_KEY_CLAIMS_H_
