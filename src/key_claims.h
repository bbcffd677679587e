// Claims idempotency keys for routes that require it. Each key has a row, which
// is created by a compare-and-set from "does not exist". A claim is granted
// only once the row is known to hold the claim's own write id. If the reply to
// a write is lost, the row is read, and the write is repeated while the row
// does not exist.
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
  // Both return false if the operation is not one of this object's.
  bool OnRowRead(OperationId operation,
                 const RowResult& result,
                 AgentActions& actions);
  bool OnRowWritten(OperationId operation,
                    const WriteResult& result,
                    AgentActions& actions);
  // Replies "not known" to claims that the platform has not settled in time.
  void OnTick(TimePoint now, AgentActions& actions);

 private:
  struct Claim {
    std::uint64_t request = 0;
    std::string row_key;
    std::string write_id;
    TimePoint started;
    int reads_left = 0;
  };

  void Write(const Claim& claim, AgentActions& actions);
  void Read(const Claim& claim, AgentActions& actions);

  std::string owner;
  OperationIds& operations;
  std::map<OperationId, Claim> claims;
  std::uint64_t write_count = 0;
};

}  // namespace acacia

#endif  // SRC_KEY_CLAIMS_H_
