// Brings the newest accepted configuration to this instance. Heads come from
// the platform's row (polled with jitter) and from peers; bodies come from
// whoever has them and are checked by hash. The generation in force only moves
// forward, and a new instance is ready only once it has heard the highest
// generation from the platform or from several peers.
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
  // Sends an ObjectRequest for the hash to the peer.
  struct AskPeer {
    PeerAddress peer;
    ObjectHash hash;
  };
  struct Requests {
    AgentActions actions;
    std::vector<AskPeer> peer_requests;
  };

  ConfigSync(RandomSource& random, OperationIds& operations, TimePoint now);

  // `peers` are live members; `known_peers` counts those that should exist.
  // True when OnTick would ask peers for objects.
  bool IsFetching() const { return !this->fetches.empty(); }
  Requests OnTick(const std::vector<PeerAddress>& peers,
                  std::size_t known_peers,
                  TimePoint now);
  // Both return false when the operation is somebody else's.
  bool OnRowRead(OperationId operation, const RowResult& result, TimePoint now);
  bool OnObjectRead(OperationId operation,
                    const ObjectResult& result,
                    TimePoint now);
  void OnPeerHead(const PeerAddress& peer,
                  const schema::ConfigurationHeadT& head,
                  TimePoint now);
  void OnPeerObject(const schema::ObjectReplyT& reply, TimePoint now);
  // The body of an object that this instance holds.
  const std::string* FindObject(const ObjectHash& hash) const;

  // True once after each new generation came into force.
  bool TakeChanged();
  bool IsReady() const { return this->ready; }
  // True when the entry may get the generation in force: a peer has it too, or
  // none is there to take it, or spreading has failed for kSpreadPatience. A
  // replacement of this instance then finds it even without the platform.
  bool IsSpread(bool has_peers, TimePoint now) const;
  // The peers that told of the generation that came into force last.
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
  // When the last answer of the platform's head row was asked for.
  std::optional<TimePoint> LastPlatformAnswer() const {
    return this->last_platform_answer;
  }
  // Why this instance is not ready, and what it is fetching.
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
  void Want(const ObjectHash& hash, TimePoint now);
  void Accept(const ObjectHash& hash, std::string body, TimePoint now);
  void Advance(TimePoint now);
  void PutInForce(const std::vector<ObjectHash>& manifest, TimePoint now);
  void StartFetches(const std::vector<PeerAddress>& peers,
                    TimePoint now,
                    Requests& requests);
  void UpdateReady(std::size_t known_peers, TimePoint now);
  Duration Jittered(Duration around);

  RandomSource& random;
  OperationIds& operations;
  TimePoint started;

  // In force; generation 0 is none.
  schema::ConfigurationHeadT current;
  std::shared_ptr<const schema::FileSetT> file_set;
  // The newest head heard of; its objects are being fetched when it is newer
  // than the current one.
  schema::ConfigurationHeadT target;
  std::map<ObjectHash, std::string> objects;
  std::map<ObjectHash, Fetch> fetches;
  // Peers that have the target in force.
  std::vector<PeerAddress> sources;

  TimePoint next_poll;
  std::uint32_t failed_polls = 0;
  bool polled = false;
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
