#include "src/evidence_fanout.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "src/rendezvous.h"

namespace acacia {
namespace {

// In fleets of at most this size, evidence about suspects and reports about
// requests go to all entries.
constexpr std::size_t kSmallFleetEntries = 128;
// A cell with fewer recipients receives reports directly.
constexpr std::size_t kMinForwardedEntries = 3;

bool IsAboutRateLimit(const schema::BackendEvidenceT& evidence) {
  return evidence.started > 0 || evidence.rate_limit >= 0 ||
         evidence.rate_limit_ended;
}

std::vector<InstanceId> NamesOf(const Members& members) {
  std::vector<InstanceId> names;
  for (const auto& [instance, member] : members) {
    names.push_back(instance);
  }
  return names;
}

// Evidence about suspects, and about backend servers that are leaving, goes to
// the entries of their cells, or to all entries of a small fleet. What concerns
// a rate limit goes to all entries that count towards it: those of the backend
// server's cell, or all entries while the failure domains are not divided into
// cells.
const std::vector<InstanceId>& RecipientsOf(
    const schema::BackendEvidenceT& evidence,
    const std::vector<InstanceId>& all,
    const Cells& cells) {
  static const std::vector<InstanceId> nobody;
  const bool is_about_rate_limit = IsAboutRateLimit(evidence);
  if (!evidence.avoided && !evidence.leaving && !is_about_rate_limit) {
    return nobody;
  }
  if (all.size() <= kSmallFleetEntries ||
      (is_about_rate_limit && cells.IsUndivided())) {
    return all;
  }
  return cells.EntriesInCellOfBackend(BackendId(evidence.id));
}

// In a large fleet one cell, the same for all senders, collects the reports
// about a request. A quarantine that it begins spreads with the heartbeats.
const std::vector<InstanceId>& RecipientsOf(
    const schema::RequestReportT& report,
    const std::vector<InstanceId>& all,
    const Cells& cells) {
  if (all.size() <= kSmallFleetEntries) {
    return all;
  }
  const std::string key = std::to_string(report.fingerprint);
  const std::size_t first = RankIdsByRendezvous(key, all, 1).front();
  return cells.EntriesInCellOf(all[first]);
}

}  // namespace

EvidenceFanout::EvidenceFanout(InstanceId self)
    : self(std::move(self)),
      turn(std::hash<std::string>()(this->self.Value())) {}

const InstanceId& EvidenceFanout::ForwarderIn(
    const std::vector<InstanceId>& cell) const {
  return cell[this->turn % cell.size()];
}

std::vector<ReportsTo> EvidenceFanout::Plan(const OutcomeReports& reports,
                                            const Members& members,
                                            const Cells& cells) {
  std::vector<ReportsTo> plan;
  if (reports.IsEmpty()) {
    return plan;
  }
  ++this->turn;
  const std::vector<InstanceId> all = NamesOf(members);
  const auto own = members.find(this->self);
  const std::string own_domain =
      own == members.end() ? "" : own->second.failure_domain;
  const std::vector<InstanceId>& own_cell = cells.EntriesInCellOf(this->self);
  std::map<InstanceId, OutcomeReports> direct;
  std::map<InstanceId, OutcomeReports> forwarded;
  for (const schema::BackendEvidenceT& each : reports.backends) {
    const bool may_be_forwarded = !each.leaving && !IsAboutRateLimit(each);
    std::set<InstanceId> covered;
    for (const InstanceId& instance : RecipientsOf(each, all, cells)) {
      const auto member = members.find(instance);
      const std::vector<InstanceId>& cell = cells.EntriesInCellOf(instance);
      const bool is_remote = member != members.end() &&
                             member->second.failure_domain != own_domain;
      if (!may_be_forwarded || !is_remote ||
          cell.size() < kMinForwardedEntries) {
        direct[instance].backends.push_back(each);
      } else if (covered.insert(cell.front()).second) {
        forwarded[this->ForwarderIn(cell)].backends.push_back(each);
      }
    }
  }
  for (const schema::RequestReportT& each : reports.requests) {
    for (const InstanceId& instance : RecipientsOf(each, all, cells)) {
      direct[instance].requests.push_back(each);
    }
  }
  for (const InstanceId& cell_peer : own_cell) {
    direct.erase(cell_peer);
  }
  for (auto& [instance, items] : direct) {
    plan.push_back({instance, std::move(items), false});
  }
  for (auto& [instance, items] : forwarded) {
    plan.push_back({instance, std::move(items), true});
  }
  return plan;
}

void ForwardedReports::Add(
    const std::string& from,
    const std::vector<schema::BackendEvidenceT>& outcomes) {
  if (this->pending_outcomes + outcomes.size() > kMaxOutcomes) {
    return;
  }
  this->pending_outcomes += outcomes.size();
  this->pending.push_back({from, outcomes});
}

std::vector<std::vector<ForwardedOutcomes>> ForwardedReports::Take(
    std::size_t max_outcomes) {
  std::vector<std::vector<ForwardedOutcomes>> messages;
  std::size_t in_last = max_outcomes;
  for (ForwardedOutcomes& each : this->pending) {
    if (in_last + each.outcomes.size() > max_outcomes) {
      messages.emplace_back();
      in_last = 0;
    }
    in_last += each.outcomes.size();
    messages.back().push_back(std::move(each));
  }
  this->pending.clear();
  this->pending_outcomes = 0;
  return messages;
}

}  // namespace acacia
