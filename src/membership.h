// Group membership without a central registry: which instances exist and what
// state they are in. Each instance pings one random member per period, asks
// other members to ping it before it suspects it, and suspects it for a while
// before it declares it dead. State updates are piggybacked on these messages.
// The protocol is SWIM (Das, Gupta, Motivala 2002) with the local health
// multiplier of Lifeguard (Dadgar, Phillips, Currey 2018). The cost per
// instance does not grow with the fleet.
//
// A member that answers others but not this instance is marked as having a bad
// link and stays alive. A replacement at the same address is distinguished from
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
  // How many more times this update is to be sent.
  std::uint32_t transmits_left = 0;
  // Other instances reach it, but this one does not.
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

  // Returns the probes and requests that are due.
  MembershipMessages OnTick(TimePoint now);
  // Merges an update that another instance sent; one about this instance is
  // refuted if it claims that the instance is suspect or dead.
  void OnUpdate(const schema::MemberUpdateT& update, TimePoint now);
  // Handles the update that a message's sender states about itself.
  void OnMessageFrom(const schema::MemberUpdateT& sender, TimePoint now);
  MembershipMessages OnPing(const PeerAddress& from, const schema::PingT& ping);
  MembershipMessages OnPingRequest(const PeerAddress& from,
                                   const schema::PingRequestT& request,
                                   TimePoint now);
  // Returns the time at which the acknowledged ping was sent, or nothing if the
  // acknowledgement is no longer awaited.
  std::optional<TimePoint> OnAck(const schema::AckT& ack,
                                 MembershipMessages& replies,
                                 TimePoint now);
  // Takes the peer addresses that the platform lists. The list lags behind, so
  // it only suggests addresses to probe.
  void OnPlatformList(const std::vector<PeerAddress>& addresses);

  void SetLoad(std::uint32_t permille) { this->self.load_permille = permille; }
  void AnnounceLeaving(TimePoint now);

  // Returns up to `limit` updates to attach to a message, the least often sent
  // first, and counts them as sent.
  std::vector<schema::MemberUpdateT> TakeUpdates(std::size_t limit);
  // Returns the update by which this instance holds the member at the address
  // to be suspect or dead, if it does. Messages to the member carry it, because
  // the member can only refute what it receives.
  std::optional<schema::MemberUpdateT> FindNonLiveUpdate(
      const PeerAddress& address) const;
  // Returns the updates of all members, for an instance that has just joined.
  std::vector<schema::MemberUpdateT> AllUpdates() const;
  const schema::MemberUpdateT& Self() const { return this->self; }
  const std::map<InstanceId, Member>& Others() const { return this->members; }
  // Returns the addresses of the members that are neither suspect nor dead.
  std::vector<PeerAddress> LivePeers() const;
  bool HasLivePeers() const;
  // Returns up to `count` distinct live peers.
  std::vector<PeerAddress> RandomPeers(std::size_t count);
  // Returns the number of peers to expect: the largest of the number of
  // members, of seeds and of addresses that the platform lists.
  std::size_t KnownPeerCount() const;
  // Whether an instance of the same name with a higher incarnation is alive.
  bool IsSuperseded() const { return this->superseded; }
  // Changes whenever the state of a member changes.
  std::uint64_t Version() const { return this->version; }
  std::vector<std::string> Status() const;

 private:
  struct Probe {
    InstanceId target;
    PeerAddress address;
    TimePoint sent;
    bool indirect_sent = false;
    // The acknowledgement to send on, if the probe is made for another
    // instance.
    std::optional<MembershipMessage> relay;
  };

  void SetState(Member& member, schema::MemberState state, TimePoint now);
  void Refute(const schema::MemberUpdateT& update, TimePoint now);
  void ProbeNext(TimePoint now, MembershipMessages& messages);
  void ProbeUnreachable(TimePoint now, MembershipMessages& messages);
  void CheckProbes(TimePoint now, MembershipMessages& messages);
  void ExpireMembers(TimePoint now);
  void AskForSync(TimePoint now, MembershipMessages& messages);
  schema::PingT StartProbe(const InstanceId& target,
                           const PeerAddress& address,
                           TimePoint now);
  std::optional<InstanceId> NextTarget();
  Duration AckTimeout() const;
  Duration SuspicionTimeout() const;
  std::uint32_t RetransmitLimit() const;
  // Addresses of possible peers from the settings and the platform's list.
  std::vector<PeerAddress> SuggestedAddresses() const;
  bool IsLiveAddress(const PeerAddress& address) const;

  schema::MemberUpdateT self;
  std::vector<PeerAddress> seeds;
  std::vector<PeerAddress> platform_addresses;
  RandomSource& random;
  std::map<InstanceId, Member> members;
  std::map<std::uint64_t, Probe> probes;
  std::vector<InstanceId> probe_order;
  // Starts at a random value, so that a late acknowledgement to this instance's
  // predecessor does not match a probe of this process.
  std::uint64_t sequence;
  std::uint64_t version = 0;
  std::uint32_t self_transmits_left;
  std::uint32_t local_health = 0;
  bool superseded = false;
  TimePoint next_probe;
  TimePoint next_unreachable_probe;
  TimePoint next_sync;
  // A new instance requests full syncs at short, doubling intervals at first,
  // because many instances may be starting at the same time.
  Duration sync_backoff = std::chrono::seconds(5);
  TimePoint next_expiry;
};

}  // namespace acacia

#endif  // SRC_MEMBERSHIP_H_
