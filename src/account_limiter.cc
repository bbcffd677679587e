#include "src/account_limiter.h"

#include <algorithm>

namespace acacia {

namespace {

constexpr Duration kSavedUp = std::chrono::seconds(1);
constexpr std::size_t kMinSizeToDropIdle = 1024;

}  // namespace

bool AccountLimiter::Admit(const AccountId& account,
                           const AccountLimit& limit,
                           TimePoint now) {
  if (limit.requests_per_second == 0 && limit.concurrent_requests == 0) {
    return true;
  }
  this->DropIdle(now);
  const auto [found, inserted] = this->usage.try_emplace(account);
  Usage& usage = found->second;
  const double full = limit.requests_per_second;
  if (inserted) {
    usage.tokens = full;
    usage.refilled = now;
  }
  const std::chrono::duration<double> passed = now - usage.refilled;
  usage.tokens = std::min(full, usage.tokens + passed.count() * full);
  usage.refilled = now;
  const bool rate_ok = limit.requests_per_second == 0 || usage.tokens >= 1;
  const bool concurrent_ok = limit.concurrent_requests == 0 ||
                             usage.concurrent < limit.concurrent_requests;
  if (!rate_ok || !concurrent_ok) {
    return false;
  }
  usage.tokens -= 1;
  ++usage.concurrent;
  return true;
}

void AccountLimiter::Release(const AccountId& account) {
  const auto found = this->usage.find(account);
  if (found != this->usage.end() && found->second.concurrent > 0) {
    --found->second.concurrent;
  }
}

// An account idle for longer than its bucket takes to fill is as good as new.
void AccountLimiter::DropIdle(TimePoint now) {
  if (this->usage.size() < this->drop_idle_at_size) {
    return;
  }
  std::erase_if(this->usage, [now](const auto& item) {
    return item.second.concurrent == 0 && now - item.second.refilled > kSavedUp;
  });
  this->drop_idle_at_size =
      std::max(kMinSizeToDropIdle, 2 * this->usage.size());
}

}  // namespace acacia
