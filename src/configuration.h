// The accepted configuration as plain data, converted from an operators' file
// set that has passed validation. It is immutable once built; a newer
// configuration replaces it as a whole, between two requests.
#ifndef SRC_CONFIGURATION_H_
#define SRC_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/account_table.h"
#include "src/clock.h"
#include "src/generated/file_set_generated.h"
#include "src/ids.h"

namespace acacia {

enum class WorkClass : std::uint8_t { kShort, kLong };
inline constexpr int kWorkClassCount = 2;

enum class Idempotency : std::uint8_t { kByMethod, kAlways, kNever };

struct BackendServer {
  BackendId id;
  FailureDomain failure_domain;
  std::uint32_t slots = 1;
  // Listening address, "ip:port"; if empty, the id is the address.
  std::string address{};
  // The instance name that it expects in requests; empty: it does not check.
  std::string expected_instance{};
  bool operator==(const BackendServer&) const = default;
};

// Limits the extra attempts of the whole fleet at a service: in any
// `window`, at most `ratio` times the service's requests plus `extra`.
struct RetryWindow {
  double ratio = 0;
  double extra = 0;
  Duration window{};
};

struct ServicePolicy {
  std::uint32_t slots_per_backend_server = 1;
  std::uint32_t max_connections_per_backend_server = 300;
  // Share of all slots that must stay in service, whatever is ejected.
  std::uint32_t floor_percent = 50;
  std::uint32_t long_slots_percent = 60;
  std::uint32_t queue_length = 200;
  std::uint32_t retry_budget_percent = 10;
  // Replaces retry_budget_percent when set.
  std::optional<RetryWindow> retry_window;
  // The most hedges in per cent of the service's requests, under HedgePolicy;
  // 0: attempts are hedged when they are overdue, within the retry budget.
  double hedge_percent = 0;
  // Requests that do not fit wait in the entry in the order of their ranks,
  // where these differ, instead of in the queues of backend servers.
  bool order_by_rank = false;
  Duration progress_timeout = std::chrono::seconds(5);
};

struct Service {
  ServiceName name;
  // Fixed list of backend servers; empty if the platform's instance list is
  // used.
  std::vector<BackendServer> backend_servers;
  // Service name in the platform's instance list; empty for a fixed list.
  std::string discovery;
  ServicePolicy policy;
};

// One of several services among which a route splits its requests.
struct WeightedService {
  ServiceName service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<std::string> methods;
  ServiceName service;
  // If not empty, replaces `service`: requests are split by weight.
  std::vector<WeightedService> split;
  WorkClass work_class = WorkClass::kShort;
  Idempotency idempotency = Idempotency::kByMethod;
  Duration deadline = std::chrono::seconds(5);
  std::uint64_t max_body_bytes = 0;
  bool claim_keys = false;
  // How many backend servers one request may be sent to; 0: no limit.
  std::uint32_t max_attempts = 0;
  // Latency up to which an answer is most useful; zero: not specified.
  Duration target_latency{};
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  // Takes requests without a key of a client account.
  bool anonymous = false;
};

struct AccountLimit {
  // 0: unlimited.
  std::uint32_t requests_per_second = 0;
  std::uint32_t concurrent_requests = 0;
};

struct DrainRule {
  std::string name;
  ServiceName service;
  std::vector<BackendId> backend_servers;
  FailureDomain failure_domain;
};

struct StopPlan {
  std::string name;
  std::vector<InstanceId> instances;
  FailureDomain failure_domain;
  std::uint32_t max_stopping_per_failure_domain = 1;
  std::uint32_t max_stopping_percent = 10;
  Duration finish_within{};
};

struct Configuration {
  Generation generation;
  std::map<ServiceName, Service> services;
  std::vector<Route> routes;
  std::unordered_map<AccountId, AccountLimit> accounts;
  // The client accounts whose keys callers must present; null if callers need
  // no key.
  std::shared_ptr<const AccountTable> keyed_accounts{};
  std::vector<DrainRule> drain_rules;
  std::vector<StopPlan> stop_plans;
};

// Converts a file set, which must have passed validation (see file_set.h).
Configuration BuildConfiguration(const schema::FileSetT& file_set,
                                 Generation generation);

// Returns whether a drain rule covers the backend server, by address or by
// failure domain.
bool IsDrained(const Configuration& configuration,
               const ServiceName& service,
               const BackendServer& backend);

}  // namespace acacia

#endif  // SRC_CONFIGURATION_H_
