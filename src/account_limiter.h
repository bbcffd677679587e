// Holds each account to its configured requests per second (token bucket that
// saves up one second's worth) and concurrent requests. Accounts without a
// limit cost nothing.
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
  // True when the request may go on; then call Release once it has ended.
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

  void DropIdle(TimePoint now);

  std::unordered_map<AccountId, Usage> usage;
  std::size_t drop_idle_at_size = 1024;
};

}  // namespace acacia

#endif  // SRC_ACCOUNT_LIMITER_H_
