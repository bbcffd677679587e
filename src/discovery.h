// Reads the platform's lagging instance lists: of each service that names one,
// and of our own entries. The pace falls with the size of the fleet and the
// number of lists, so that all instances together stay within kFleetReads. An
// instance that starts while the platform is out takes a peer's copies.
#ifndef SRC_DISCOVERY_H_
#define SRC_DISCOVERY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/agent_actions.h"
#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/platform.h"
#include "src/random_source.h"

namespace acacia {

// List reads per second of the whole fleet.
inline constexpr double kMaxFleetReadsPerSecond = 150;

struct ListedServer {
  ListedInstance listed;
  // It appeared a short while ago on a list that was known before.
  TimePoint cold_until;
};

class Discovery {
 public:
  struct List {
    std::vector<ListedServer> servers;
    // When the newest answer was asked for; empty before the first.
    std::optional<TimePoint> asked;
  };

  Discovery(RandomSource& random, OperationIds& operations);

  void SetNames(const std::vector<std::string>& names, TimePoint now);
  void OnTick(std::size_t fleet_size, TimePoint now, AgentActions& actions);
  // Returns the name of the list that was updated; empty when none was.
  std::string OnInstanceList(OperationId operation,
                             const InstanceListResult& result,
                             TimePoint now);
  const List* Find(const std::string& name) const;

  // The lists that the platform failed to give since the last call and that
  // were never known here: to be asked of a peer.
  std::vector<std::string> TakeMissing();
  // A peer's copy; taken only while the list is not known here. Returns the
  // name of the list that was updated; empty when none was.
  std::string OnPeerList(const schema::ListReplyT& reply, TimePoint now);

 private:
  struct Poll {
    List list;
    std::optional<OperationId> operation;
    TimePoint sent;
    TimePoint next;
    bool asked_before = false;
  };

  Duration Jittered(Duration around);

  RandomSource& random;
  OperationIds& operations;
  std::map<std::string, Poll> polls;
  std::vector<std::string> missing;
};

}  // namespace acacia

#endif  // SRC_DISCOVERY_H_
