// Admits the requests of client accounts at one entry so that all entries
// together stay within each account's limit. The keeper of an account, which
// gets reports from all entries, names the fraction of requests that each entry
// admits; see docs/design/account-quotas.md.
//
// While the keeper cannot be reached, the last fraction holds, bounded by the
// rate that this entry last admitted; after kHoldTime the entry admits an equal
// share of the limit. An entry that has heard from no keeper yet does the same.
//
// Thread-safe; no I/O.
#ifndef SRC_ACCOUNT_QUOTA_H_
#define SRC_ACCOUNT_QUOTA_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "src/account_hash.h"
#include "src/account_table.h"
#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/random_source.h"

namespace acacia {

// Fractions travel as integers.
inline constexpr std::uint16_t kWholeFraction = 65535;
std::uint16_t PackFraction(double fraction);
double UnpackFraction(std::uint16_t packed);

// What this entry knows of its connection to the keepers.
struct QuotaContact {
  // A keeper has answered since the process started.
  bool has_heard_keeper = false;
  // Most of the fleet does not answer.
  bool is_cut_off = false;
  std::size_t fleet_size = 1;
  // Accounts whose keeper has left reports unanswered.
  std::unordered_set<AccountHash> without_keeper{};
};

class QuotaLimiter {
 public:
  // How long the last fraction holds while the keeper is silent.
  static constexpr Duration kHoldTime = std::chrono::seconds(8);
  // Averaging time of an entry's admissions, here and at the keeper, in
  // seconds. Long enough to smooth the arrivals of an account at one entry.
  static constexpr double kRecentTimeS = 3;
  // A fraction that its keeper does not repeat has ended. The keeper may have
  // ended without this entry noticing, so this is longer than a change of
  // keepers.
  static constexpr Duration kFractionExpiry = std::chrono::seconds(10);

  explicit QuotaLimiter(std::unique_ptr<RandomSource> random);

  // Applies the limits of a new configuration; null: there are no accounts.
  void SetAccounts(const AccountTable* accounts);
  std::optional<AccountQuota> QuotaOf(AccountHash account) const;
  std::optional<AccountId> NameOf(AccountHash account) const;
  // Whether any account has a limit.
  bool HasLimits() const;

  // Returns nullopt if the request is admitted, otherwise when the account
  // should have room again. Accounts without a limit are always admitted.
  std::optional<Duration> Admit(const AccountId& account, TimePoint now);
  // A request that was admitted has ended without having run.
  void Return(const AccountId& account);

  // Reports for the keepers: the accounts used since their last report, and
  // limited ones from time to time while their recent admissions count.
  std::vector<schema::QuotaUse> TakeUses(TimePoint now);
  // A keeper named the fraction of an account.
  void OnFraction(const schema::AccountFraction& fraction, TimePoint now);
  void SetContact(QuotaContact contact);
  // Accounts with state at this entry, for which SetContact needs to know the
  // keeper.
  std::vector<AccountHash> ActiveAccounts() const;

  // Accounts that are limited here at present.
  std::size_t LimitedCount(TimePoint now) const;
  std::uint64_t RefusedCount() const;
  std::uint64_t FractionCount() const;

 private:
  struct Limit {
    AccountId name;
    AccountQuota quota;
  };
  // Which rule the tokens of a usage belong to.
  enum class TokenRule { kNone, kUnheard, kHold, kShare };
  struct Usage {
    std::uint32_t arrived = 0;
    std::uint32_t admitted = 0;
    std::uint32_t reported_arrived = 0;
    std::uint32_t reported_admitted = 0;
    std::optional<double> fraction;
    TimePoint fraction_at{};
    // Grows by the fraction with each arrival; an admission costs 1.
    double credit = 0;
    // Recent admissions, decayed with kRecentTimeS.
    double recent = 0;
    TimePoint recent_at{};
    // Admissions per second when the keeper was last in contact.
    double steady_rate = 0;
    TimePoint contact_at{};
    TokenRule rule = TokenRule::kNone;
    double tokens = 0;
    TimePoint tokens_at{};
    TimePoint used_at{};
    TimePoint reported_at{};
  };

  Usage& UsageOf(AccountHash account, TimePoint now);
  // This entry's equal part of the limit.
  AccountQuota EqualShare(const AccountQuota& quota) const;
  bool IsWithoutKeeper(AccountHash account) const;
  double FractionInForce(const Usage& usage, TimePoint now) const;
  bool Decide(AccountHash account,
              const AccountQuota& quota,
              Usage& usage,
              TimePoint now);
  bool TakeToken(Usage& usage,
                 TokenRule rule,
                 double rate,
                 double capacity,
                 TimePoint now);
  Duration WaitFor(const AccountQuota& quota, const Usage& usage) const;
  void RemoveIdle(TimePoint now);

  mutable std::mutex mutex;
  std::unique_ptr<RandomSource> random;
  std::unordered_map<AccountHash, Limit> limits;
  std::unordered_map<AccountHash, Usage> usages;
  QuotaContact contact;
  std::uint64_t refused = 0;
  std::uint64_t fractions = 0;
  TimePoint cleaned_at{};
};

}  // namespace acacia

#endif  // SRC_ACCOUNT_QUOTA_H_
