#include "src/peer_messages.h"

#include <algorithm>
#include <memory>

#include "src/flat_table.h"

namespace acacia {
namespace {

std::unique_ptr<schema::RelayedRowsT> PackRows(FollowedTable table,
                                               RowVersion after,
                                               const TableRows& changes) {
  auto packed = std::make_unique<schema::RelayedRowsT>();
  schema::RelayedRowsT& relayed = *packed;
  relayed.table = table;
  relayed.after = after.Value();
  relayed.version = changes.version.Value();
  for (const TableRow& row : changes.rows) {
    auto out = std::make_unique<schema::RelayedRowT>();
    out->key = row.key;
    out->value.assign(row.value.begin(), row.value.end());
    out->version = row.version.Value();
    out->removed = row.removed;
    relayed.rows.push_back(std::move(out));
  }
  return packed;
}

bool HasUnknownTable(const std::unique_ptr<schema::RelayedRowsT>& rows) {
  return rows && rows->table > FollowedTable::MAX;
}

}  // namespace

std::string SerializeMember(const schema::MemberUpdateT& member) {
  return PackTable<schema::MemberUpdate>(member);
}

std::optional<schema::MemberUpdateT> ParseMember(const std::string& bytes) {
  auto member = UnpackTable<schema::MemberUpdate>(bytes);
  if (member && member->instance.empty()) {
    return std::nullopt;
  }
  return member;
}

OwnRow FindOwnRow(const TableRows& members,
                  const schema::MemberUpdateT& self,
                  RowVersion written) {
  if (members.version <= written) {
    return OwnRow::kPresent;
  }
  const auto found = std::find_if(
      members.rows.begin(), members.rows.end(),
      [&self](const TableRow& row) { return row.key == self.instance; });
  if (found == members.rows.end()) {
    return OwnRow::kLost;
  }
  const auto member = ParseMember(found->value);
  return member && member->started >= self.started ? OwnRow::kPresent
                                                   : OwnRow::kLost;
}

std::string SerializeShare(const ShareHeader& header,
                           const OutcomeReports& reports) {
  schema::EntryMessageT message;
  message.share = std::make_unique<schema::OutcomeShareT>();
  schema::OutcomeShareT& share = *message.share;
  share.instance = header.instance;
  const auto& known = header.known;
  share.configuration_row =
      known[TableIndex(FollowedTable::Configuration)].Value();
  share.registrations_row =
      known[TableIndex(FollowedTable::Registrations)].Value();
  share.members_row = known[TableIndex(FollowedTable::Members)].Value();
  const auto& since = header.since;
  share.configuration_since =
      since[TableIndex(FollowedTable::Configuration)].Value();
  share.registrations_since =
      since[TableIndex(FollowedTable::Registrations)].Value();
  share.members_since = since[TableIndex(FollowedTable::Members)].Value();
  share.silent = header.silent;
  share.serving = header.serving;
  share.forward = header.forward;
  share.configuration_unread = header.configuration_unread;
  for (const schema::QuarantinedRequestT& each : header.quarantined) {
    share.quarantined.push_back(
        std::make_unique<schema::QuarantinedRequestT>(each));
  }
  for (const schema::BackendEvidenceT& each : reports.backends) {
    share.outcomes.push_back(std::make_unique<schema::BackendEvidenceT>(each));
  }
  for (const schema::RequestReportT& each : reports.requests) {
    share.requests.push_back(std::make_unique<schema::RequestReportT>(each));
  }
  return PackTable<schema::EntryMessage>(message);
}

std::string SerializeForwarded(
    const std::vector<ForwardedOutcomes>& forwarded) {
  schema::EntryMessageT message;
  for (const ForwardedOutcomes& each : forwarded) {
    auto share = std::make_unique<schema::ForwardedShareT>();
    share->instance = each.from;
    for (const schema::BackendEvidenceT& outcome : each.outcomes) {
      share->outcomes.push_back(
          std::make_unique<schema::BackendEvidenceT>(outcome));
    }
    message.forwarded.push_back(std::move(share));
  }
  return PackTable<schema::EntryMessage>(message);
}

std::string SerializeQuotaReport(const schema::QuotaReportT& report) {
  schema::EntryMessageT message;
  message.quota_report = std::make_unique<schema::QuotaReportT>(report);
  return PackTable<schema::EntryMessage>(message);
}

std::string SerializeQuotaReply(const schema::QuotaReplyT& reply) {
  schema::EntryMessageT message;
  message.quota_reply = std::make_unique<schema::QuotaReplyT>(reply);
  return PackTable<schema::EntryMessage>(message);
}

std::string SerializeRelayed(FollowedTable table,
                             RowVersion after,
                             const TableRows& changes) {
  schema::EntryMessageT message;
  message.relayed = PackRows(table, after, changes);
  return PackTable<schema::EntryMessage>(message);
}

std::string SerializeRowRequest(const std::string& instance, RowVersion after) {
  schema::EntryMessageT message;
  message.row_request = std::make_unique<schema::RowRequestT>();
  message.row_request->instance = instance;
  message.row_request->after = after.Value();
  return PackTable<schema::EntryMessage>(message);
}

std::string SerializeRowReply(const TableRows& newest) {
  schema::EntryMessageT message;
  message.row_reply =
      PackRows(FollowedTable::Configuration, RowVersion(), newest);
  return PackTable<schema::EntryMessage>(message);
}

std::optional<schema::EntryMessageT> ParseEntryMessage(
    const std::string& bytes) {
  auto message = UnpackTable<schema::EntryMessage>(bytes);
  // The verification does not include the ranges of enumerations.
  const bool has_unknown_table =
      message && (HasUnknownTable(message->relayed) ||
                  HasUnknownTable(message->row_reply));
  return has_unknown_table ? std::nullopt : std::move(message);
}

TableVersions KnownVersions(const schema::OutcomeShareT& share) {
  return {RowVersion(share.configuration_row),
          RowVersion(share.registrations_row), RowVersion(share.members_row)};
}

TableVersions GapFreeVersions(const schema::OutcomeShareT& share) {
  return {RowVersion(share.configuration_since),
          RowVersion(share.registrations_since),
          RowVersion(share.members_since)};
}

TableRows UnpackRelayed(const schema::RelayedRowsT& relayed) {
  TableRows changes;
  changes.version = RowVersion(relayed.version);
  for (const auto& each : relayed.rows) {
    changes.rows.push_back({each->key,
                            {each->value.begin(), each->value.end()},
                            RowVersion(each->version),
                            each->removed});
  }
  return changes;
}

}  // namespace acacia
