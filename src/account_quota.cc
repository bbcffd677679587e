#include "src/account_quota.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace acacia {
namespace {

// A limited account is reported this often without new requests, so that its
// keeper can tell an entry without requests from one that is cut off.
constexpr Duration kIdleReportInterval = std::chrono::milliseconds(400);
// Fewer recent admissions need no report.
constexpr double kMinRecentReported = 0.2;
constexpr Duration kIdleExpiry = std::chrono::seconds(30);
constexpr Duration kCleanInterval = std::chrono::seconds(5);
// Admissions without a keeper vary around the last rate by this much.
constexpr double kHoldSpareRequests = 2;
constexpr double kHoldSpareS = 0.25;
constexpr Duration kMinWait = std::chrono::milliseconds(200);
constexpr Duration kMaxWait = std::chrono::seconds(5);

std::uint16_t Clamp16(std::uint32_t count) {
  return static_cast<std::uint16_t>(
      std::min<std::uint32_t>(count, kWholeFraction));
}

double Decayed(double value, TimePoint since, TimePoint now) {
  return value * std::exp(-ToSeconds(now - since) / QuotaLimiter::kRecentTimeS);
}

}  // namespace

AccountHash HashOf(const AccountId& account) {
  const std::string& name = account.Value();
  return AccountHash(XXH3_64bits(name.data(), name.size()));
}

std::uint16_t PackFraction(double fraction) {
  return static_cast<std::uint16_t>(
      std::lround(std::clamp(fraction, 0.0, 1.0) * kWholeFraction));
}

double UnpackFraction(std::uint16_t packed) {
  return static_cast<double>(packed) / kWholeFraction;
}

QuotaLimiter::QuotaLimiter(std::unique_ptr<RandomSource> random)
    : random(std::move(random)) {}

void QuotaLimiter::SetAccounts(const AccountTable* accounts) {
  const std::lock_guard lock(this->mutex);
  std::unordered_map<AccountHash, Limit> next;
  if (accounts != nullptr) {
    for (const ClientAccount& each : accounts->Accounts()) {
      if (each.requests_per_second > 0) {
        next[HashOf(each.id)] = {each.id,
                                 {each.requests_per_second, each.burst}};
      }
    }
  }
  std::erase_if(this->usages, [&next](const auto& item) {
    return !next.contains(item.first);
  });
  for (auto& [account, usage] : this->usages) {
    const auto before = this->limits.find(account);
    if (before == this->limits.end() ||
        before->second.quota != next.at(account).quota) {
      // The tokens belong to the limit before.
      usage.rule = TokenRule::kNone;
    }
  }
  this->limits = std::move(next);
}

std::optional<AccountQuota> QuotaLimiter::QuotaOf(AccountHash account) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->limits.find(account);
  return found == this->limits.end() ? std::nullopt
                                     : std::optional(found->second.quota);
}

std::optional<AccountId> QuotaLimiter::NameOf(AccountHash account) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->limits.find(account);
  return found == this->limits.end() ? std::nullopt
                                     : std::optional(found->second.name);
}

bool QuotaLimiter::HasLimits() const {
  const std::lock_guard lock(this->mutex);
  return !this->limits.empty();
}

QuotaLimiter::Usage& QuotaLimiter::UsageOf(AccountHash account, TimePoint now) {
  const auto [item, is_new] = this->usages.try_emplace(account);
  Usage& usage = item->second;
  if (is_new) {
    // Entries that get a fraction at the same time must not all refuse, or all
    // admit, their next request.
    usage.credit = this->random->Fraction();
    usage.recent_at = now;
    usage.used_at = now;
  }
  return usage;
}

std::optional<Duration> QuotaLimiter::Admit(const AccountId& account,
                                            TimePoint now) {
  const AccountHash hash = HashOf(account);
  const std::lock_guard lock(this->mutex);
  const auto found = this->limits.find(hash);
  if (found == this->limits.end()) {
    return std::nullopt;
  }
  Usage& usage = this->UsageOf(hash, now);
  ++usage.arrived;
  usage.used_at = now;
  const AccountQuota& quota = found->second.quota;
  if (!this->Decide(hash, quota, usage, now)) {
    ++this->refused;
    return this->WaitFor(quota, usage);
  }
  ++usage.admitted;
  usage.recent = Decayed(usage.recent, usage.recent_at, now) + 1;
  usage.recent_at = now;
  return std::nullopt;
}

AccountQuota QuotaLimiter::EqualShare(const AccountQuota& quota) const {
  const double fleet =
      static_cast<double>(std::max<std::size_t>(this->contact.fleet_size, 1));
  return {quota.requests_per_second / fleet, quota.burst / fleet};
}

bool QuotaLimiter::IsWithoutKeeper(AccountHash account) const {
  return this->contact.is_cut_off ||
         this->contact.without_keeper.contains(account);
}

double QuotaLimiter::FractionInForce(const Usage& usage, TimePoint now) const {
  const bool has_expired = usage.rule == TokenRule::kNone &&
                           now - usage.fraction_at > kFractionExpiry;
  return usage.fraction && !has_expired ? *usage.fraction : 1;
}

