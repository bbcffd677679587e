#include "src/account_table.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <iterator>
#include <utility>

namespace acacia {

AccountTable::KeyDigest AccountTable::DigestOf(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> whole{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         whole.data());
  KeyDigest digest{};
  std::memcpy(digest.data(), whole.data(), sizeof(digest));
  return digest;
}

bool AccountTable::Add(ClientAccount account,
                       const std::vector<std::string_view>& keys) {
  std::vector<KeyDigest> digests;
  std::transform(keys.begin(), keys.end(), std::back_inserter(digests),
                 DigestOf);
  return this->AddDigests(std::move(account), digests);
}

bool AccountTable::AddDigests(ClientAccount account,
                              const std::vector<KeyDigest>& digests) {
  const bool has_conflict = std::any_of(digests.begin(), digests.end(),
                                        [this](const KeyDigest& digest) {
                                          return this->by_key.contains(digest);
                                        });
  if (has_conflict) {
    return false;
  }
  const auto index = static_cast<std::uint32_t>(this->accounts.size());
  this->accounts.push_back(std::move(account));
  for (const KeyDigest& digest : digests) {
    this->by_key.emplace(digest, index);
  }
  return true;
}

const ClientAccount* AccountTable::Find(std::string_view key) const {
  const auto found = this->by_key.find(DigestOf(key));
  return found == this->by_key.end() ? nullptr : &this->accounts[found->second];
}

}  // namespace acacia
