// Converts the messages between entries on a host platform, and their rows in
// the members table, to and from the FlatBuffers of schema/peer.fbs.
#ifndef SRC_PEER_MESSAGES_H_
#define SRC_PEER_MESSAGES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/row_store.h"

namespace acacia {

using schema::FollowedTable;
// One version for each table that entries follow, indexed by TableIndex.
using TableVersions =
    std::array<RowVersion, static_cast<std::size_t>(FollowedTable::MAX) + 1>;

constexpr std::size_t TableIndex(FollowedTable table) {
  return static_cast<std::size_t>(table);
}

std::string SerializeMember(const schema::MemberUpdateT& member);
// Returns nullopt when the bytes are malformed or name no instance.
std::optional<schema::MemberUpdateT> ParseMember(const std::string& bytes);

enum class OwnRow { kPresent, kLost };
// Whether the members table still holds the row that `self` wrote in version
// `written`. A store that was restored from a copy has lost later writes.
// `members` is the whole table; one that may be older than the row, or holds
// the row of a later process of this instance, counts as holding it.
OwnRow FindOwnRow(const TableRows& members,
                  const schema::MemberUpdateT& self,
                  RowVersion written);

// The part of a share that does not depend on its recipient.
struct ShareHeader {
  std::string instance;
  // The newest row version that the sender knows of in each table.
  TableVersions known;
  // The version since which it has read each table without a gap; 0 while it
  // does not read.
  TableVersions since;
  // Entries of its failure domain that are silent or do not serve, as reported
  // by a reader.
  std::vector<std::string> silent{};
  // Whether the sender serves callers.
  bool serving = true;
  // The quarantines that the sender knows of, in heartbeats only.
  std::vector<schema::QuarantinedRequestT> quarantined{};
  // The recipient passes the outcomes on to its cell.
  bool forward = false;
  // The sender has only heard of the newest configuration row.
  bool configuration_unread = false;
};

// What the sender's attempts showed since its last message.
struct OutcomeReports {
  std::vector<schema::BackendEvidenceT> backends;
  std::vector<schema::RequestReportT> requests{};

  bool IsEmpty() const {
    return this->backends.empty() && this->requests.empty();
  }
};

// Outcomes that the entry `from` reported.
struct ForwardedOutcomes {
  std::string from;
  std::vector<schema::BackendEvidenceT> outcomes;
};

std::string SerializeShare(const ShareHeader& header,
                           const OutcomeReports& reports);
std::string SerializeForwarded(const std::vector<ForwardedOutcomes>& forwarded);
std::string SerializeQuotaReport(const schema::QuotaReportT& report);
std::string SerializeQuotaReply(const schema::QuotaReplyT& reply);
std::string SerializeRelayed(FollowedTable table,
                             RowVersion after,
                             const TableRows& changes);
// Asks for the newest configuration row that the receiver holds, if it is newer
// than version `after`.
std::string SerializeRowRequest(const std::string& instance, RowVersion after);
// `newest` holds the newest configuration row up to its version.
std::string SerializeRowReply(const TableRows& newest);
// Returns nullopt when the bytes are malformed.
std::optional<schema::EntryMessageT> ParseEntryMessage(
    const std::string& bytes);
TableVersions KnownVersions(const schema::OutcomeShareT& share);
TableVersions GapFreeVersions(const schema::OutcomeShareT& share);
TableRows UnpackRelayed(const schema::RelayedRowsT& relayed);

}  // namespace acacia

#endif  // SRC_PEER_MESSAGES_H_
