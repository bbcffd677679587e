// The quotas of the client accounts whose keeper this entry is. Entries report
// the arrivals and admissions of an account; the keeper charges a token bucket
// with them, estimates the demand, and computes the fraction of requests that
// every entry is to admit.
//
// Entries that fall silent are assumed to go on at their last admitted rate for
// QuotaLimiter::kHoldTime, and at their equal share afterwards. What they
// reported meanwhile replaces the assumption when they are heard again.
//
// Not thread-safe; no I/O.
#ifndef SRC_QUOTA_KEEPER_H_
#define SRC_QUOTA_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/account_hash.h"
#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"

namespace acacia {

// The keeper's view of the fleet.
struct KeeperView {
  // Every entry of the fleet, including this one.
  const std::vector<InstanceId>& entries;
  // Share of the fleet that answers this entry.
  double reach = 1;
  // Whether this entry knows no better keeper of the account that answers it.
  std::function<bool(AccountHash)> is_keeper_of{};
  std::function<std::optional<AccountQuota>(AccountHash)> quota_of{};
  // Whether the entry leaves this one's messages unanswered.
  std::function<bool(const InstanceId&)> is_silent{};
};

// The fractions to send to each entry.
using FractionsByEntry =
    std::map<InstanceId, std::vector<schema::AccountFraction>>;

struct QuotaChange {
  AccountHash account;
  bool is_limited = false;
  double demand = 0;
  double fraction = 1;
};

class QuotaKeeper {
 public:
  // In fleets of at most this size all entries get the fractions.
  static constexpr std::size_t kSmallFleetEntries = 128;
  // Requests above the burst that a bucket holds, so that accounts of a few
  // requests a second are not refused for the usual variation of their
  // arrivals. Less than half of the constant in the bound on admissions.
  static constexpr double kSpareRequests = 8;

  // `process`: distinguishes processes of the reporter.
  void OnUse(const InstanceId& reporter,
             std::uint32_t process,
             const schema::QuotaUse& use,
             const AccountQuota& quota,
             TimePoint now);
  // Updates all accounts and returns the fractions to send now.
  FractionsByEntry OnTick(const KeeperView& view, TimePoint now);
  // Accounts that began or ceased to be limited since the last call.
  std::vector<QuotaChange> TakeChanges();

  std::size_t LimitedCount() const;
  bool Keeps(AccountHash account) const {
    return this->accounts.contains(account);
  }
  std::size_t AccountCount() const { return this->accounts.size(); }
  double FractionOf(AccountHash account) const;
  // For tests: requests that the account's bucket holds.
  double LevelOf(AccountHash account) const;

 private:
  struct Reporter {
    std::uint32_t process = 0;
    std::uint32_t arrived = 0;
    std::uint32_t admitted = 0;
    // Admissions, decayed with QuotaLimiter::kRecentTimeS.
    double recent = 0;
    TimePoint reported_at{};
    // Admissions assumed since it fell silent.
    double assumed = 0;
    // The fraction that it has in force.
    double stated = 1;
    TimePoint sent_at{};
  };
  struct Account {
    AccountQuota quota;
    double level = 0;
    TimePoint updated_at{};
    // Arrivals per second, over a shorter and a longer time.
    double fast_demand = 0;
    double slow_demand = 0;
    double fraction = 1;
    // No better keeper answers this entry.
    bool is_kept_here = true;
    // A new keeper does not raise the fraction above those in force.
    double max_fraction = 1;
    TimePoint max_fraction_until{};
    bool is_limited = false;
    TimePoint limited_at{};
    double broadcast_fraction = 1;
    TimePoint broadcast_at{};
    TimePoint reported_at{};
    std::map<InstanceId, Reporter> reporters;
  };

  Account& Open(const schema::QuotaUse& use,
                const AccountQuota& quota,
                TimePoint now);
  void Update(AccountHash hash,
              Account& account,
              const KeeperView& view,
              TimePoint now);
  // Charges the assumed admissions of silent entries; returns their rate.
  double ChargeSilent(Account& account, const KeeperView& view, TimePoint now);
  void SetFraction(AccountHash hash,
                   Account& account,
                   double fraction,
                   TimePoint now);
  void Send(AccountHash hash,
            Account& account,
            const KeeperView& view,
            FractionsByEntry& out,
            TimePoint now);

  std::unordered_map<AccountHash, Account> accounts;
  std::vector<QuotaChange> changes;
  // Since when this process has been able to keep accounts: buckets opened
  // later may be full, since no admissions were missed.
  std::optional<TimePoint> able_since;
};

}  // namespace acacia

#endif  // SRC_QUOTA_KEEPER_H_
