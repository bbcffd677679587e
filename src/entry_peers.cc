#include "src/entry_peers.h"

#include <algorithm>
#include <map>
#include <utility>

#include "src/agent_actions.h"
#include "src/log_event.h"

namespace acacia {
namespace {

// Without news the entries of a failure domain hear this often that the sender
// lives.
constexpr std::chrono::milliseconds kHeartbeat{500};
// Larger changes are not passed on: links of 10 Mbit/s would carry a copy for
// each listener, and the store has more room.
constexpr std::size_t kMostRelayedBytes = 16 * 1024;
// In fleets of this size evidence about suspects goes to all entries.
constexpr std::size_t kSmallFleet = 128;
// A failure domain has up to a hundred entries.
constexpr std::size_t kMostConnections = 128;

PeerTransportOptions TransportOptions() {
  PeerTransportOptions options;
  options.max_outgoing_connections = kMostConnections;
  return options;
}

}  // namespace

EntryPeers::EntryPeers(const boost::asio::any_io_executor& executor,
                       const schema::MemberUpdateT& self,
                       MemberDirectory& directory,
                       const Clock& clock,
                       EntryPeersEvents events)
    : self(self),
      directory(directory),
      clock(clock),
      events(std::move(events)),
      readers(InstanceId(self.instance)),
      transport(
          executor,
          [this](const PeerAddress& /*from*/, const std::string& bytes) {
            this->OnMessage(bytes);
          },
          TransportOptions()) {}

tl::expected<void, std::string> EntryPeers::Listen(const std::string& address) {
  return this->transport.Listen(address, "");
}

void EntryPeers::UpdateRole() {
  const TimePoint now = this->clock.Now();
  this->directory.UpdateCandidacy(now);
  this->role = this->readers.Role(this->directory, now);
}

bool EntryPeers::OthersRead(FollowedTable table, RowVersion after) const {
  return this->role == ReaderRole::kListener &&
         this->readers.SomeoneReads(table, after, this->directory,
                                    this->clock.Now());
}

// The entries of this one's cell hear everything; those of other backend
// servers' cells what concerns suspects there, and in a small fleet all do.
// Candidates hear from, and tell, the whole failure domain that they live.
// Readers tell those elsewhere how new their knowledge is, so that one whose
// call to the store is never answered finds out.
void EntryPeers::Share(const std::vector<schema::BackendEvidenceT>& evidence,
                       const TableVersions& known,
                       const TableVersions& since) {
  const TimePoint now = this->clock.Now();
  const bool is_heartbeat =
      this->share_soon || now - this->heartbeat_at >= kHeartbeat;
  if (!is_heartbeat && evidence.empty()) {
    return;
  }
  this->share_soon = false;
  ShareHeading heading{this->self.instance, known, since};
  heading.serving = this->serving;
  if (is_heartbeat) {
    this->heartbeat_at = now;
  }
  // Each message of a reader replaces what it said before.
  if (this->role != ReaderRole::kListener) {
    heading.silent = this->directory.SilentNear(now);
  }
  const std::vector<InstanceId>& mates =
      this->cells.EntriesWith(this->directory.Self());
  const std::string bytes = SerializeShare(heading, evidence);
  for (const InstanceId& each : mates) {
    this->Send(each, bytes);
  }
  if (is_heartbeat) {
    this->ShareLife(heading, mates);
  }
  this->ShareBeyondCell(heading, evidence);
}

// Tells those outside this entry's cell that it lives, and what it knows.
void EntryPeers::ShareLife(const ShareHeading& heading,
                           const std::vector<InstanceId>& mates) {
  const TimePoint now = this->clock.Now();
  const std::string bytes = SerializeShare(heading, {});
  const bool tells_all = this->directory.HearsAll();
  for (const auto& [instance, member] : this->directory.Members()) {
    const bool is_near = this->directory.IsNear(instance);
    const bool is_mate =
        std::find(mates.begin(), mates.end(), instance) != mates.end();
    if (is_near && !is_mate &&
        (tells_all || this->directory.IsCandidate(instance, now))) {
      this->Send(instance, bytes);
    }
  }
  if (heading.since != TableVersions{}) {
    for (const InstanceId& each :
         this->readers.DistantReaders(this->directory, now)) {
      this->Send(each, bytes);
    }
  }
}

// What concerns suspects goes to the entries of their cells, or to all others
// where these are few.
void EntryPeers::ShareBeyondCell(
    const ShareHeading& heading,
    const std::vector<schema::BackendEvidenceT>& evidence) {
  std::map<InstanceId, std::vector<schema::BackendEvidenceT>> told;
  const bool is_small = this->directory.Members().size() <= kSmallFleet;
  for (const schema::BackendEvidenceT& each : evidence) {
    const BackendId backend(each.id);
    if (!each.avoided) {
      continue;
    }
    if (is_small) {
      for (const auto& [instance, member] : this->directory.Members()) {
        told[instance].push_back(each);
      }
    } else {
      for (const InstanceId& instance : this->cells.EntriesFor(backend)) {
        told[instance].push_back(each);
      }
    }
  }
  for (const InstanceId& mate :
       this->cells.EntriesWith(this->directory.Self())) {
    told.erase(mate);
  }
  // Many are told the same.
  const std::vector<schema::BackendEvidenceT>* last = nullptr;
  std::string bytes;
  for (const auto& [instance, items] : told) {
    if (last == nullptr || items.size() != last->size() ||
        !std::equal(
            items.begin(), items.end(), last->begin(),
            [](const auto& a, const auto& b) { return a.id == b.id; })) {
      bytes = SerializeShare(heading, items);
    }
    last = &items;
    this->Send(instance, bytes);
  }
}

void EntryPeers::PassOn(FollowedTable table,
                        RowVersion after,
                        const TableRows& changes) {
  if (this->role != ReaderRole::kFirst) {
    return;
  }
  const std::string bytes = SerializeRelayed(table, after, changes);
  if (bytes.size() > kMostRelayedBytes) {
    return;
  }
  for (const InstanceId& each : this->directory.HeardNear(this->clock.Now())) {
    this->Send(each, bytes);
  }
}

void EntryPeers::Send(const InstanceId& to, const std::string& bytes) {
  const auto found = this->directory.Members().find(to);
  if (found == this->directory.Members().end() ||
      to.Value() == this->self.instance) {
    return;
  }
  const PeerAddress address(found->second.peer_address);
  if (bytes.size() <= kMaxDatagramBytes) {
    this->transport.SendDatagram(address, bytes);
  } else {
    this->transport.SendFrame(address, bytes);
  }
}

void EntryPeers::OnMessage(const std::string& bytes) {
  const auto message = ParseEntryMessage(bytes);
  if (!message) {
    LogEvent("peer_message_malformed", LogSeverity::kWarning)
        .With("bytes", bytes.size());
    return;
  }
  if (message->share) {
    this->OnShare(*message->share);
  }
  if (message->relayed) {
    this->events.on_relayed(message->relayed->table,
                            RowVersion(message->relayed->after),
                            ReadRelayed(*message->relayed));
  }
}

void EntryPeers::OnShare(const schema::OutcomeShareT& share) {
  const TimePoint now = this->clock.Now();
  const InstanceId from(share.instance);
  this->directory.OnHeard(from, now, share.serving);
  const TableVersions since = SinceIn(share);
  this->readers.OnClaim(from, since, now);
  if (since != TableVersions{} && this->directory.IsNear(from)) {
    this->directory.OnToldSilent(share.silent, now);
  }
  this->events.on_known(KnownIn(share));
  if (share.outcomes.empty()) {
    return;
  }
  std::vector<schema::BackendEvidenceT> evidence;
  for (const auto& each : share.outcomes) {
    evidence.push_back(*each);
  }
  this->events.on_evidence(share.instance, evidence);
}

}  // namespace acacia
