// The platform's interface for the state machines: a transactional table of
// rows changed by compare-and-set, a store of immutable objects named by their
// hash, and a list of instances that may be out of date. State machines return
// these actions to ask for operations and are given the results; adapters
// (platform_client.h) and test fakes carry them out. docs/PROTOCOLS.md
// specifies the HTTP form.
#ifndef SRC_PLATFORM_H_
#define SRC_PLATFORM_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/ids.h"

namespace acacia {

// The longest object that is written or read. A configuration is written as
// chunks (config_chunks.h), of which the one with all services is the largest.
inline constexpr std::size_t kMaxObjectBytes = 8 * 1024 * 1024;

enum class PlatformError {
  // The operation certainly had no effect.
  kUnavailable,
  // The row's version was not the expected one.
  kConflict,
  // The object does not exist. (A row that does not exist reads as version 0.)
  kNotFound,
  // No reply: a write may or may not have taken effect.
  kUnknown,
};

struct Row {
  std::string value;
  RowVersion version;
};

// A listed instance of a service; entries are listed under kEntryService.
struct ListedInstance {
  std::string address;
  FailureDomain failure_domain;
  std::uint32_t slots = 0;
  bool leaving = false;
  bool operator==(const ListedInstance&) const = default;
};

inline constexpr char kEntryService[] = "acacia-entry";

using RowResult = tl::expected<Row, PlatformError>;
// The row's new version.
using WriteResult = tl::expected<RowVersion, PlatformError>;
using ObjectResult = tl::expected<std::string, PlatformError>;
using ObjectWriteResult = tl::expected<void, PlatformError>;
using InstanceListResult =
    tl::expected<std::vector<ListedInstance>, PlatformError>;

struct ReadRow {
  OperationId operation;
  std::string key;
};
struct WriteRow {
  OperationId operation;
  std::string key;
  RowVersion expected;
  std::string value;
};
struct ReadObject {
  OperationId operation;
  ObjectHash hash;
};
struct WriteObject {
  OperationId operation;
  ObjectHash hash;
  std::string body;
};
struct ReadInstanceList {
  OperationId operation;
  std::string service;
};

}  // namespace acacia

#endif  // SRC_PLATFORM_H_
