// The client accounts of a configuration, found by the key that a caller
// presents. Keys are kept only as truncated SHA-256 digests.
#ifndef SRC_ACCOUNT_TABLE_H_
#define SRC_ACCOUNT_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/ids.h"

namespace acacia {

struct ClientAccount {
  AccountId id;
  // Takes precedence over the route's priority; 0 is the highest.
  std::optional<std::uint32_t> priority{};
  // Limit over all entries together; 0: no limit.
  double requests_per_second = 0;
  // Requests that may exceed the rate at once.
  double burst = 0;
};

// Immutable once built. Thread-safe after the last Add.
class AccountTable {
 public:
  // 128 bits make a collision between keys practically impossible.
  using KeyDigest = std::array<std::uint64_t, 2>;

  static KeyDigest DigestOf(std::string_view key);

  // Adds an account with its keys. Returns false, and adds nothing, when one of
  // the keys belongs to an account that was added before.
  bool Add(ClientAccount account, const std::vector<std::string_view>& keys);
  // The same for keys of which only the digests are known.
  bool AddDigests(ClientAccount account, const std::vector<KeyDigest>& digests);

  bool IsEmpty() const { return this->accounts.empty(); }
  const std::vector<ClientAccount>& Accounts() const { return this->accounts; }
  // Returns the account that holds the key; null if there is none. Valid for
  // the lifetime of this table.
  const ClientAccount* Find(std::string_view key) const;

 private:
  struct DigestHash {
    std::size_t operator()(const KeyDigest& digest) const { return digest[0]; }
  };

  std::vector<ClientAccount> accounts;
  // The value is an index into `accounts`.
  std::unordered_map<KeyDigest, std::uint32_t, DigestHash> by_key;
};

}  // namespace acacia

#endif  // SRC_ACCOUNT_TABLE_H_
