#include "src/entry_peers.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/agent_actions.h"
#include "src/log_event.h"

namespace acacia {
namespace {

// With nothing to report, the entries of a failure domain still hear from the
// sender this often.
constexpr std::chrono::milliseconds kHeartbeatInterval{500};
// Larger changes are not relayed, since a link of 10 Mbit/s would carry one
// copy per listener. Listeners read them from the store, which has more
// bandwidth.
constexpr std::size_t kMaxRelayedBytes = 16 * 1024;
// Outcomes of other failure domains that are passed on in one message, so that
// it usually fits in a datagram.
constexpr std::size_t kMaxForwardedPerMessage = 8;
// A failure domain has up to a hundred entries.
constexpr std::size_t kMaxConnections = 128;
// Reports about all backend servers, or relayed changes, fit in.
constexpr std::size_t kMaxEntryFrameBytes = 256 * 1024;

// Whether two selections of the same reports are equal.
bool HaveSameSubjects(const OutcomeReports& a, const OutcomeReports& b) {
  return std::equal(
             a.backends.begin(), a.backends.end(), b.backends.begin(),
             b.backends.end(),
             [](const auto& x, const auto& y) { return x.id == y.id; }) &&
         std::equal(a.requests.begin(), a.requests.end(), b.requests.begin(),
                    b.requests.end(), [](const auto& x, const auto& y) {
                      return x.fingerprint == y.fingerprint &&
                             x.event == y.event && x.backend == y.backend;
                    });
}

template <typename T>
std::vector<T> CopyItems(const std::vector<std::unique_ptr<T>>& items) {
  std::vector<T> copies;
  for (const auto& each : items) {
    copies.push_back(*each);
  }
  return copies;
}

PeerTransportOptions TransportOptions() {
  PeerTransportOptions options;
  options.max_outgoing_connections = kMaxConnections;
  options.max_frame_bytes = kMaxEntryFrameBytes;
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
      fanout(InstanceId(self.instance)),
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
  this->directory.UpdateReaderCandidacy(now);
  this->role = this->readers.Role(this->directory, now);
}

bool EntryPeers::IsReadByOthers(FollowedTable table, RowVersion after) const {
  return this->role == ReaderRole::kListener &&
         this->readers.HasReader(table, after, this->directory,
                                 this->clock.Now());
}

// The entries of this entry's cell receive everything. The entries of a suspect
// backend server's cell, or all entries of a small fleet, also receive the
// evidence about it. Reader candidates exchange heartbeats with the whole
// failure domain. Readers also send the newest versions they know to readers of
// other failure domains, so that one whose call to the store is never answered
// finds out.
void EntryPeers::Share(
    const OutcomeReports& reports,
    const TableVersions& known,
    const TableVersions& since,
    const std::vector<schema::QuarantinedRequestT>& quarantined) {
  const TimePoint now = this->clock.Now();
  this->ForwardToCell();
  const bool is_heartbeat =
      this->share_soon || now - this->heartbeat_at >= kHeartbeatInterval;
  if (!is_heartbeat && reports.IsEmpty()) {
    return;
  }
  this->share_soon = false;
  ShareHeader header{this->self.instance, known, since};
  header.serving = this->serving;
  header.configuration_unread =
      this->configuration_age == ConfigurationAge::kOutdated;
  if (is_heartbeat) {
    this->heartbeat_at = now;
    header.quarantined = quarantined;
  }
  // Included in every message of a reader, not only in heartbeats, because each
  // one replaces the receivers' previous report.
  if (this->role != ReaderRole::kListener) {
    header.silent = this->directory.SilentDomainPeers(now);
  }
  const std::vector<InstanceId>& cell_peers =
      this->cells.EntriesInCellOf(this->directory.Self());
  const std::string bytes = SerializeShare(header, reports);
  for (const InstanceId& each : cell_peers) {
    this->Send(each, bytes);
  }
  if (is_heartbeat) {
    this->SendLiveness(header, cell_peers);
  }
  header.quarantined.clear();
  this->SendReportsBeyondCell(header, reports);
}

// Sends the heartbeat, with the newest versions known, to entries outside this
// entry's cell.
void EntryPeers::SendLiveness(const ShareHeader& header,
                              const std::vector<InstanceId>& cell_peers) {
  const TimePoint now = this->clock.Now();
  const std::string bytes = SerializeShare(header, {});
  const bool sends_to_whole_domain = this->directory.HearsWholeDomain();
  for (const auto& [instance, member] : this->directory.Members()) {
    const bool is_domain_peer = this->directory.IsDomainPeer(instance);
    const bool is_cell_peer = std::find(cell_peers.begin(), cell_peers.end(),
                                        instance) != cell_peers.end();
    if (is_domain_peer && !is_cell_peer &&
        (sends_to_whole_domain ||
         this->directory.IsReaderCandidate(instance, now))) {
      this->Send(instance, bytes);
    }
  }
  if (header.since != TableVersions{}) {
    for (const InstanceId& each :
         this->readers.RemoteDomainReaders(this->directory, now)) {
      this->Send(each, bytes);
    }
  }
}

void EntryPeers::SendReportsBeyondCell(ShareHeader header,
                                       const OutcomeReports& reports) {
  // Many recipients get the same reports: the message is serialized again only
  // when it differs from the previous one.
  const std::vector<ReportsTo> plan =
      this->fanout.Plan(reports, this->directory.Members(), this->cells);
  const ReportsTo* last = nullptr;
  std::string bytes;
  for (const ReportsTo& each : plan) {
    if (last == nullptr || each.forward != last->forward ||
        !HaveSameSubjects(each.reports, last->reports)) {
      header.forward = each.forward;
      bytes = SerializeShare(header, each.reports);
    }
    last = &each;
    this->Send(each.to, bytes);
  }
}

void EntryPeers::ForwardToCell() {
  for (const auto& each : this->forwarded.Take(kMaxForwardedPerMessage)) {
    const std::string bytes = SerializeForwarded(each);
    for (const InstanceId& peer :
         this->cells.EntriesInCellOf(this->directory.Self())) {
      this->Send(peer, bytes);
    }
  }
}

void EntryPeers::RelayChanges(FollowedTable table,
                              RowVersion after,
                              const TableRows& changes) {
  if (this->role != ReaderRole::kFirst) {
    return;
  }
  const std::string bytes = SerializeRelayed(table, after, changes);
  if (bytes.size() > kMaxRelayedBytes) {
    return;
  }
  for (const InstanceId& each :
       this->directory.LiveDomainPeers(this->clock.Now())) {
    this->Send(each, bytes);
  }
}

void EntryPeers::SendQuotas(const std::vector<QuotaMessage>& messages) {
  for (const QuotaMessage& each : messages) {
    const auto* report = std::get_if<schema::QuotaReportT>(&each.payload);
    this->Send(each.to, report != nullptr
                            ? SerializeQuotaReport(*report)
                            : SerializeQuotaReply(
                                  std::get<schema::QuotaReplyT>(each.payload)));
  }
}

void EntryPeers::RequestRow(const InstanceId& from, RowVersion after) {
  this->Send(from, SerializeRowRequest(this->self.instance, after));
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
  for (const auto& each : message->forwarded) {
    this->events.on_evidence(each->instance, CopyItems(each->outcomes));
  }
  if (message->relayed) {
    this->events.on_relayed(message->relayed->table,
                            RowVersion(message->relayed->after),
                            UnpackRelayed(*message->relayed));
  }
  if (message->quota_report && this->events.on_quota_report) {
    this->events.on_quota_report(*message->quota_report);
  }
  if (message->quota_reply && this->events.on_quota_reply) {
    this->events.on_quota_reply(*message->quota_reply);
  }
  if (message->row_request && this->events.on_row_request) {
    this->events.on_row_request(InstanceId(message->row_request->instance),
                                RowVersion(message->row_request->after));
  }
  if (message->row_reply && this->events.on_row_reply) {
    this->events.on_row_reply(UnpackRelayed(*message->row_reply));
  }
}

void EntryPeers::OnShare(const schema::OutcomeShareT& share) {
  const TimePoint now = this->clock.Now();
  const InstanceId from(share.instance);
  this->directory.OnHeard(from, now, share.serving);
  const TableVersions since = GapFreeVersions(share);
  this->readers.OnReadClaim(from, since, now);
  if (since != TableVersions{} && this->directory.IsDomainPeer(from)) {
    this->directory.OnReportedSilent(share.silent, now);
  }
  this->events.on_known_versions(KnownVersions(share));
  if (!share.configuration_unread && this->events.on_configuration_holder) {
    this->events.on_configuration_holder(from,
                                         RowVersion(share.configuration_row));
  }
  if (!share.outcomes.empty()) {
    const auto outcomes = CopyItems(share.outcomes);
    if (share.forward) {
      this->forwarded.Add(share.instance, outcomes);
    }
    this->events.on_evidence(share.instance, outcomes);
  }
  if (!share.requests.empty() && this->events.on_requests) {
    this->events.on_requests(CopyItems(share.requests));
  }
  if (!share.quarantined.empty() && this->events.on_quarantined) {
    this->events.on_quarantined(CopyItems(share.quarantined));
  }
}

}  // namespace acacia
