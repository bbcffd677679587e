#include "src/entry_peers.h"

#include <algorithm>
#include <iterator>
#include <set>
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

ReaderRole EntryPeers::Role() const {
  return this->readers.Role(this->directory, this->clock.Now());
}

bool EntryPeers::OthersRead(FollowedTable table, RowVersion after) const {
  return this->Role() == ReaderRole::kListener &&
         this->readers.SomeoneReads(table, after, this->directory,
                                    this->clock.Now());
}

// Entries of the same failure domain mostly use the same backend servers and
// hear everything; the others hear what concerns suspects. Readers tell those
// elsewhere how new their knowledge is, so that one whose call to the store is
// never answered finds out.
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
  if (is_heartbeat) {
    this->heartbeat_at = now;
  }
  std::vector<schema::BackendEvidenceT> notable;
  std::copy_if(evidence.begin(), evidence.end(), std::back_inserter(notable),
               [](const auto& each) { return each.avoided; });
  const ShareHeading heading{this->self.instance, known, since};
  const std::string near = SerializeShare(heading, evidence);
  const std::string distant = SerializeShare(heading, notable);
  std::vector<InstanceId> reached;
  if (is_heartbeat && since != TableVersions{}) {
    reached = this->readers.DistantReaders(this->directory, now);
  }
  const std::set<InstanceId> distant_readers(reached.begin(), reached.end());
  for (const auto& [instance, member] : this->directory.Members()) {
    if (member.failure_domain == this->self.failure_domain) {
      this->Send(instance, near);
    } else if (!notable.empty() || distant_readers.contains(instance)) {
      this->Send(instance, distant);
    }
  }
}

void EntryPeers::PassOn(FollowedTable table,
                        RowVersion after,
                        const TableRows& changes) {
  if (this->Role() != ReaderRole::kFirst) {
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
  this->directory.OnHeard(from, now);
  this->readers.OnClaim(from, SinceIn(share), now);
  this->events.on_known(KnownIn(share));
  std::vector<schema::BackendEvidenceT> evidence;
  for (const auto& each : share.outcomes) {
    evidence.push_back(*each);
  }
  this->events.on_evidence(share.instance, evidence);
}

}  // namespace acacia
