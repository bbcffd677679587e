#include "src/account_limiter.h"

#include <algorithm>

namespace acacia {

namespace {

constexpr Duration kBucketFillTime = std::chrono::seconds(1);
constexpr std::size_t kMinSizeToRemoveIdle = 1024;

}  // namespace

bool AccountLimiter::Admit(const AccountId& account,
                           const AccountLimit& limit,
                           TimePoint now) {
  if (limit.requests_per_second == 0 && limit.concurrent_requests == 0) {
    return true;
  }
  this->RemoveIdle(now);
  const auto [found, inserted] = this->usage.try_emplace(account);
  Usage& usage = found->second;
  const double bucket_size = limit.requests_per_second;
  if (inserted) {
    usage.tokens = bucket_size;
    usage.refilled = now;
  }
  const std::chrono::duration<double> elapsed = now - usage.refilled;
  usage.tokens =
      std::min(bucket_size, usage.tokens + elapsed.count() * bucket_size);
  usage.refilled = now;
  const bool rate_allowed = limit.requests_per_second == 0 || usage.tokens >= 1;
  const bool concurrency_allowed = limit.concurrent_requests == 0 ||
                                   usage.concurrent < limit.concurrent_requests;
  if (!rate_allowed || !concurrency_allowed) {
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

// An account that has been idle until its bucket is full again needs no state.
void AccountLimiter::RemoveIdle(TimePoint now) {
  if (this->usage.size() < this->remove_idle_at_size) {
    return;
  }
  std::erase_if(this->usage, [now](const auto& item) {
    return item.second.concurrent == 0 &&
           now - item.second.refilled > kBucketFillTime;
  });
  this->remove_idle_at_size =
      std::max(kMinSizeToRemoveIdle, 2 * this->usage.size());
}

}  // namespace acacia
