// One entry's part in the quotas of client accounts: chooses the keeper of each
// account among the entries that answer, reports to the keepers, keeps the
// accounts whose keeper it is, and answers their reporters. Combines
// QuotaLimiter, QuotaKeeper and PeerReach.
//
// Not thread-safe; no I/O.
#ifndef SRC_FLEET_QUOTA_H_
#define SRC_FLEET_QUOTA_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/account_quota.h"
#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/peer_reach.h"
#include "src/quota_keeper.h"

namespace acacia {

struct QuotaMessage {
  InstanceId to;
  std::variant<schema::QuotaReportT, schema::QuotaReplyT> payload;
};

struct FleetQuotaCounts {
  // Accounts that this entry keeps, and those of them that are limited.
  std::size_t kept = 0;
  std::size_t limited = 0;
  // How often the keeper of an account changed for this entry.
  std::uint64_t keeper_changes = 0;
};

class FleetQuota {
 public:
  // `process`: distinguishes this process from others of the same instance. The
  // limiter must outlive this object.
  FleetQuota(QuotaLimiter& limiter, InstanceId self, std::uint32_t process);

  // Sets the entries of the fleet. `fleet_size`: how many entries to assume
  // while fewer are known.
  void SetMembers(const std::map<InstanceId, schema::MemberUpdateT>& members,
                  std::size_t fleet_size);

  void OnReport(const schema::QuotaReportT& report, TimePoint now);
  void OnReply(const schema::QuotaReplyT& reply, TimePoint now);
  // To be called at short, regular intervals; returns the messages to send.
  std::vector<QuotaMessage> OnTick(TimePoint now);

  // The keeper of the account as far as this entry knows.
  InstanceId KeeperOf(AccountHash account);
  FleetQuotaCounts Counts() const;
  bool IsCutOff(TimePoint now) const { return this->reach.IsCutOff(now); }
  const QuotaKeeper& Keeper() const { return this->keeper; }

 private:
  struct Ranking {
    // The best entries, as indexes into `entries`.
    std::vector<std::uint16_t> ranks;
    // The keeper in use, and when it replaced another one.
    std::optional<InstanceId> keeper;
    TimePoint changed_at = TimePoint::min();
  };
  struct Reporter {
    std::uint32_t process = 0;
    std::uint32_t sequence = 0;
    bool is_reply_due = false;
    TimePoint replied_at{};
    TimePoint reported_at{};
  };

  Ranking& RankingOf(AccountHash account);
  void UpdateContact(TimePoint now);
  void AddReports(std::vector<QuotaMessage>& messages, TimePoint now);
  void AddReplies(std::vector<QuotaMessage>& messages, TimePoint now);
  void LogChanges();
  void RemoveUnused(TimePoint now);

  QuotaLimiter& limiter;
  const InstanceId self;
  const std::uint32_t process;
  std::uint32_t sequence = 0;
  PeerReach reach;
  QuotaKeeper keeper;
  // All entries, sorted.
  std::vector<InstanceId> entries;
  std::size_t fleet_size = 1;
  std::set<InstanceId> silent;
  bool was_cut_off = false;
  std::unordered_map<AccountHash, Ranking> rankings;
  std::unordered_map<InstanceId, Reporter> reporters;
  std::uint64_t keeper_changes = 0;
  TimePoint cleaned_at{};
};

}  // namespace acacia

#endif  // SRC_FLEET_QUOTA_H_
