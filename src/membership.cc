#include "src/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/log_event.h"

namespace acacia {
namespace {

using schema::MemberState;

constexpr Duration kProbeInterval = std::chrono::seconds(1);
constexpr Duration kAckTimeout = std::chrono::milliseconds(400);
constexpr Duration kSuspicionUnit = std::chrono::seconds(4);
constexpr Duration kLostProbeInterval = std::chrono::seconds(5);
constexpr Duration kMinSyncInterval = std::chrono::seconds(30);
constexpr Duration kSyncIntervalPerMember = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::milliseconds(500);
// How long a dead member is remembered, so that an old rumour does not bring
// it back.
constexpr Duration kTombstone = std::chrono::minutes(10);
constexpr std::size_t kIndirectProbes = 3;
constexpr std::uint32_t kMaxLocalHealth = 8;
constexpr std::uint32_t kTransmitFactor = 3;

// Among updates of one incarnation, the higher rank wins.
int Rank(MemberState state) {
  switch (state) {
    case MemberState::Alive:
      return 0;
    case MemberState::Leaving:
      return 1;
    case MemberState::Suspect:
      return 2;
    case MemberState::Dead:
      return 3;
  }
  return 0;
}

bool IsLive(const Member& member) {
  return member.info.state == MemberState::Alive ||
         member.info.state == MemberState::Leaving;
}

bool Supersedes(const schema::MemberUpdateT& update,
                const schema::MemberUpdateT& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return Rank(update.state) > Rank(known.state);
}

// Settings and the platform's list may name the instance itself.
std::vector<PeerAddress> Without(std::vector<PeerAddress> addresses,
                                 const std::string& self) {
  std::erase(addresses, PeerAddress(self));
  return addresses;
}

}  // namespace

Membership::Membership(const schema::MemberUpdateT& self,
                       const std::vector<PeerAddress>& seeds,
                       RandomSource& random,
                       TimePoint now)
    : self(self),
      seeds(Without(seeds, self.peer_address)),
      random(random),
      sequence(random.Next()),
      self_transmits_left(kTransmitFactor),
      next_probe(now),
      next_lost_probe(now),
      next_sync(now),
      next_expiry(now) {}

MembershipMessages Membership::OnTick(TimePoint now) {
  MembershipMessages messages;
  this->CheckProbes(now, messages);
  if (now >= this->next_probe) {
    const auto jitter = std::chrono::milliseconds(this->random.Below(200));
    this->next_probe =
        now + kProbeInterval * (1 + this->local_health / 2) + jitter;
    this->ProbeNext(now, messages);
  }
  if (now >= this->next_lost_probe) {
    this->next_lost_probe = now + kLostProbeInterval;
    this->ProbeLost(now, messages);
  }
  if (now >= this->next_expiry) {
    this->next_expiry = now + kExpiryInterval;
    this->ExpireMembers(now);
  }
  if (now >= this->next_sync) {
    this->AskForSync(now, messages);
  }
  return messages;
}

schema::PingT Membership::StartProbe(const InstanceId& target,
                                     const PeerAddress& address,
                                     TimePoint now) {
  schema::PingT ping;
  ping.sequence = ++this->sequence;
  this->probes[ping.sequence] = {target, address, now, false, std::nullopt};
  return ping;
}

void Membership::ProbeNext(TimePoint now, MembershipMessages& messages) {
  const auto target = this->NextTarget();
  if (target) {
    const PeerAddress address(this->members.at(*target).info.peer_address);
    messages.push_back({address, this->StartProbe(*target, address, now)});
  }
}

// Walks all members in a random order before it starts again, which bounds the
// time to the first probe of each.
std::optional<InstanceId> Membership::NextTarget() {
  for (int refills = 0; refills < 2; ++refills) {
    while (!this->round.empty()) {
      const InstanceId next = this->round.back();
      this->round.pop_back();
      const auto member = this->members.find(next);
      const bool gone = member == this->members.end() ||
                        member->second.info.state == MemberState::Dead;
      if (!gone) {
        return next;
      }
    }
    for (const auto& [id, member] : this->members) {
      this->round.push_back(id);
    }
    for (std::size_t i = this->round.size(); i > 1; --i) {
      std::swap(this->round[i - 1], this->round[this->random.Below(i)]);
    }
  }
  return std::nullopt;
}

std::vector<PeerAddress> Membership::Suggested() const {
  std::vector<PeerAddress> addresses = this->seeds;
  addresses.insert(addresses.end(), this->listed.begin(), this->listed.end());
  std::erase(addresses, PeerAddress(this->self.peer_address));
  return addresses;
}

// Looks for members on the far side of a healed partition and for seeds that
// are not known yet.
void Membership::ProbeLost(TimePoint now, MembershipMessages& messages) {
  std::vector<PeerAddress> lost;
  for (const auto& [id, member] : this->members) {
    if (member.info.state == MemberState::Dead) {
      lost.emplace_back(member.info.peer_address);
    }
  }
  for (const PeerAddress& address : this->Suggested()) {
    if (!this->IsLiveAddress(address)) {
      lost.push_back(address);
    }
  }
  if (!lost.empty()) {
    const PeerAddress& address = lost[this->random.Below(lost.size())];
    messages.push_back({address, this->StartProbe({}, address, now)});
  }
}

void Membership::CheckProbes(TimePoint now, MembershipMessages& messages) {
  for (auto probe = this->probes.begin(); probe != this->probes.end();) {
    auto& [probe_sequence, state] = *probe;
    const bool own = !state.relay && !state.target.IsEmpty();
    if (own && !state.indirect_sent && now - state.sent >= this->AckTimeout()) {
      state.indirect_sent = true;
      schema::PingRequestT request;
      request.sequence = probe_sequence;
      request.target = state.target.Value();
      request.target_address = state.address.Value();
      for (const PeerAddress& helper : this->RandomPeers(kIndirectProbes)) {
        if (helper != state.address) {
          messages.push_back({helper, request});
        }
      }
    }
    if (now - state.sent < 3 * this->AckTimeout()) {
      ++probe;
      continue;
    }
    const auto member = this->members.find(state.target);
    if (own && member != this->members.end()) {
      this->local_health = std::min(kMaxLocalHealth, this->local_health + 1);
      if (IsLive(member->second)) {
        this->SetState(member->second, MemberState::Suspect, now);
      }
    }
    probe = this->probes.erase(probe);
  }
}

void Membership::SetState(Member& member, MemberState state, TimePoint now) {
  member.info.state = state;
  member.since = now;
  member.transmits_left = this->Transmits();
  ++this->version;
  LogEvent("member_state")
      .With("instance", member.info.instance)
      .With("incarnation", member.info.incarnation)
      .With("state", schema::EnumNameMemberState(state));
}

void Membership::ExpireMembers(TimePoint now) {
  for (auto member = this->members.begin(); member != this->members.end();) {
    Member& state = member->second;
    const Duration age = now - state.since;
    if (state.info.state == MemberState::Suspect &&
        age >= this->SuspicionTimeout()) {
      this->SetState(state, MemberState::Dead, now);
    }
    const bool forget =
        state.info.state == MemberState::Dead && age >= kTombstone;
    member = forget ? this->members.erase(member) : std::next(member);
  }
}

void Membership::AskForSync(TimePoint now, MembershipMessages& messages) {
  const Duration interval = std::max<Duration>(
      kMinSyncInterval, kSyncIntervalPerMember * this->members.size());
  auto candidates = this->LivePeers();
  this->next_sync = now + std::min(interval, this->sync_backoff);
  if (this->sync_backoff < interval && !candidates.empty()) {
    this->sync_backoff *= 2;
  }
  if (candidates.empty()) {
    candidates = this->Suggested();
    this->next_sync = now + kProbeInterval;
  }
  if (!candidates.empty()) {
    schema::MemberSyncT sync;
    sync.reply_wanted = true;
    messages.push_back(
        {candidates[this->random.Below(candidates.size())], sync});
  }
}

void Membership::OnUpdate(const schema::MemberUpdateT& update, TimePoint now) {
  const InstanceId id(update.instance);
  if (update.instance == this->self.instance) {
    this->Refute(update, now);
    return;
  }
  const auto known = this->members.find(id);
  if (known == this->members.end()) {
    if (update.state == MemberState::Dead) {
      return;
    }
    Member& member = this->members[id];
    member.info = update;
    this->SetState(member, update.state, now);
    return;
  }
  if (!Supersedes(update, known->second.info)) {
    return;
  }
  known->second.info = update;
  known->second.bad_link = false;
  this->SetState(known->second, update.state, now);
}

void Membership::Refute(const schema::MemberUpdateT& update, TimePoint now) {
  const bool accused =
      update.state == MemberState::Suspect || update.state == MemberState::Dead;
  if (update.incarnation < this->self.incarnation) {
    return;
  }
  if (!accused && update.incarnation > this->self.incarnation) {
    this->superseded = true;
    LogEvent("superseded", LogSeverity::kError)
        .With("incarnation", update.incarnation);
  }
  if (accused) {
    this->self.incarnation = update.incarnation + 1;
    this->self_transmits_left = this->Transmits();
    this->local_health = std::min(kMaxLocalHealth, this->local_health + 1);
    this->next_probe = std::min(this->next_probe, now);
  }
}

void Membership::OnHeard(const schema::MemberUpdateT& sender, TimePoint now) {
  this->OnUpdate(sender, now);
  const auto member = this->members.find(InstanceId(sender.instance));
  if (member != this->members.end() &&
      member->second.info.incarnation == sender.incarnation) {
    member->second.info.load_permille = sender.load_permille;
  }
}

MembershipMessages Membership::OnPing(const PeerAddress& from,
                                      const schema::PingT& ping) {
  schema::AckT ack;
  ack.sequence = ping.sequence;
  return {{from, ack}};
}

MembershipMessages Membership::OnPingRequest(
    const PeerAddress& from,
    const schema::PingRequestT& request,
    TimePoint now) {
  const PeerAddress address(request.target_address);
  const schema::PingT ping =
      this->StartProbe(InstanceId(request.target), address, now);
  schema::AckT ack;
  ack.sequence = request.sequence;
  this->probes[ping.sequence].relay = MembershipMessage{from, ack};
  return {{address, ping}};
}

std::optional<TimePoint> Membership::OnAck(const schema::AckT& ack,
                                           MembershipMessages& replies,
                                           TimePoint now) {
  const auto found = this->probes.find(ack.sequence);
  if (found == this->probes.end()) {
    return std::nullopt;
  }
  const Probe probe = std::move(found->second);
  this->probes.erase(found);
  if (probe.relay) {
    replies.push_back(*probe.relay);
    return probe.sent;
  }
  this->local_health -= std::min(this->local_health, 1U);
  const auto member = this->members.find(probe.target);
  if (member == this->members.end()) {
    return probe.sent;
  }
  if (member->second.bad_link != probe.indirect_sent) {
    member->second.bad_link = probe.indirect_sent;
    LogEvent("peer_link")
        .With("instance", probe.target)
        .With("bad", probe.indirect_sent);
  }
  if (member->second.info.state == MemberState::Suspect) {
    // The target refutes the suspicion itself with a higher incarnation; this
    // tells it of the suspicion.
    member->second.transmits_left = this->Transmits();
    member->second.since = now;
  }
  return probe.sent;
}

void Membership::OnPlatformList(const std::vector<PeerAddress>& addresses) {
  this->listed = Without(addresses, this->self.peer_address);
}

void Membership::AnnounceLeaving(TimePoint now) {
  if (this->self.state != MemberState::Leaving) {
    this->self.state = MemberState::Leaving;
    ++this->self.incarnation;
    this->self_transmits_left = this->Transmits();
    this->next_probe = now;
  }
}

// The own update goes with every message (see AgentCore), so only others are
// chosen here.
std::vector<schema::MemberUpdateT> Membership::TakeUpdates(std::size_t limit) {
  std::vector<Member*> waiting;
  for (auto& [id, member] : this->members) {
    if (member.transmits_left > 0) {
      waiting.push_back(&member);
    }
  }
  const auto chosen = std::min(limit, waiting.size());
  std::partial_sort(waiting.begin(),
                    waiting.begin() + static_cast<std::ptrdiff_t>(chosen),
                    waiting.end(), [](const Member* a, const Member* b) {
                      return a->transmits_left > b->transmits_left;
                    });
  std::vector<schema::MemberUpdateT> updates;
  for (std::size_t i = 0; i < chosen; ++i) {
    --waiting[i]->transmits_left;
    updates.push_back(waiting[i]->info);
  }
  return updates;
}

std::optional<schema::MemberUpdateT> Membership::AccusationFor(
    const PeerAddress& address) const {
  for (const auto& [id, member] : this->members) {
    if (!IsLive(member) && member.info.peer_address == address.Value()) {
      return member.info;
    }
  }
  return std::nullopt;
}

std::vector<schema::MemberUpdateT> Membership::AllUpdates() const {
  std::vector<schema::MemberUpdateT> updates;
  for (const auto& [id, member] : this->members) {
    updates.push_back(member.info);
  }
  return updates;
}

std::vector<PeerAddress> Membership::LivePeers() const {
  std::vector<PeerAddress> peers;
  for (const auto& [id, member] : this->members) {
    if (IsLive(member)) {
      peers.emplace_back(member.info.peer_address);
    }
  }
  return peers;
}

bool Membership::HasLivePeers() const {
  return std::any_of(this->members.begin(), this->members.end(),
                     [](const auto& entry) { return IsLive(entry.second); });
}

std::vector<PeerAddress> Membership::RandomPeers(std::size_t count) {
  std::vector<const Member*> live;
  for (const auto& [id, member] : this->members) {
    if (IsLive(member)) {
      live.push_back(&member);
    }
  }
  std::vector<PeerAddress> peers;
  for (std::size_t i = 0; i < std::min(count, live.size()); ++i) {
    std::swap(live[i], live[i + this->random.Below(live.size() - i)]);
    peers.emplace_back(live[i]->info.peer_address);
  }
  return peers;
}

std::size_t Membership::KnownPeers() const {
  return std::max(
      {this->members.size(), this->seeds.size(), this->listed.size()});
}

bool Membership::IsLiveAddress(const PeerAddress& address) const {
  return std::any_of(this->members.begin(), this->members.end(),
                     [&](const auto& entry) {
                       return IsLive(entry.second) &&
                              entry.second.info.peer_address == address.Value();
                     });
}

Duration Membership::AckTimeout() const {
  return kAckTimeout * (1 + this->local_health);
}

Duration Membership::SuspicionTimeout() const {
  const double scale =
      std::max(1.0, std::log10(static_cast<double>(this->members.size() + 1)));
  return std::chrono::duration_cast<Duration>(kSuspicionUnit * scale);
}

std::uint32_t Membership::Transmits() const {
  const double doublings =
      std::log2(static_cast<double>(this->members.size() + 2));
  return kTransmitFactor * static_cast<std::uint32_t>(std::ceil(doublings));
}

std::vector<std::string> Membership::Status() const {
  std::map<std::string, int> counts;
  std::vector<std::string> lines;
  for (const auto& [id, member] : this->members) {
    ++counts[schema::EnumNameMemberState(member.info.state)];
    if (member.bad_link) {
      lines.push_back("bad link to " + id.Value() + ": only others reach it");
    }
  }
  std::string summary = "members:";
  for (const auto& [state, count] : counts) {
    summary += " " + state + " " + std::to_string(count);
  }
  lines.insert(lines.begin(), summary);
  if (this->superseded) {
    lines.emplace_back("another process runs as this instance");
  }
  return lines;
}

}  // namespace acacia
