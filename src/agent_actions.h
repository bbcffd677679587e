// The actions that AgentCore returns for the agent to carry out: platform
// operations, messages to peers, and updates and replies for the entry.
#ifndef SRC_AGENT_ACTIONS_H_
#define SRC_AGENT_ACTIONS_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/generated/entry_link_generated.h"
#include "src/generated/file_set_generated.h"
#include "src/ids.h"
#include "src/platform.h"

namespace acacia {

// An unreliable message of at most kMaxDatagramBytes.
struct SendDatagram {
  PeerAddress to;
  std::string bytes;
};
// A message of any size, sent on a stream; lost when the peer is unreachable.
struct SendFrame {
  PeerAddress to;
  std::string bytes;
};
// Sends the configuration in force to the entry.
struct PublishConfiguration {
  Generation generation;
  std::shared_ptr<const schema::FileSetT> file_set;
};
// Sends the state of members and backend servers to the entry.
struct PublishFleet {
  std::shared_ptr<const schema::FleetUpdateT> update;
};
// Answers an idempotency key claim of the entry.
struct AnswerKeyClaim {
  schema::KeyClaimReplyT reply;
};

using AgentAction = std::variant<ReadRow,
                                 WriteRow,
                                 ReadObject,
                                 WriteObject,
                                 ReadInstanceList,
                                 SendDatagram,
                                 SendFrame,
                                 PublishConfiguration,
                                 PublishFleet,
                                 AnswerKeyClaim>;
using AgentActions = std::vector<AgentAction>;

inline constexpr std::size_t kMaxDatagramBytes = 1200;

// Allocates the ids of one agent's platform operations.
class OperationIds {
 public:
  OperationId Take() {
    this->last = this->last.Next();
    return this->last;
  }

 private:
  OperationId last;
};

}  // namespace acacia

#endif  // SRC_AGENT_ACTIONS_H_
