#include "src/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/log_event.h"

namespace acacia {
namespace {

using schema::MemberState;

constexpr Duration kProbeInterval = std::chrono::seconds(1);
constexpr Duration kBaseAckTimeout = std::chrono::milliseconds(400);
constexpr Duration kBaseSuspicionTimeout = std::chrono::seconds(4);
constexpr Duration kUnreachableProbeInterval = std::chrono::seconds(5);
constexpr Duration kMinSyncInterval = std::chrono::seconds(30);
constexpr Duration kSyncIntervalPerMember = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::milliseconds(500);
// How long a dead member is kept, so that an outdated update does not add it
// again.
constexpr Duration kTombstoneRetention = std::chrono::minutes(10);
constexpr std::size_t kIndirectProbeCount = 3;
constexpr std::uint32_t kMaxLocalHealth = 8;
constexpr std::uint32_t kRetransmitMultiplier = 3;

// Among updates of the same incarnation, the one of higher precedence wins.
int StatePrecedence(MemberState state) {
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
  return StatePrecedence(update.state) > StatePrecedence(known.state);
}

// The seeds and the platform's list may contain this instance's own address.
std::vector<PeerAddress> ExcludeAddress(std::vector<PeerAddress> addresses,
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
      seeds(ExcludeAddress(seeds, self.peer_address)),
      random(random),
      sequence(random.Next()),
      self_transmits_left(kRetransmitMultiplier),
      next_probe(now),
      next_unreachable_probe(now),
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
  if (now >= this->next_unreachable_probe) {
    this->next_unreachable_probe = now + kUnreachableProbeInterval;
    this->ProbeUnreachable(now, messages);
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

// Probes all members once in random order before it reshuffles them, which
// bounds the time until each is probed.
std::optional<InstanceId> Membership::NextTarget() {
  for (int refills = 0; refills < 2; ++refills) {
    while (!this->probe_order.empty()) {
      const InstanceId next = this->probe_order.back();
      this->probe_order.pop_back();
      const auto member = this->members.find(next);
      const bool gone = member == this->members.end() ||
                        member->second.info.state == MemberState::Dead;
      if (!gone) {
        return next;
      }
    }
    for (const auto& [id, member] : this->members) {
      this->probe_order.push_back(id);
    }
    for (std::size_t i = this->probe_order.size(); i > 1; --i) {
      std::swap(this->probe_order[i - 1],
                this->probe_order[this->random.Below(i)]);
    }
  }
  return std::nullopt;
}

std::vector<PeerAddress> Membership::SuggestedAddresses() const {
  std::vector<PeerAddress> addresses = this->seeds;
  addresses.insert(addresses.end(), this->platform_addresses.begin(),
                   this->platform_addresses.end());
  std::erase(addresses, PeerAddress(this->self.peer_address));
  return addresses;
}

// Probes one random address among dead members, which may be reachable again
// after a partition, and suggested addresses that belong to no live member.
void Membership::ProbeUnreachable(TimePoint now, MembershipMessages& messages) {
  std::vector<PeerAddress> unreachable;
  for (const auto& [id, member] : this->members) {
    if (member.info.state == MemberState::Dead) {
      unreachable.emplace_back(member.info.peer_address);
    }
  }
  for (const PeerAddress& address : this->SuggestedAddresses()) {
    if (!this->IsLiveAddress(address)) {
      unreachable.push_back(address);
    }
  }
  if (!unreachable.empty()) {
    const PeerAddress& address =
        unreachable[this->random.Below(unreachable.size())];
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
      for (const PeerAddress& helper : this->RandomPeers(kIndirectProbeCount)) {
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
  member.transmits_left = this->RetransmitLimit();
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
        state.info.state == MemberState::Dead && age >= kTombstoneRetention;
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
    candidates = this->SuggestedAddresses();
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
  const bool suspect_or_dead =
      update.state == MemberState::Suspect || update.state == MemberState::Dead;
  if (update.incarnation < this->self.incarnation) {
    return;
  }
  if (!suspect_or_dead && update.incarnation > this->self.incarnation) {
    this->superseded = true;
    LogEvent("superseded", LogSeverity::kError)
        .With("incarnation", update.incarnation);
  }
  if (suspect_or_dead) {
    this->self.incarnation = update.incarnation + 1;
    this->self_transmits_left = this->RetransmitLimit();
    this->local_health = std::min(kMaxLocalHealth, this->local_health + 1);
    this->next_probe = std::min(this->next_probe, now);
  }
}

void Membership::OnMessageFrom(const schema::MemberUpdateT& sender,
                               TimePoint now) {
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
    // The target must refute the suspicion itself, with a higher incarnation.
    // Sending the update again informs it of the suspicion.
    member->second.transmits_left = this->RetransmitLimit();
    member->second.since = now;
  }
  return probe.sent;
}

void Membership::OnPlatformList(const std::vector<PeerAddress>& addresses) {
  this->platform_addresses = ExcludeAddress(addresses, this->self.peer_address);
}

void Membership::AnnounceLeaving(TimePoint now) {
  if (this->self.state != MemberState::Leaving) {
    this->self.state = MemberState::Leaving;
    ++this->self.incarnation;
    this->self_transmits_left = this->RetransmitLimit();
    this->next_probe = now;
  }
}

// AgentCore attaches this instance's own update to every message, so only those
// of other members are chosen here.
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

std::optional<schema::MemberUpdateT> Membership::FindNonLiveUpdate(
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

std::size_t Membership::KnownPeerCount() const {
  return std::max({this->members.size(), this->seeds.size(),
                   this->platform_addresses.size()});
}

bool Membership::IsLiveAddress(const PeerAddress& address) const {
  return std::any_of(this->members.begin(), this->members.end(),
                     [&](const auto& entry) {
                       return IsLive(entry.second) &&
                              entry.second.info.peer_address == address.Value();
                     });
}

Duration Membership::AckTimeout() const {
  return kBaseAckTimeout * (1 + this->local_health);
}

Duration Membership::SuspicionTimeout() const {
  const double scale =
      std::max(1.0, std::log10(static_cast<double>(this->members.size() + 1)));
  return std::chrono::duration_cast<Duration>(kBaseSuspicionTimeout * scale);
}

std::uint32_t Membership::RetransmitLimit() const {
  const double doublings =
      std::log2(static_cast<double>(this->members.size() + 2));
  return kRetransmitMultiplier *
         static_cast<std::uint32_t>(std::ceil(doublings));
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
