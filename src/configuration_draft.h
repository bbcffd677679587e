// A platform's configuration as far as it could be read, for checks before it
// is sent. Unlike a Configuration it keeps what an entry would ignore, and
// reading it does not stop at the first error.
#ifndef SRC_CONFIGURATION_DRAFT_H_
#define SRC_CONFIGURATION_DRAFT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"

namespace acacia {

// A configuration with an error must not be sent: entries refuse it, or it is
// unclear what it means.
enum class FindingSeverity { kError, kWarning };

struct Finding {
  FindingSeverity severity = FindingSeverity::kError;
  // For example "route book"; empty for the configuration as a whole.
  std::string resource;
  std::string message;
  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

struct DraftTarget {
  ServiceName service;
  double weight = 1;
};

struct DraftRoute {
  std::string resource;
  std::string host;
  // Nullopt if the route cannot be read.
  std::optional<std::string> path_prefix;
  // Empty if the route only has a split.
  std::optional<ServiceName> service;
  std::vector<DraftTarget> split;
  bool anonymous = false;
  // The limits below are nullopt where the configuration has none; the default
  // of Route applies then.
  std::optional<Duration> deadline;
  std::optional<Duration> target_latency;
  std::optional<std::uint64_t> max_attempts;
};

struct DraftService {
  std::string resource;
  ServiceName name;
};

struct DraftAccount {
  std::string resource;
  std::size_t key_count = 0;
  std::optional<double> requests_per_second;
  std::optional<double> burst;
};

struct DraftLimits {
  std::string resource;
  std::optional<std::uint64_t> max_body_bytes;
  std::optional<Duration> header_timeout;
  std::optional<Duration> idle_timeout;
};

// All fields of a resource as text, as the platform names them, for
// comparisons.
struct DraftResource {
  std::map<std::string, std::string> fields;
  // Digests of the keys of an account. Keys stand in no field.
  std::set<std::string> key_digests;
  bool operator==(const DraftResource&) const = default;
};

struct ConfigurationDraft {
  // 0 if it could not be read.
  Generation generation;
  std::vector<DraftRoute> routes;
  std::vector<DraftService> services;
  std::vector<DraftAccount> accounts;
  std::vector<DraftLimits> limits;
  // By kind and name, for example "route book".
  std::map<std::string, DraftResource> resources;
  // What was found while reading.
  Findings findings;
};

using DraftReader = std::function<ConfigurationDraft(const std::string& text)>;

}  // namespace acacia

#endif  // SRC_CONFIGURATION_DRAFT_H_
