#include "src/quota_keeper.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "src/account_quota.h"

namespace acacia {
namespace {

// Demand is estimated over two times: the shorter one shows a rise soon, the
// longer one keeps gaps from raising the fraction. Both cover a few requests at
// the limit, up to kMaxDemandTimeS.
constexpr double kFastDemandTimeS = 0.1;
constexpr double kFastDemandRequests = 3;
constexpr double kSlowDemandTimeS = 0.3;
constexpr double kSlowDemandRequests = 8;
constexpr double kMaxDemandTimeS = 10;
// The time over which a surplus or debt of the bucket is used up. Reports and
// fractions take up to 0.1 s, so a shorter time would oscillate.
constexpr double kLevelTimeS = 0.3;
constexpr double kLevelRequests = 4;
constexpr double kMaxLevelTimeS = 5;
constexpr double kMinLevel = 2;
constexpr double kReactionTimeS = 0.15;
// A debt is paid back at the cost of the current requests, but never of all.
constexpr double kMinTargetShare = 0.05;
// Debts beyond this are older than the window of the bound or assumed.
constexpr double kMaxDebtS = 1;
constexpr double kMaxDebtRequests = 10;
// An entry that admits less does not report while it has no requests.
constexpr double kMinRecentAssumed = 0.3;
// Limited entries report every 0.4 s, so two reports were lost.
constexpr Duration kReporterSilence = std::chrono::seconds(1);
// A new keeper finds the one before silent in 1 s; the others, which learn of
// it then, in another second.
constexpr Duration kTakeoverTime = std::chrono::seconds(3);
constexpr Duration kAccountExpiry = std::chrono::seconds(30);
constexpr Duration kReporterExpiry = std::chrono::seconds(15);
// Unseen admissions of cut-off entries that fit within the bound: its factor
// leaves 10 %, of which the rest is for delays.
constexpr double kUnseenMargin = 0.06;
// The window of the bound on admissions.
constexpr double kWindowS = 5;
// A reporter gets a new fraction when its own differs by this factor, at
// intervals that let the last one arrive.
constexpr double kSendFactor = 1.15;
constexpr double kUrgentFactor = 1.4;
constexpr Duration kSendInterval = std::chrono::milliseconds(80);
constexpr Duration kUrgentInterval = std::chrono::milliseconds(40);
// Well within the time after which a fraction expires at an entry.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(1000);
constexpr Duration kReporterRecent = std::chrono::seconds(3);
// An account ceases to be limited when nothing was refused for this long.
constexpr Duration kLimitedHysteresis = std::chrono::seconds(3);
// Larger differences of totals are not from one process.
constexpr std::int32_t kMaxDifference = 1 << 24;

double Decay(double value, Duration elapsed, double time_s) {
  return value * std::exp(-ToSeconds(elapsed) / time_s);
}

// The time in which this many requests arrive at the limit, within bounds.
double TimeFor(double requests,
               const AccountQuota& quota,
               double shortest,
               double longest) {
  return std::clamp(requests / quota.requests_per_second, shortest, longest);
}

double FastTime(const AccountQuota& quota) {
  return TimeFor(kFastDemandRequests, quota, kFastDemandTimeS, kMaxDemandTimeS);
}

double SlowTime(const AccountQuota& quota) {
  return TimeFor(kSlowDemandRequests, quota, kSlowDemandTimeS, kMaxDemandTimeS);
}

std::int32_t Difference(std::uint32_t now, std::uint32_t before) {
  return static_cast<std::int32_t>(now - before);
}

}  // namespace

QuotaKeeper::Account& QuotaKeeper::Open(const schema::QuotaUse& use,
                                        const AccountQuota& quota,
                                        TimePoint now) {
  const auto [item, is_new] =
      this->accounts.try_emplace(AccountHash(use.account()));
  Account& account = item->second;
  const bool is_takeover =
      use.handover() &&
      (is_new || now - account.reported_at > kReporterSilence);
  const Duration able =
      this->able_since ? now - *this->able_since : Duration::zero();
  if (is_new) {
    account.quota = quota;
    account.updated_at = now;
    account.limited_at = now;
    account.level =
        kSpareRequests +
        std::min(quota.burst, quota.requests_per_second * ToSeconds(able));
  }
  const double stated = UnpackFraction(use.fraction());
  if (is_takeover) {
    // What the keeper before has admitted is not known here.
    account.level = std::min(account.level, 0.0);
  }
  if (is_takeover || (is_new && able < kTakeoverTime)) {
    account.fraction = stated;
    account.max_fraction = stated;
    account.max_fraction_until = now + kTakeoverTime;
  }
  if (now < account.max_fraction_until) {
    account.max_fraction = std::min(account.max_fraction, stated);
  }
  return account;
}

void QuotaKeeper::OnUse(const InstanceId& reporter,
                        std::uint32_t process,
                        const schema::QuotaUse& use,
                        const AccountQuota& quota,
                        TimePoint now) {
  Account& account = this->Open(use, quota, now);
  const auto [item, is_new] = account.reporters.try_emplace(reporter);
  Reporter& from = item->second;
  std::int32_t arrived = use.new_arrived();
  std::int32_t admitted = use.new_admitted();
  if (!is_new && from.process == process) {
    const std::int32_t difference = Difference(use.arrived(), from.arrived);
    if (std::abs(difference) < kMaxDifference) {
      arrived = std::max(difference, 0);
      admitted = Difference(use.admitted(), from.admitted);
    }
  }
  double charge = admitted;
  if (from.assumed > 0) {
    // What it admitted by its equal share, after the time of the assumption,
    // has been left to it already.
    account.level += from.assumed;
    charge = std::min(charge, from.assumed);
    from.assumed = 0;
  }
  account.level -= charge;
  account.fast_demand += arrived / FastTime(account.quota);
  account.slow_demand += arrived / SlowTime(account.quota);
  from.recent = std::max(
      Decay(from.recent, now - from.reported_at, QuotaLimiter::kRecentTimeS) +
          charge,
      0.0);
  from.process = process;
  from.arrived = use.arrived();
  from.admitted = use.admitted();
  from.stated = UnpackFraction(use.fraction());
  from.reported_at = now;
  account.reported_at = now;
}

double QuotaKeeper::ChargeSilent(Account& account,
                                 const KeeperView& view,
                                 TimePoint now) {
  double rate = 0;
  for (auto& [instance, reporter] : account.reporters) {
    const Duration silence = now - reporter.reported_at;
    // Entries without a fraction report only requests, so that their silence
    // shows only when they are asked.
    const bool is_silent = silence > kReporterSilence &&
                           reporter.recent >= kMinRecentAssumed &&
                           (reporter.stated < 1 || view.is_silent(instance));
    if (!is_silent) {
      continue;
    }
    const double own_rate = reporter.recent / QuotaLimiter::kRecentTimeS;
    const Duration assumed_for =
        std::min<Duration>(silence, QuotaLimiter::kHoldTime);
    const double assumed = own_rate * ToSeconds(assumed_for);
    account.level -= assumed - reporter.assumed;
    reporter.assumed = assumed;
    rate += silence < QuotaLimiter::kHoldTime ? own_rate : 0;
  }
  return rate;
}

void QuotaKeeper::Update(AccountHash hash,
                         Account& account,
                         const KeeperView& view,
                         TimePoint now) {
  const Duration elapsed = now - account.updated_at;
  account.updated_at = now;
  const double rate = account.quota.requests_per_second;
  account.fast_demand =
      Decay(account.fast_demand, elapsed, FastTime(account.quota));
  account.slow_demand =
      Decay(account.slow_demand, elapsed, SlowTime(account.quota));
  const double silent_rate = this->ChargeSilent(account, view, now);
  // Entries that are cut off admit up to their equal share. The burst, and then
  // the rate, are reduced by what the margin of the bound does not cover.
  const double unseen = std::max((1 - view.reach) * rate - silent_rate, 0.0);
  const double excess = std::max(unseen - kUnseenMargin * rate, 0.0);
  const double burst_cut = std::min(account.quota.burst, kWindowS * excess);
  double allowed_rate = rate - (excess - burst_cut / kWindowS);
  double burst = account.quota.burst - burst_cut;
  account.is_kept_here = view.is_keeper_of(hash);
  if (now >= account.max_fraction_until && !account.is_kept_here) {
    // The reporters do not reach the keeper, which does not see them.
    allowed_rate =
        rate * static_cast<double>(account.reporters.size()) /
        static_cast<double>(std::max<std::size_t>(view.entries.size(), 1));
    burst = 0;
  }
  account.level = std::clamp(account.level + allowed_rate * ToSeconds(elapsed),
                             -(kMaxDebtS * rate + kMaxDebtRequests),
                             burst + kSpareRequests);
  const double level_time =
      TimeFor(kLevelRequests, account.quota, kLevelTimeS, kMaxLevelTimeS);
  const double target =
      std::max(allowed_rate + account.level / level_time - silent_rate,
               kMinTargetShare * allowed_rate);
  const double demand = std::max(account.fast_demand, account.slow_demand);
  // A burst is admitted whole until the bucket holds only what arrives before a
  // lower fraction is in force everywhere.
  const bool has_room =
      account.level > kMinLevel + kReactionTimeS * account.fast_demand;
  double fraction = has_room || target >= demand ? 1.0 : target / demand;
  if (now < account.max_fraction_until) {
    fraction = std::min(fraction, account.max_fraction);
  }
  // The demand that is reported here falls while reporters change to a better
  // keeper, which is no reason to admit more of it.
  if (!account.is_kept_here) {
    fraction = std::min(fraction, account.fraction);
  }
  this->SetFraction(hash, account, fraction, now);
}

void QuotaKeeper::SetFraction(AccountHash hash,
                              Account& account,
                              double fraction,
                              TimePoint now) {
  account.fraction = fraction;
  if (fraction < 1) {
    account.limited_at = now;
  }
  const bool is_limited =
      fraction < 1 ||
      (account.is_limited && now - account.limited_at < kLimitedHysteresis);
  if (is_limited != account.is_limited) {
    account.is_limited = is_limited;
    this->changes.push_back({hash, is_limited,
                             std::max(account.fast_demand, account.slow_demand),
                             fraction});
  }
}

void QuotaKeeper::Send(AccountHash hash,
                       Account& account,
                       const KeeperView& view,
                       FractionsByEntry& out,
                       TimePoint now) {
  const double fraction = account.fraction;
  const schema::AccountFraction message(hash.Value(), PackFraction(fraction));
  const bool is_lower = fraction * kUrgentFactor < account.broadcast_fraction;
  const bool is_broadcast =
      view.entries.size() <= kSmallFleetEntries && account.is_limited &&
      account.is_kept_here &&
      (is_lower || now - account.broadcast_at >= kRefreshInterval);
  if (is_broadcast) {
    account.broadcast_fraction = fraction;
    account.broadcast_at = now;
    for (const InstanceId& each : view.entries) {
      out[each].push_back(message);
      if (const auto found = account.reporters.find(each);
          found != account.reporters.end()) {
        found->second.sent_at = now;
      }
    }
    return;
  }
  for (auto& [instance, reporter] : account.reporters) {
    const double stated = reporter.stated;
    const bool differs = fraction * kSendFactor < stated ||
                         fraction > stated * kSendFactor ||
                         (fraction >= 1) != (stated >= 1);
    const Duration interval =
        fraction * kUrgentFactor < stated ? kUrgentInterval : kSendInterval;
    const bool is_correction = differs &&
                               reporter.reported_at > reporter.sent_at &&
                               now - reporter.sent_at >= interval;
    const bool is_refresh = account.is_limited &&
                            now - reporter.sent_at >= kRefreshInterval &&
                            now - reporter.reported_at < kReporterRecent;
    if (is_correction || is_refresh) {
      reporter.sent_at = now;
      out[instance].push_back(message);
    }
  }
}

FractionsByEntry QuotaKeeper::OnTick(const KeeperView& view, TimePoint now) {
  FractionsByEntry out;
  // Reports that this entry misses while it is cut off are charged by another
  // keeper.
  if (view.reach < 0.5) {
    this->able_since.reset();
    this->accounts.clear();
    return out;
  }
  if (!this->able_since) {
    this->able_since = now;
  }
  for (auto item = this->accounts.begin(); item != this->accounts.end();) {
    Account& account = item->second;
    const auto quota = view.quota_of(item->first);
    if (!quota || now - account.reported_at > kAccountExpiry) {
      item = this->accounts.erase(item);
      continue;
    }
    account.quota = *quota;
    this->Update(item->first, account, view, now);
    this->Send(item->first, account, view, out, now);
    std::erase_if(account.reporters, [now](const auto& each) {
      return now - each.second.reported_at > kReporterExpiry;
    });
    ++item;
  }
  return out;
}

std::vector<QuotaChange> QuotaKeeper::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::size_t QuotaKeeper::LimitedCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->accounts.begin(), this->accounts.end(),
                    [](const auto& item) { return item.second.is_limited; }));
}

double QuotaKeeper::FractionOf(AccountHash account) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? 1 : found->second.fraction;
}

double QuotaKeeper::LevelOf(AccountHash account) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? 0 : found->second.level;
}

}  // namespace acacia
