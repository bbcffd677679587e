// Names a client account in messages between entries.
#ifndef SRC_ACCOUNT_HASH_H_
#define SRC_ACCOUNT_HASH_H_

#include <cstdint>

#include "src/ids.h"

namespace acacia {

// Hash of the account's name; the same in every process. A collision among
// 42,000 accounts has a chance of 1 in 20 billion and would make two accounts
// share a limit.
using AccountHash = StrongNumber<struct AccountHashTag, std::uint64_t>;

AccountHash HashOf(const AccountId& account);

// The rate limit of an account over all entries together.
struct AccountQuota {
  double requests_per_second = 0;
  double burst = 0;
  bool operator==(const AccountQuota&) const = default;
};

}  // namespace acacia

#endif  // SRC_ACCOUNT_HASH_H_
