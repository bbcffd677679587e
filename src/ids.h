// Identifier types used throughout the system.
#ifndef SRC_IDS_H_
#define SRC_IDS_H_

#include <array>
#include <cinttypes>
#include <cstdint>
#include <cstdio>

#include "src/strong_type.h"

namespace acacia {

// An entry instance: a machine slot that runs an agent and an entry.
using InstanceId = StrongString<struct InstanceTag>;
using FailureDomain = StrongString<struct FailureDomainTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
// A backend server is identified by its address, "ip:port".
using BackendId = StrongString<struct BackendTag>;
using AccountId = StrongString<struct AccountTag>;
// "ip:port" of an acaciaswitch process.
using PeerAddress = StrongString<struct PeerAddressTag>;
// Lower-case hexadecimal SHA-256 of an object's bytes.
using ObjectHash = StrongString<struct ObjectHashTag>;

// Identifies a caller's request within one entry process.
using RequestId = StrongNumber<struct RequestTag, std::uint64_t>;
// Identifies a connection to a backend server within one entry process.
using ConnectionId = StrongNumber<struct ConnectionTag, std::uint64_t>;
// Numbers the attempts of one request, from 1.
using AttemptId = StrongNumber<struct AttemptTag, std::uint32_t>;
// Counts accepted configurations; 0 means that there is none yet.
using Generation = StrongNumber<struct GenerationTag, std::uint64_t>;
// Distinguishes an instance from its predecessor at the same address.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
// Version of a table row; 0 means that the row does not exist.
using RowVersion = StrongNumber<struct RowVersionTag, std::uint64_t>;
// Matches the completion of a control action to the action.
using OperationId = StrongNumber<struct OperationTag, std::uint64_t>;
// Hash of a request's content; equal for every request with the same content. 0
// if unknown.
using RequestFingerprint =
    StrongNumber<struct RequestFingerprintTag, std::uint64_t>;
// Counts how often a store was restored from a copy, after which it gives out
// the same version numbers again. 0 for a store without eras.
using StoreEra = StrongNumber<struct StoreEraTag, std::uint32_t>;

// A row version consists of the store's era and its own number, so that every
// version of a newer era is newer.
inline constexpr int kRowVersionNumberBits = 40;
inline constexpr std::uint64_t kMaxRowVersionNumber =
    (std::uint64_t{1} << kRowVersionNumberBits) - 1;
inline constexpr StoreEra kMaxStoreEra{(1U << (64 - kRowVersionNumberBits)) -
                                       1};

constexpr RowVersion MakeRowVersion(StoreEra era, std::uint64_t number) {
  return RowVersion(
      (static_cast<std::uint64_t>(era.Value()) << kRowVersionNumberBits) |
      number);
}
constexpr StoreEra EraOf(RowVersion version) {
  return StoreEra(
      static_cast<std::uint32_t>(version.Value() >> kRowVersionNumberBits));
}
constexpr std::uint64_t NumberOf(RowVersion version) {
  return version.Value() & kMaxRowVersionNumber;
}

// Writes 16 hexadecimal digits.
inline std::ostream& operator<<(std::ostream& out,
                                const RequestFingerprint& fingerprint) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, fingerprint.Value());
  return out << text.data();
}

// Writes "number", or "era:number" for a store with eras.
inline std::ostream& operator<<(std::ostream& out, const RowVersion& version) {
  if (EraOf(version) > StoreEra()) {
    out << EraOf(version) << ":";
  }
  return out << NumberOf(version);
}

}  // namespace acacia

#endif  // SRC_IDS_H_
