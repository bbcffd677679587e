// Enforces each account's limits on requests per second (a token bucket that
// holds one second's worth) and on concurrent requests. No state is kept for
// accounts without a limit.
#ifndef SRC_ACCOUNT_LIMITER_H_
#define SRC_ACCOUNT_LIMITER_H_

#include <cstdint>
#include <unordered_map>

#include "src/clock.h"
#include "src/configuration.h"
#include "src/ids.h"

namespace acacia {

class AccountLimiter {
 public:
  // Returns true if the request is within the limits. The caller then calls
  // Release once when the request has ended.
  bool Admit(const AccountId& account,
             const AccountLimit& limit,
             TimePoint now);
  void Release(const AccountId& account);

 private:
  struct Usage {
    double tokens = 0;
    TimePoint refilled;
    std::uint32_t concurrent = 0;
  };

  void RemoveIdle(TimePoint now);

  std::unordered_map<AccountId, Usage> usage;
  std::size_t remove_idle_at_size = 1024;
};

}  // namespace acacia

#endif  // SRC_ACCOUNT_LIMITER_H_
