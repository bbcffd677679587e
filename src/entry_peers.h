// One-way messages between the entries on a host platform: outcomes of
// attempts, quarantined requests, quotas of client accounts, the newest store
// versions known, claims to read the store, and the changes that readers relay.
// Messages may be lost; what did not arrive is read from the store.
//
// Use on one strand. Calls back on the executor.
#ifndef SRC_ENTRY_PEERS_H_
#define SRC_ENTRY_PEERS_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/cells.h"
#include "src/clock.h"
#include "src/configuration_age.h"
#include "src/evidence_fanout.h"
#include "src/fleet_quota.h"
#include "src/member_directory.h"
#include "src/peer_messages.h"
#include "src/peer_transport.h"
#include "src/row_store.h"
#include "src/store_readers.h"

namespace acacia {

struct EntryPeersEvents {
  // The newest row versions that another entry knows of.
  std::function<void(const TableVersions& rows)> on_known_versions;
  // Relayed changes of the table, complete since version `after`.
  std::function<
      void(FollowedTable table, RowVersion after, const TableRows& changes)>
      on_relayed;
  std::function<void(const std::string& from,
                     const std::vector<schema::BackendEvidenceT>& evidence)>
      on_evidence;
  // What became of requests that broke off at other entries' attempts.
  std::function<void(const std::vector<schema::RequestReportT>& reports)>
      on_requests{};
  // Quarantines that another entry knows of.
  std::function<void(
      const std::vector<schema::QuarantinedRequestT>& quarantines)>
      on_quarantined{};
  // Quotas of client accounts.
  std::function<void(const schema::QuotaReportT& report)> on_quota_report{};
  std::function<void(const schema::QuotaReplyT& reply)> on_quota_reply{};
  // Another entry announced that it holds the configuration up to `version`.
  std::function<void(const InstanceId& from, RowVersion version)>
      on_configuration_holder{};
  // Another entry asked for the configuration row, if it is newer than `after`.
  std::function<void(const InstanceId& from, RowVersion after)>
      on_row_request{};
  // Another entry sent the newest configuration row up to a version.
  std::function<void(const TableRows& newest)> on_row_reply{};
};

class EntryPeers {
 public:
  // The directory and the clock must outlive this object.
  EntryPeers(const boost::asio::any_io_executor& executor,
             const schema::MemberUpdateT& self,
             MemberDirectory& directory,
             const Clock& clock,
             EntryPeersEvents events);

  tl::expected<void, std::string> Listen(const std::string& address);
  // The address listened on.
  PeerAddress Address() const { return this->transport.Address(); }

  // Sends outcomes, and a heartbeat when one is due. `known`: newest row
  // version known per table. `since`: version since which this entry has read
  // each table without a gap, 0 while it does not. `quarantined`: the
  // quarantines that this entry knows of.
  void Share(const OutcomeReports& reports,
             const TableVersions& known,
             const TableVersions& since,
             const std::vector<schema::QuarantinedRequestT>& quarantined = {});
  // Sends messages about the quotas of client accounts.
  void SendQuotas(const std::vector<QuotaMessage>& messages);
  // Sets the cells, which determine the recipients of evidence.
  void SetCells(Cells cells) { this->cells = std::move(cells); }
  // Others name this entry in lookups only while it serves.
  void SetServing(bool serving) { this->serving = serving; }
  // Whether the newest configuration known to exist has been read.
  void SetConfigurationAge(ConfigurationAge age) {
    this->configuration_age = age;
  }
  void RequestRow(const InstanceId& from, RowVersion after);
  // Sends the newest configuration row up to a version, without keys.
  void SendRow(const InstanceId& to, const TableRows& newest) {
    this->Send(to, SerializeRowReply(newest));
  }
  // Makes the next call of Share send a heartbeat even if none is due.
  void ShareSoon() { this->share_soon = true; }
  // Relays changes that this entry has read from the store, complete since
  // version `after`, if it is the first reader.
  void RelayChanges(FollowedTable table,
                    RowVersion after,
                    const TableRows& changes);

  // Updates this entry's role from the entries heard recently.
  void UpdateRole();
  ReaderRole Role() const { return this->role; }
  // The turn of this entry's polls; nullopt for a listener.
  std::optional<PollTurn> Turn() const {
    return StoreReaders::Turn(this->role, this->directory);
  }
  // Returns whether another entry reads all changes after this version for this
  // one.
  bool IsReadByOthers(FollowedTable table, RowVersion after) const;

 private:
  void OnMessage(const std::string& bytes);
  void OnShare(const schema::OutcomeShareT& share);
  void Send(const InstanceId& to, const std::string& bytes);
  void SendLiveness(const ShareHeader& header,
                    const std::vector<InstanceId>& cell_peers);
  void SendReportsBeyondCell(ShareHeader header, const OutcomeReports& reports);
  void ForwardToCell();

  schema::MemberUpdateT self;
  MemberDirectory& directory;
  const Clock& clock;
  EntryPeersEvents events;
  StoreReaders readers;
  EvidenceFanout fanout;
  ForwardedReports forwarded;
  ReaderRole role = ReaderRole::kFirst;
  Cells cells;
  TimePoint heartbeat_at{};
  bool share_soon = false;
  bool serving = true;
  ConfigurationAge configuration_age = ConfigurationAge::kNewestKnown;
  PeerTransport transport;
};

}  // namespace acacia

#endif  // SRC_ENTRY_PEERS_H_