bool QuotaLimiter::Decide(AccountHash account,
                          const AccountQuota& quota,
                          Usage& usage,
                          TimePoint now) {
  const AccountQuota equal = this->EqualShare(quota);
  const double share = equal.requests_per_second;
  const double share_burst = std::max(equal.burst, 1.0);
  if (!this->contact.has_heard_keeper) {
    return this->TakeToken(usage, TokenRule::kUnheard, share, share_burst, now);
  }
  if (!this->IsWithoutKeeper(account)) {
    usage.rule = TokenRule::kNone;
    usage.contact_at = now;
  } else if (now - usage.contact_at > kHoldTime) {
    return this->TakeToken(usage, TokenRule::kShare, share, share_burst, now);
  } else {
    const double rate = std::max(usage.steady_rate, share);
    const double capacity = kHoldSpareRequests + kHoldSpareS * rate;
    if (!this->TakeToken(usage, TokenRule::kHold, rate, capacity, now)) {
      return false;
    }
  }
  usage.credit =
      std::min(usage.credit + this->FractionInForce(usage, now), 2.0);
  if (usage.credit < 1) {
    usage.tokens += usage.rule == TokenRule::kHold ? 1 : 0;
    return false;
  }
  usage.credit -= 1;
  return true;
}

bool QuotaLimiter::TakeToken(Usage& usage,
                             TokenRule rule,
                             double rate,
                             double capacity,
                             TimePoint now) {
  if (usage.rule != rule) {
    usage.rule = rule;
    usage.tokens_at = now;
    // Entries of one cut begin with their share at the same time, and must not
    // all admit a request at once.
    usage.tokens =
        rule == TokenRule::kShare ? this->random->Fraction() : capacity;
  }
  usage.tokens = std::min(
      capacity, usage.tokens + rate * ToSeconds(now - usage.tokens_at));
  usage.tokens_at = now;
  if (usage.tokens < 1) {
    return false;
  }
  usage.tokens -= 1;
  return true;
}

// The time until this entry should admit a request of the account again, at
// the rate that it admitted recently.
Duration QuotaLimiter::WaitFor(const AccountQuota& quota,
                               const Usage& usage) const {
  const double rate = std::max(usage.recent / kRecentTimeS,
                               this->EqualShare(quota).requests_per_second);
  const std::chrono::duration<double> wait(
      std::min(1 / rate, ToSeconds(kMaxWait)));
  return std::clamp(std::chrono::duration_cast<Duration>(wait), kMinWait,
                    kMaxWait);
}

void QuotaLimiter::Return(const AccountId& account) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->usages.find(HashOf(account));
  if (found != this->usages.end()) {
    --found->second.admitted;
    found->second.tokens += found->second.rule == TokenRule::kNone ? 0 : 1;
    found->second.recent = std::max(found->second.recent - 1, 0.0);
  }
}

std::vector<schema::QuotaUse> QuotaLimiter::TakeUses(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->RemoveIdle(now);
  std::vector<schema::QuotaUse> uses;
  for (auto& [account, usage] : this->usages) {
    if (!this->IsWithoutKeeper(account) && this->contact.has_heard_keeper) {
      usage.steady_rate =
          Decayed(usage.recent, usage.recent_at, now) / kRecentTimeS;
    }
    const bool is_used = usage.arrived != usage.reported_arrived ||
                         usage.admitted != usage.reported_admitted;
    const bool is_idle_report_due =
        usage.fraction && *usage.fraction < 1 &&
        now - usage.reported_at >= kIdleReportInterval &&
        Decayed(usage.recent, usage.recent_at, now) > kMinRecentReported;
    if (!is_used && !is_idle_report_due) {
      continue;
    }
    const double fraction = this->FractionInForce(usage, now);
    const auto new_admitted =
        static_cast<std::int32_t>(usage.admitted - usage.reported_admitted);
    uses.emplace_back(
        account.Value(), usage.arrived, usage.admitted,
        Clamp16(usage.arrived - usage.reported_arrived),
        Clamp16(static_cast<std::uint32_t>(std::max(new_admitted, 0))),
        PackFraction(fraction), false);
    usage.reported_arrived = usage.arrived;
    usage.reported_admitted = usage.admitted;
    usage.reported_at = now;
  }
  return uses;
}

void QuotaLimiter::OnFraction(const schema::AccountFraction& fraction,
                              TimePoint now) {
  const AccountHash account(fraction.account());
  const std::lock_guard lock(this->mutex);
  ++this->fractions;
  // While cut off, the entries that answer know too little of the fleet.
  if (!this->limits.contains(account) || this->contact.is_cut_off) {
    return;
  }
  Usage& usage = this->UsageOf(account, now);
  usage.fraction = fraction.fraction() == kWholeFraction
                       ? std::nullopt
                       : std::optional(UnpackFraction(fraction.fraction()));
  usage.fraction_at = now;
}

void QuotaLimiter::SetContact(QuotaContact contact) {
  const std::lock_guard lock(this->mutex);
  this->contact = std::move(contact);
}

std::vector<AccountHash> QuotaLimiter::ActiveAccounts() const {
  const std::lock_guard lock(this->mutex);
  std::vector<AccountHash> accounts;
  accounts.reserve(this->usages.size());
  for (const auto& [account, usage] : this->usages) {
    accounts.push_back(account);
  }
  return accounts;
}

void QuotaLimiter::RemoveIdle(TimePoint now) {
  if (now - this->cleaned_at < kCleanInterval) {
    return;
  }
  this->cleaned_at = now;
  std::erase_if(this->usages, [now](const auto& item) {
    const Usage& usage = item.second;
    return now - std::max(usage.used_at, usage.fraction_at) > kIdleExpiry;
  });
}

std::size_t QuotaLimiter::LimitedCount(TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  return static_cast<std::size_t>(std::count_if(
      this->usages.begin(), this->usages.end(), [this, now](const auto& item) {
        return this->FractionInForce(item.second, now) < 1;
      }));
}

std::uint64_t QuotaLimiter::RefusedCount() const {
  const std::lock_guard lock(this->mutex);
  return this->refused;
}

std::uint64_t QuotaLimiter::FractionCount() const {
  const std::lock_guard lock(this->mutex);
  return this->fractions;
}

}  // namespace acacia
