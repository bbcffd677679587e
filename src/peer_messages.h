// What entries on a host platform tell each other and write about themselves,
// as FlatBuffers of schema/peer.fbs.
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
// One version for each table that entries follow; see At.
using TableVersions =
    std::array<RowVersion, static_cast<std::size_t>(FollowedTable::MAX) + 1>;

constexpr std::size_t TableIndex(FollowedTable table) {
  return static_cast<std::size_t>(table);
}

std::string SerializeMember(const schema::MemberUpdateT& member);
// Nothing when the bytes are no member.
std::optional<schema::MemberUpdateT> ParseMember(const std::string& bytes);

struct ShareHeader {
  std::string instance;
  // The newest row that the sender knows of, in each table.
  TableVersions known;
  // Since when it has read each table without a gap; 0 while it does not.
  TableVersions since;
  // Entries that a reader has not heard lately.
  std::vector<std::string> silent{};
  // The sender serves callers.
  bool serving = true;
};

std::string SerializeShare(
    const ShareHeader& header,
    const std::vector<schema::BackendEvidenceT>& evidence);
std::string SerializeRelayed(FollowedTable table,
                             RowVersion after,
                             const TableRows& changes);
// Nothing when the bytes are no message between entries.
std::optional<schema::EntryMessageT> ParseEntryMessage(
    const std::string& bytes);
TableVersions KnownIn(const schema::OutcomeShareT& share);
TableVersions SinceIn(const schema::OutcomeShareT& share);
TableRows ReadRelayed(const schema::RelayedRowsT& relayed);

}  // namespace acacia

#endif  // SRC_PEER_MESSAGES_H_
