#include "src/ejection.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/flat_table.h"
#include "src/log_event.h"

namespace acacia {
namespace {

using schema::EjectionEntryT;
using schema::EjectionGrantT;

constexpr Duration kPollInterval = std::chrono::seconds(10);
constexpr Duration kProposalRetry = std::chrono::seconds(1);
constexpr Duration kSecondProposerDelay = std::chrono::seconds(5);
// A row that took longer to read may be out of date, so nothing is proposed.
constexpr Duration kMaxReadTime = std::chrono::seconds(5);
constexpr Duration kOperationTimeout = std::chrono::seconds(30);
// How long a changed grant goes first in messages to peers.
constexpr Duration kAnnouncementTime = std::chrono::seconds(30);

std::string RowKey(const ServiceName& service) {
  return "ejection/" + service.Value();
}

const EjectionEntryT* FindEntry(
    const std::vector<std::unique_ptr<EjectionEntryT>>& entries,
    const std::string& address) {
  for (const auto& entry : entries) {
    if (entry->address == address) {
      return entry.get();
    }
  }
  return nullptr;
}

bool HasNullEntry(const EjectionGrantT& grant) {
  const auto is_null = [](const auto& entry) { return entry == nullptr; };
  return std::any_of(grant.ejected.begin(), grant.ejected.end(), is_null) ||
         std::any_of(grant.returning.begin(), grant.returning.end(), is_null);
}

}  // namespace

Ejection::Ejection(std::string writer,
                   const Clock& wall_clock,
                   RandomSource& random,
                   OperationIds& operations)
    : writer(std::move(writer)),
      wall_clock(wall_clock),
      random(random),
      operations(operations) {}

Duration Ejection::Jittered(Duration around) {
  return std::chrono::duration_cast<Duration>(around *
                                              (0.5 + this->random.Fraction()));
}

void Ejection::SetTasks(std::map<ServiceName, EjectionTask> services,
                        TimePoint now) {
  for (auto& [service, task] : services) {
    const auto old = this->tasks.find(service);
    if (old != this->tasks.end()) {
      task.sick = std::move(old->second.sick);
    }
    const auto [grant, added] = this->grants.try_emplace(service);
    if (added) {
      grant->second.next_poll =
          now + this->Jittered(kPollInterval) - kPollInterval / 2;
    }
  }
  this->tasks = std::move(services);
  std::erase_if(this->grants, [&](const auto& entry) {
    return this->tasks.count(entry.first) == 0;
  });
  this->applied_changed = true;
}

void Ejection::SetSick(const ServiceName& service, std::set<BackendId> sick) {
  const auto task = this->tasks.find(service);
  if (task != this->tasks.end()) {
    task->second.sick = std::move(sick);
  }
}

void Ejection::OnTick(TimePoint now, AgentActions& actions) {
  for (auto& [service, grant] : this->grants) {
    const EjectionTask& task = this->tasks.at(service);
    if (grant.confirmed && !grant.row.ejected.empty() &&
        now - *grant.confirmed > kMaxGrantAge) {
      grant.confirmed.reset();
      this->applied_changed = true;
      LogEvent("ejections_lapsed", LogSeverity::kWarning)
          .With("service", service);
    }
    if (grant.step != Step::kIdle) {
      if (now - grant.sent > kOperationTimeout) {
        grant.step = Step::kIdle;
      }
      continue;
    }
    if (task.role == EjectionRole::kHolder) {
      continue;
    }
    const bool change_due = task.role >= EjectionRole::kSecondProposer &&
                            this->IsChangeDue(task, grant, now);
    if (!change_due) {
      const bool second = task.role == EjectionRole::kSecondProposer;
      grant.next_proposal = now + (second ? kSecondProposerDelay : Duration());
    }
    if (now >= grant.next_poll || (change_due && now >= grant.next_proposal)) {
      this->SendRead(service, grant, now, actions);
    }
  }
}

void Ejection::SendRead(const ServiceName& service,
                        Grant& grant,
                        TimePoint now,
                        AgentActions& actions) {
  grant.step = Step::kReading;
  grant.operation = this->operations.Take();
  grant.sent = now;
  grant.next_poll = now + this->Jittered(kPollInterval);
  const Duration retry = kProposalRetry * (1U << std::min(grant.failures, 4U));
  grant.next_proposal = now + this->Jittered(retry);
  actions.push_back(ReadRow{grant.operation, RowKey(service)});
}

Ejection::Grant* Ejection::FindOperation(OperationId operation,
                                         Step step,
                                         ServiceName* service) {
  for (auto& [name, grant] : this->grants) {
    if (grant.step == step && grant.operation == operation) {
      *service = name;
      return &grant;
    }
  }
  return nullptr;
}

bool Ejection::OnRowRead(OperationId operation,
                         const RowResult& result,
                         TimePoint now,
                         AgentActions& actions) {
  ServiceName service;
  Grant* grant = this->FindOperation(operation, Step::kReading, &service);
  if (grant == nullptr) {
    return false;
  }
  grant->step = Step::kIdle;
  if (!result) {
    ++grant->failures;
    return true;
  }
  grant->failures = 0;
  auto row = result->version == RowVersion()
                 ? EjectionGrantT()
                 : UnpackTable<schema::EjectionGrant>(result->value);
  if (!row || HasNullEntry(*row)) {
    LogEvent("grant_unreadable", LogSeverity::kError).With("service", service);
    return true;
  }
  this->Adopt(*grant, result->version, *row, grant->sent, now);
  const EjectionTask& task = this->tasks.at(service);
  const bool proposer = task.role >= EjectionRole::kSecondProposer;
  const bool fresh = now - grant->sent <= kMaxReadTime;
  if (!proposer || !fresh || result->version < grant->version) {
    return true;
  }
  auto next = this->Propose(task, *grant, now);
  if (!next) {
    return true;
  }
  next->service = service.Value();
  next->writer = this->writer;
  next->write_id = this->writer + "/" + std::to_string(++this->writes);
  grant->proposed = *next;
  grant->step = Step::kWriting;
  grant->operation = this->operations.Take();
  grant->sent = now;
  actions.push_back(WriteRow{grant->operation, RowKey(service), grant->version,
                             PackTable<schema::EjectionGrant>(*next)});
  return true;
}

bool Ejection::OnRowWritten(OperationId operation,
                            const WriteResult& result,
                            TimePoint now) {
  ServiceName service;
  Grant* grant = this->FindOperation(operation, Step::kWriting, &service);
  if (grant == nullptr) {
    return false;
  }
  grant->step = Step::kIdle;
  if (result) {
    // The version was the latest when it was written. All that is known of that
    // moment is that it came after the write was sent, so the grant counts as
    // confirmed from then.
    this->Adopt(*grant, *result, grant->proposed, grant->sent, now);
    LogEvent("grant_written")
        .With("service", service)
        .With("version", *result)
        .With("ejected", grant->proposed.ejected.size());
  }
  return true;
}

void Ejection::Adopt(Grant& grant,
                     RowVersion version,
                     const EjectionGrantT& row,
                     std::optional<TimePoint> confirmed,
                     TimePoint now) {
  if (version < grant.version) {
    return;
  }
  if (version > grant.version) {
    grant.version = version;
    grant.row = row;
    grant.confirmed = confirmed;
    grant.changed = now;
    this->applied_changed = true;
    this->news = true;
  } else {
    if (!row.returning.empty() || grant.row.returning.empty()) {
      grant.row.returning.clear();
      for (const auto& entry : row.returning) {
        grant.row.returning.push_back(std::make_unique<EjectionEntryT>(*entry));
      }
    }
    if (confirmed && (!grant.confirmed || *grant.confirmed < *confirmed)) {
      this->applied_changed |= !grant.confirmed;
      grant.confirmed = confirmed;
    }
  }
  this->RecordListings(grant, now);
}

void Ejection::RecordListings(Grant& grant, TimePoint now) {
  std::map<ListingKey, TimePoint> listings;
  const auto record = [&](const EjectionEntryT& entry, bool returning) {
    const ListingKey key{entry.address, entry.since_unix_ms, returning};
    const auto known = grant.first_seen.find(key);
    listings[key] = known == grant.first_seen.end() ? now : known->second;
  };
  for (const auto& entry : grant.row.ejected) {
    record(*entry, false);
  }
  for (const auto& entry : grant.row.returning) {
    record(*entry, true);
  }
  grant.first_seen = std::move(listings);
}

Duration Ejection::Age(const Grant& grant,
                       const EjectionEntryT& entry,
                       bool returning,
                       TimePoint now) const {
  const ListingKey key{entry.address, entry.since_unix_ms, returning};
  const auto seen = grant.first_seen.find(key);
  return seen == grant.first_seen.end() ? Duration() : now - seen->second;
}

bool Ejection::IsChangeDue(const EjectionTask& task,
                           const Grant& grant,
                           TimePoint now) const {
  return this->Propose(task, grant, now).has_value();
}

std::optional<EjectionGrantT> Ejection::Propose(const EjectionTask& task,
                                                const Grant& grant,
                                                TimePoint now) const {
  const auto age = [&](const EjectionEntryT& entry, bool returning) {
    return this->Age(grant, entry, returning, now);
  };
  return ProposeGrant(
      {grant.row, task.capacity, task.sick, this->wall_clock.UnixNow(), age});
}

void Ejection::OnNotice(const schema::GrantNoticeT& notice,
                        std::optional<TimePoint> asked,
                        TimePoint now) {
  if (!notice.grant || HasNullEntry(*notice.grant)) {
    return;
  }
  const auto found = this->grants.find(ServiceName(notice.grant->service));
  if (found == this->grants.end()) {
    return;
  }
  Grant& grant = found->second;
  const RowVersion version(notice.version);
  if (version < grant.version) {
    // The sender has an older version: send this one to peers again.
    grant.changed = now;
    return;
  }
  std::optional<TimePoint> confirmed;
  if (asked && notice.confirmed_age_ms != UINT32_MAX) {
    confirmed = *asked - std::chrono::milliseconds(notice.confirmed_age_ms);
  }
  this->Adopt(grant, version, *notice.grant, confirmed, now);
}

std::vector<schema::GrantNoticeT> Ejection::Notices(std::size_t limit,
                                                    TimePoint now) {
  std::vector<const ServiceName*> news;
  std::vector<const ServiceName*> unchanged;
  for (const auto& [service, grant] : this->grants) {
    if (grant.changed && now - *grant.changed < kAnnouncementTime) {
      news.push_back(&service);
    } else if (!grant.row.ejected.empty()) {
      unchanged.push_back(&service);
    }
  }
  for (std::size_t i = 0; i < unchanged.size(); ++i) {
    news.push_back(unchanged[(i + this->next_unchanged) % unchanged.size()]);
  }
  this->next_unchanged += limit;
  std::vector<schema::GrantNoticeT> notices;
  for (std::size_t i = 0; i < std::min(limit, news.size()); ++i) {
    const Grant& grant = this->grants.at(*news[i]);
    schema::GrantNoticeT notice;
    notice.version = grant.version.Value();
    notice.grant = std::make_unique<EjectionGrantT>();
    notice.grant->service = news[i]->Value();
    for (const auto& entry : grant.row.ejected) {
      notice.grant->ejected.push_back(std::make_unique<EjectionEntryT>(*entry));
    }
    notice.confirmed_age_ms = UINT32_MAX;
    if (grant.confirmed) {
      // Rounded up, so that the age is never understated.
      const auto age =
          std::chrono::ceil<std::chrono::milliseconds>(now - *grant.confirmed);
      notice.confirmed_age_ms = static_cast<std::uint32_t>(
          std::min<std::int64_t>(age.count(), UINT32_MAX));
    }
    notices.push_back(std::move(notice));
  }
  return notices;
}

bool Ejection::IsFresh(const Grant& grant, TimePoint now) const {
  return grant.confirmed && now - *grant.confirmed <= kMaxGrantAge;
}

std::vector<BackendId> Ejection::Applied(const ServiceName& service,
                                         TimePoint now) const {
  const auto grant = this->grants.find(service);
  const auto task = this->tasks.find(service);
  if (grant == this->grants.end() || task == this->tasks.end() ||
      !this->IsFresh(grant->second, now)) {
    return {};
  }
  return SelectWithinFloor(task->second.capacity,
                           EjectedInOrder(grant->second.row));
}

RowVersion Ejection::GrantVersion(const ServiceName& service) const {
  const auto grant = this->grants.find(service);
  return grant == this->grants.end() ? RowVersion() : grant->second.version;
}

Duration Ejection::ValidFor(TimePoint now) const {
  Duration valid = kMaxGrantAge;
  for (const auto& [service, grant] : this->grants) {
    if (!grant.row.ejected.empty() && this->IsFresh(grant, now)) {
      valid = std::min(valid, *grant.confirmed + kMaxGrantAge - now);
    }
  }
  return valid;
}

bool Ejection::TakeChanged() {
  return std::exchange(this->applied_changed, false);
}

bool Ejection::TakeNewerGrant() {
  return std::exchange(this->news, false);
}

std::vector<std::string> Ejection::Explain(const ServiceName& service,
                                           TimePoint now) const {
  std::vector<std::string> lines;
  const auto found = this->grants.find(service);
  if (found == this->grants.end()) {
    return lines;
  }
  const Grant& grant = found->second;
  const auto applied = this->Applied(service, now);
  for (const auto& entry : grant.row.ejected) {
    const bool in_force = std::find(applied.begin(), applied.end(),
                                    BackendId(entry->address)) != applied.end();
    lines.push_back(
        entry->address + " ejected by the fleet, relapses " +
        std::to_string(entry->relapses) +
        (in_force ? "" : ", not applied here: floor or stale grant"));
  }
  for (const auto& entry : grant.row.returning) {
    lines.push_back(entry->address + " returning, counts as ejected for the " +
                    "floor");
  }
  for (const BackendId& id : this->tasks.at(service).sick) {
    if (FindEntry(grant.row.ejected, id.Value()) == nullptr) {
      lines.push_back(id.Value() +
                      " found sick; not ejected: floor or no platform");
    }
  }
  return lines;
}

}  // namespace acacia
