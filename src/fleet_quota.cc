#include "src/fleet_quota.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "src/log_event.h"
#include "src/rendezvous.h"

namespace acacia {
namespace {

// Candidates that stand by as keepers of an account. More silent ones at once
// mean that this entry is cut off, or that the account is limited by shares.
constexpr std::size_t kMaxRanks = 12;
// A keeper answers a reporter this often at most, unless a fraction changes.
constexpr Duration kReplyInterval = std::chrono::milliseconds(120);
// Reports are marked this long after a change of the keeper, so that some of
// them arrive.
constexpr Duration kHandoverTime = std::chrono::milliseconds(1500);
constexpr Duration kCleanInterval = std::chrono::seconds(10);
constexpr Duration kReporterExpiry = std::chrono::seconds(60);

}  // namespace

FleetQuota::FleetQuota(QuotaLimiter& limiter,
                       InstanceId self,
                       std::uint32_t process)
    : limiter(limiter),
      self(std::move(self)),
      process(process),
      entries{this->self} {}

void FleetQuota::SetMembers(
    const std::map<InstanceId, schema::MemberUpdateT>& members,
    std::size_t fleet_size) {
  std::set<InstanceId> all{this->self};
  for (const auto& [instance, member] : members) {
    all.insert(instance);
  }
  this->fleet_size = std::max(fleet_size, all.size());
  if (std::equal(all.begin(), all.end(), this->entries.begin(),
                 this->entries.end())) {
    return;
  }
  this->entries.assign(all.begin(), all.end());
  all.erase(this->self);
  this->reach.SetMembers(this->self, all);
  for (auto& [account, ranking] : this->rankings) {
    ranking.ranks.clear();
  }
}

FleetQuota::Ranking& FleetQuota::RankingOf(AccountHash account) {
  Ranking& ranking = this->rankings[account];
  if (ranking.ranks.empty()) {
    const std::string key = std::to_string(account.Value());
    for (const std::size_t index :
         RankIdsByRendezvous(key, this->entries, kMaxRanks)) {
      ranking.ranks.push_back(static_cast<std::uint16_t>(index));
    }
  }
  return ranking;
}

InstanceId FleetQuota::KeeperOf(AccountHash account) {
  const Ranking& ranking = this->RankingOf(account);
  const auto chosen = std::find_if(
      ranking.ranks.begin(), ranking.ranks.end(), [this](std::uint16_t index) {
        return !this->silent.contains(this->entries[index]);
      });
  return this->entries[chosen == ranking.ranks.end() ? ranking.ranks.front()
                                                     : *chosen];
}

void FleetQuota::UpdateContact(TimePoint now) {
  this->silent = this->reach.SilentEntries(now);
  QuotaContact contact;
  contact.has_heard_keeper = this->reach.HasBeenAnswered();
  contact.is_cut_off = this->reach.IsCutOff(now);
  contact.fleet_size = this->fleet_size;
  for (const AccountHash account : this->limiter.ActiveAccounts()) {
    const InstanceId chosen = this->KeeperOf(account);
    Ranking& ranking = this->rankings[account];
    if (ranking.keeper && *ranking.keeper != chosen) {
      ranking.changed_at = now;
      ++this->keeper_changes;
    }
    ranking.keeper = chosen;
    if (this->reach.IsInDoubt(chosen, now)) {
      contact.without_keeper.insert(account);
    }
  }
  if (contact.is_cut_off != this->was_cut_off) {
    this->was_cut_off = contact.is_cut_off;
    LogEvent(contact.is_cut_off ? "quota_cut_off" : "quota_reconnected",
             LogSeverity::kWarning)
        .With("silent_entries", this->silent.size())
        .With("entries", this->entries.size());
  }
  this->limiter.SetContact(std::move(contact));
}

void FleetQuota::OnReport(const schema::QuotaReportT& report, TimePoint now) {
  const InstanceId from(report.instance);
  Reporter& reporter = this->reporters[from];
  const bool is_same_process = reporter.process == report.process;
  reporter.is_reply_due = true;
  reporter.reported_at = now;
  const auto newer =
      static_cast<std::int32_t>(report.sequence - reporter.sequence);
  if (is_same_process && newer <= 0) {
    // Overtaken by a later report, whose totals include it.
    return;
  }
  reporter.process = report.process;
  reporter.sequence = report.sequence;
  for (const schema::QuotaUse& use : report.uses) {
    if (const auto quota = this->limiter.QuotaOf(AccountHash(use.account()))) {
      this->keeper.OnUse(from, report.process, use, *quota, now);
    }
    // Reports of an account that others keep show that they are not reached;
    // this entry finds out whether it reaches them itself.
    const InstanceId best = this->KeeperOf(AccountHash(use.account()));
    if (best != this->self && use.handover()) {
      this->reach.Ask(best);
    }
  }
}

void FleetQuota::OnReply(const schema::QuotaReplyT& reply, TimePoint now) {
  const InstanceId from(reply.instance);
  this->reach.OnAnswered(from, now);
  this->silent.erase(from);
  for (const schema::AccountFraction& each : reply.fractions) {
    // While the keeper changes, the one before sees only part of the demand.
    const InstanceId best = this->KeeperOf(AccountHash(each.account()));
    if (best == from) {
      this->limiter.OnFraction(each, now);
    } else {
      // The sender found it silent, which this entry, with few requests of the
      // account, would notice late.
      this->reach.Ask(best);
    }
  }
}

void FleetQuota::AddReports(std::vector<QuotaMessage>& messages,
                            TimePoint now) {
  std::map<InstanceId, std::vector<schema::QuotaUse>> by_keeper;
  for (schema::QuotaUse& use : this->limiter.TakeUses(now)) {
    const AccountHash account(use.account());
    const InstanceId chosen = this->KeeperOf(account);
    const Ranking& ranking = this->rankings[account];
    const bool is_handover = ranking.changed_at > now - kHandoverTime;
    by_keeper[chosen].emplace_back(use.account(), use.arrived(), use.admitted(),
                                   use.new_arrived(), use.new_admitted(),
                                   use.fraction(), is_handover);
  }
  for (const InstanceId& each : this->reach.TakeProbes(now)) {
    by_keeper.try_emplace(each);
  }
  for (auto& [to, uses] : by_keeper) {
    if (to == this->self) {
      for (const schema::QuotaUse& use : uses) {
        if (const auto quota =
                this->limiter.QuotaOf(AccountHash(use.account()))) {
          this->keeper.OnUse(this->self, this->process, use, *quota, now);
        }
      }
      continue;
    }
    schema::QuotaReportT report;
    report.instance = this->self.Value();
    report.process = this->process;
    report.sequence = ++this->sequence;
    report.uses = std::move(uses);
    this->reach.OnSent(to, now);
    messages.push_back({to, std::move(report)});
  }
}

void FleetQuota::AddReplies(std::vector<QuotaMessage>& messages,
                            TimePoint now) {
  KeeperView view{this->entries};
  view.reach = this->reach.Share(now);
  view.is_keeper_of = [this](AccountHash account) {
    return this->KeeperOf(account) == this->self;
  };
  view.quota_of = [this](AccountHash account) {
    return this->limiter.QuotaOf(account);
  };
  view.is_silent = [this](const InstanceId& instance) {
    return this->silent.contains(instance);
  };
  FractionsByEntry replies = this->keeper.OnTick(view, now);
  for (auto& [instance, reporter] : this->reporters) {
    if (reporter.is_reply_due && now - reporter.replied_at >= kReplyInterval) {
      replies.try_emplace(instance);
    }
  }
  for (auto& [to, fractions] : replies) {
    if (to == this->self) {
      for (const schema::AccountFraction& each : fractions) {
        this->limiter.OnFraction(each, now);
      }
      continue;
    }
    Reporter& reporter = this->reporters[to];
    reporter.is_reply_due = false;
    reporter.replied_at = now;
    schema::QuotaReplyT reply;
    reply.instance = this->self.Value();
    reply.fractions = std::move(fractions);
    messages.push_back({to, std::move(reply)});
  }
}

std::vector<QuotaMessage> FleetQuota::OnTick(TimePoint now) {
  std::vector<QuotaMessage> messages;
  if (!this->limiter.HasLimits()) {
    return messages;
  }
  this->UpdateContact(now);
  this->AddReports(messages, now);
  this->AddReplies(messages, now);
  this->LogChanges();
  this->RemoveUnused(now);
  return messages;
}

void FleetQuota::LogChanges() {
  for (const QuotaChange& each : this->keeper.TakeChanges()) {
    const auto name = this->limiter.NameOf(each.account);
    LogEvent(each.is_limited ? "account_limited" : "account_not_limited")
        .With("account", name.value_or(AccountId()))
        .With("demand_per_s", each.demand)
        .With("fraction", each.fraction);
  }
}

void FleetQuota::RemoveUnused(TimePoint now) {
  if (now - this->cleaned_at < kCleanInterval) {
    return;
  }
  this->cleaned_at = now;
  std::erase_if(this->reporters, [now](const auto& item) {
    return now - std::max(item.second.reported_at, item.second.replied_at) >
           kReporterExpiry;
  });
  const std::vector<AccountHash> active = this->limiter.ActiveAccounts();
  const std::unordered_set<AccountHash> in_use(active.begin(), active.end());
  std::erase_if(this->rankings, [this, &in_use](const auto& item) {
    return !in_use.contains(item.first) && !this->keeper.Keeps(item.first);
  });
}

FleetQuotaCounts FleetQuota::Counts() const {
  return {this->keeper.AccountCount(), this->keeper.LimitedCount(),
          this->keeper_changes};
}

}  // namespace acacia
