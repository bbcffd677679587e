// What entries on a host platform tell each other, without asking for answers:
// how attempts went, how new their knowledge of the store is, who follows the
// store, and the changes that those who follow it pass on. Messages may be
// lost; the store settles what did not arrive.
//
// Use on one strand. Calls back on the executor.
#ifndef SRC_ENTRY_PEERS_H_
#define SRC_ENTRY_PEERS_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/cells.h"
#include "src/clock.h"
#include "src/member_directory.h"
#include "src/peer_messages.h"
#include "src/peer_transport.h"
#include "src/row_store.h"
#include "src/store_readers.h"

namespace acacia {

struct EntryPeersEvents {
  // The newest rows that another entry knows of.
  std::function<void(const TableVersions& rows)> on_known_versions;
  // All changes of the table after that version.
  std::function<
      void(FollowedTable table, RowVersion after, const TableRows& changes)>
      on_relayed;
  std::function<void(const std::string& from,
                     const std::vector<schema::BackendEvidenceT>& evidence)>
      on_evidence;
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

  // Sends outcomes, or a heartbeat when one is due.
  void Share(const std::vector<schema::BackendEvidenceT>& evidence,
             const TableVersions& known,
             const TableVersions& since);
  // Whom evidence concerns.
  void SetCells(Cells cells) { this->cells = std::move(cells); }
  // Others name this entry to callers only while it serves.
  void SetServing(bool serving) { this->serving = serving; }
  // The next call of Share has news.
  void ShareSoon() { this->share_soon = true; }
  // Passes on changes that this entry read from the store, if that is its role.
  void RelayChanges(FollowedTable table,
                    RowVersion after,
                    const TableRows& changes);

  // Works out this entry's role anew.
  void UpdateRole();
  ReaderRole Role() const { return this->role; }
  // Another entry reads the changes after this version for this one.
  bool IsReadByOthers(FollowedTable table, RowVersion after) const;

 private:
  void OnMessage(const std::string& bytes);
  void OnShare(const schema::OutcomeShareT& share);
  void Send(const InstanceId& to, const std::string& bytes);
  void SendLiveness(const ShareHeader& header,
                    const std::vector<InstanceId>& cell_peers);
  void SendEvidenceBeyondCell(
      const ShareHeader& header,
      const std::vector<schema::BackendEvidenceT>& evidence);

  schema::MemberUpdateT self;
  MemberDirectory& directory;
  const Clock& clock;
  EntryPeersEvents events;
  StoreReaders readers;
  ReaderRole role = ReaderRole::kFirst;
  Cells cells;
  TimePoint heartbeat_at{};
  bool share_soon = false;
  bool serving = true;
  PeerTransport transport;
};

}  // namespace acacia

#endif  // SRC_ENTRY_PEERS_H_
