// Brings the newest accepted configuration to this instance. Heads, which name
// a generation and its manifest, come from the platform's row (polled with
// jitter) and from peers. Manifests and chunks come from the platform or from
// peers and are checked by hash. The generation in force only increases, and a
// new instance is ready only once it has learned the highest generation from
// the platform or from several peers.
#ifndef SRC_CONFIG_SYNC_H_
#define SRC_CONFIG_SYNC_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/agent_actions.h"
#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/random_source.h"

namespace acacia {

class ConfigSync {
 public:
  // Asks the owner to send an ObjectRequest for the hash to the peer.
  struct PeerRequest {
    PeerAddress peer;
    ObjectHash hash;
  };
  struct Requests {
    AgentActions actions;
    std::vector<PeerRequest> peer_requests;
  };

  ConfigSync(RandomSource& random, OperationIds& operations, TimePoint now);

  // True while objects are missing, so that OnTick may ask peers for them.
  bool IsFetching() const { return !this->fetches.empty(); }
  // `peers` are live members; `known_peers` counts those that should exist.
  Requests OnTick(const std::vector<PeerAddress>& peers,
                  std::size_t known_peers,
                  TimePoint now);
  // Handle the result of a platform operation. Both return false when this
  // object did not start the operation.
  bool OnRowRead(OperationId operation, const RowResult& result, TimePoint now);
  bool OnObjectRead(OperationId operation,
                    const ObjectResult& result,
                    TimePoint now);
  void OnPeerHead(const PeerAddress& peer,
                  const schema::ConfigurationHeadT& head,
                  TimePoint now);
  void OnPeerObject(const schema::ObjectReplyT& reply, TimePoint now);
  // The body of an object that this instance holds; nullptr when it has none.
  const std::string* FindObject(const ObjectHash& hash) const;

  // True once after each new generation came into force.
  bool TakeChanged();
  bool IsReady() const { return this->ready; }
  // True when the entry may get the generation in force: a peer has it too,
  // there is no peer, or no peer has taken it for kMaxSpreadWait. With a copy
  // at a peer, a replacement of this instance finds the generation even while
  // the platform is unavailable.
  bool IsSpread(bool has_peers, TimePoint now) const;
  // Peers that announced the target generation while it was being fetched.
  const std::vector<PeerAddress>& Sources() const { return this->sources; }
  Generation CurrentGeneration() const {
    return Generation(this->current.generation);
  }
  const schema::ConfigurationHeadT& CurrentHead() const {
    return this->current;
  }
  std::shared_ptr<const schema::FileSetT> FileSet() const {
    return this->file_set;
  }
  // When the last poll that returned a readable head row was sent.
  std::optional<TimePoint> LastPlatformAnswer() const {
    return this->last_platform_answer;
  }
  // Lines for /status: among others why this instance is not ready and what it
  // is fetching.
  std::vector<std::string> Status() const;

 private:
  // One object that is being fetched.
  struct Fetch {
    TimePoint next_try;
    std::uint32_t tries = 0;
    std::optional<OperationId> operation;
  };

  void PollHead(TimePoint now, AgentActions& actions);
  void AdoptTarget(const schema::ConfigurationHeadT& head, TimePoint now);
  // Starts to fetch the object unless this instance holds it.
  void FetchIfMissing(const ObjectHash& hash, TimePoint now);
  void AcceptObject(const ObjectHash& hash, std::string body, TimePoint now);
  void AdvanceToTarget(TimePoint now);
  void PutInForce(const std::vector<ObjectHash>& manifest, TimePoint now);
  void StartFetches(const std::vector<PeerAddress>& peers,
                    TimePoint now,
                    Requests& requests);
  void UpdateReady(std::size_t known_peers, TimePoint now);
  Duration Jittered(Duration around);

  RandomSource& random;
  OperationIds& operations;
  TimePoint started;

  // The head in force; generation 0 means none.
  schema::ConfigurationHeadT current;
  std::shared_ptr<const schema::FileSetT> file_set;
  // The newest head known; its objects are being fetched when it is newer than
  // the current one.
  schema::ConfigurationHeadT target;
  std::map<ObjectHash, std::string> objects;
  std::map<ObjectHash, Fetch> fetches;
  // Peers that have the target in force.
  std::vector<PeerAddress> sources;

  TimePoint next_poll;
  std::uint32_t failed_polls = 0;
  // Whether the last poll succeeded.
  bool last_poll_succeeded = false;
  std::optional<OperationId> poll;
  TimePoint poll_sent;
  std::optional<TimePoint> last_platform_answer;
  bool platform_has_no_head = false;

  std::set<PeerAddress> heard_from;
  std::uint64_t newest_at_peers = 0;
  TimePoint in_force_since;
  bool ready = false;
  bool changed = false;
  std::uint64_t corrupt_objects = 0;
};

}  // namespace acacia

#endif  // SRC_CONFIG_SYNC_H_
