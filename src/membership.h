// Which instances exist and how they are, without any central register:
// heartbeats to one random member per period, indirect probes through others
// before suspicion, suspicion before death, and updates that ride on the
// heartbeats. After SWIM (Das, Gupta, Motivala 2002) with the local health
// multiplier of Lifeguard (Dadgar, Phillips, Currey 2018). The cost per
// instance does not grow with the fleet.
//
// A member that answers others but not this instance has a bad link to it and
// stays alive. An instance that was replaced at the same address is told from
// its predecessor by its higher incarnation.
#ifndef SRC_MEMBERSHIP_H_
#define SRC_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/random_source.h"

namespace acacia {

struct Member {
  schema::MemberUpdateT info;
  TimePoint since;
  // How often this update is still to be passed on.
  std::uint32_t transmits_left = 0;
  // Others reach it and this instance does not.
  bool bad_link = false;
};

struct MembershipMessage {
  PeerAddress to;
  std::variant<schema::PingT,
               schema::AckT,
               schema::PingRequestT,
               schema::MemberSyncT>
      payload;
};
using MembershipMessages = std::vector<MembershipMessage>;

class Membership {
 public:
  Membership(const schema::MemberUpdateT& self,
             const std::vector<PeerAddress>& seeds,
             RandomSource& random,
             TimePoint now);

  MembershipMessages OnTick(TimePoint now);
  void OnUpdate(const schema::MemberUpdateT& update, TimePoint now);
  // A message came from this instance.
  void OnHeard(const schema::MemberUpdateT& sender, TimePoint now);
  MembershipMessages OnPing(const PeerAddress& from, const schema::PingT& ping);
  MembershipMessages OnPingRequest(const PeerAddress& from,
                                   const schema::PingRequestT& request,
                                   TimePoint now);
  // Returns when the ping that is answered was sent; empty when the answer is
  // not awaited any more.
  std::optional<TimePoint> OnAck(const schema::AckT& ack,
                                 MembershipMessages& replies,
                                 TimePoint now);
  // The peer addresses that the platform lists. The list lags, so it only
  // suggests whom to probe.
  void OnPlatformList(const std::vector<PeerAddress>& addresses);

  void SetLoad(std::uint32_t permille) { this->self.load_permille = permille; }
  void AnnounceLeaving(TimePoint now);

  // Updates to attach to a message, the least told first.
  std::vector<schema::MemberUpdateT> TakeUpdates(std::size_t limit);
  // What this instance holds against the instance at an address, for messages
  // to it: it cannot refute what it does not hear of.
  std::optional<schema::MemberUpdateT> AccusationFor(
      const PeerAddress& address) const;
  // Everything, for an instance that has just joined.
  std::vector<schema::MemberUpdateT> AllUpdates() const;
  const schema::MemberUpdateT& Self() const { return this->self; }
  const std::map<InstanceId, Member>& Others() const { return this->members; }
  // Instances that are neither suspect nor dead.
  std::vector<PeerAddress> LivePeers() const;
  bool HasLivePeers() const;
  // Up to `count` distinct live peers.
  std::vector<PeerAddress> RandomPeers(std::size_t count);
  // How many peers there should be, by everything that was heard or set.
  std::size_t KnownPeers() const;
  // An instance of the same name and a higher incarnation is alive.
  bool IsSuperseded() const { return this->superseded; }
  // Changes whenever a member's state does.
  std::uint64_t Version() const { return this->version; }
  std::vector<std::string> Status() const;

 private:
  struct Probe {
    InstanceId target;
    PeerAddress address;
    TimePoint sent;
    bool indirect_sent = false;
    // Set when the probe was made for another instance.
    std::optional<MembershipMessage> relay;
  };

  void SetState(Member& member, schema::MemberState state, TimePoint now);
  void Refute(const schema::MemberUpdateT& update, TimePoint now);
  void ProbeNext(TimePoint now, MembershipMessages& messages);
  void ProbeLost(TimePoint now, MembershipMessages& messages);
  void CheckProbes(TimePoint now, MembershipMessages& messages);
  void ExpireMembers(TimePoint now);
  void AskForSync(TimePoint now, MembershipMessages& messages);
  schema::PingT StartProbe(const InstanceId& target,
                           const PeerAddress& address,
                           TimePoint now);
  std::optional<InstanceId> NextTarget();
  Duration AckTimeout() const;
  Duration SuspicionTimeout() const;
  std::uint32_t Transmits() const;
  // Where peers may be by the settings and the platform's list.
  std::vector<PeerAddress> Suggested() const;
  bool IsLiveAddress(const PeerAddress& address) const;

  schema::MemberUpdateT self;
  std::vector<PeerAddress> seeds;
  std::vector<PeerAddress> listed;
  RandomSource& random;
  std::map<InstanceId, Member> members;
  std::map<std::uint64_t, Probe> probes;
  std::vector<InstanceId> round;
  // Begins at random, so that a late answer to this instance's predecessor is
  // not taken for an answer to this process.
  std::uint64_t sequence;
  std::uint64_t version = 0;
  std::uint32_t self_transmits_left;
  std::uint32_t local_health = 0;
  bool superseded = false;
  TimePoint next_probe;
  TimePoint next_lost_probe;
  TimePoint next_sync;
  // A new instance asks for everything a few times soon, because many may be
  // starting at once.
  Duration sync_backoff = std::chrono::seconds(5);
  TimePoint next_expiry;
};

}  // namespace acacia

#endif  // SRC_MEMBERSHIP_H_
