// Polls the platform's instance lists, which lag behind reality: the list of
// each service that names one, and that of the fleet's own entries. The polling
// interval grows with the size of the fleet and the number of lists, so that
// all instances together stay within kMaxFleetReadsPerSecond. An instance that
// starts while the platform is unavailable takes copies of the lists from a
// peer.
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

// Bounds the list reads of the whole fleet.
inline constexpr double kMaxFleetReadsPerSecond = 150;

struct ListedServer {
  ListedInstance listed;
  // End of the warm-up of a server that newly appeared on an already known
  // list. Default value: no warm-up.
  TimePoint cold_until;
};

class Discovery {
 public:
  struct List {
    std::vector<ListedServer> servers;
    // When the read that gave the newest answer was sent; empty before the
    // first answer.
    std::optional<TimePoint> asked;
  };

  Discovery(RandomSource& random, OperationIds& operations);

  // Sets the lists to poll; the others are forgotten.
  void SetNames(const std::vector<std::string>& names, TimePoint now);
  // Adds a read to `actions` for each list that is due.
  void OnTick(std::size_t fleet_size, TimePoint now, AgentActions& actions);
  // Returns the name of the list that was updated; empty when none was.
  std::string OnInstanceList(OperationId operation,
                             const InstanceListResult& result,
                             TimePoint now);
  // Null while the list is not known.
  const List* Find(const std::string& name) const;

  // Returns the lists whose read failed since the last call and that were never
  // known here, to be requested from a peer.
  std::vector<std::string> TakeUnavailableLists();
  // Takes a peer's copy of a list, unless the list is already known here.
  // Returns the name of the list that was updated; empty when none was.
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
