// What the agent's decisions ask their owner to do: platform operations,
// messages to peers, and state for the entry.
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
// A message of any size on a stream; lost when the peer cannot be reached.
struct SendFrame {
  PeerAddress to;
  std::string bytes;
};
struct PublishConfiguration {
  Generation generation;
  std::shared_ptr<const schema::FileSetT> file_set;
};
struct PublishFleet {
  std::shared_ptr<const schema::FleetUpdateT> update;
};
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

// Numbers the platform operations of one agent.
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
