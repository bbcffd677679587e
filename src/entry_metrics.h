// The Prometheus metrics of an entry. Their names are listed in
// docs/OPERATIONS.md.
#ifndef SRC_ENTRY_METRICS_H_
#define SRC_ENTRY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "src/clock.h"
#include "src/dispatcher.h"
#include "src/error_kind.h"
#include "src/hedge_event.h"
#include "src/ids.h"

namespace acacia {

inline constexpr int kAttemptResultCount =
    static_cast<int>(AttemptResult::kCancelled) + 1;

// Returns the value of the metric label `result`. These names are stable.
std::string_view AttemptResultName(AttemptResult result);

// Returns the value of the metric label `event`. These names are stable.
std::string_view HedgeEventName(HedgeEvent event);

// The metrics of one service; valid for the lifetime of EntryMetrics.
struct ServiceMetrics {
  prometheus::Counter* relayed = nullptr;
  // Answers that ended early, after their head had been relayed.
  prometheus::Counter* aborted = nullptr;
  std::array<prometheus::Counter*, kErrorKindCount> errors{};
  std::array<prometheus::Counter*, kAttemptResultCount> attempts{};
  std::array<prometheus::Counter*, kHedgeEventCount> hedges{};
  // Time until the answer's head was relayed.
  prometheus::Histogram* latency = nullptr;
};

// Thread-safe.
class EntryMetrics {
 public:
  EntryMetrics();

  // Returns the service's metrics and creates them on first use. The service
  // name "" collects requests that were assigned to no service.
  ServiceMetrics& ForService(const ServiceName& service);

  const prometheus::Registry& Registry() const { return *this->registry; }
  // Lets other parts of the process register their own metrics.
  prometheus::Registry& Registry() { return *this->registry; }

  prometheus::Gauge* caller_connections = nullptr;
  prometheus::Gauge* backend_connections = nullptr;
  prometheus::Gauge* in_flight = nullptr;
  prometheus::Gauge* generation = nullptr;
  prometheus::Gauge* agent_connected = nullptr;
  prometheus::Gauge* stopping = nullptr;
  prometheus::Gauge* quarantined_requests = nullptr;
  prometheus::Gauge* buffered_bytes = nullptr;
  prometheus::Gauge* limited_accounts = nullptr;
  prometheus::Gauge* quota_refusals = nullptr;
  prometheus::Gauge* quota_fractions = nullptr;
  prometheus::Counter* refused_connections = nullptr;
  // Connections opened to backend servers: no idle one was there, or the idle
  // ones had carried the same request before.
  prometheus::Counter* connections_without_idle = nullptr;
  prometheus::Counter* connections_for_repeats = nullptr;
  // Answers that were ended because the caller did not read them.
  prometheus::Counter* unread_answers = nullptr;

 private:
  std::unique_ptr<ServiceMetrics> Create(const ServiceName& service);

  std::shared_ptr<prometheus::Registry> registry;
  prometheus::Family<prometheus::Counter>* answers = nullptr;
  prometheus::Family<prometheus::Counter>* attempt_results = nullptr;
  prometheus::Family<prometheus::Counter>* hedge_events = nullptr;
  prometheus::Family<prometheus::Histogram>* latencies = nullptr;
  std::mutex mutex;
  std::map<ServiceName, std::unique_ptr<ServiceMetrics>> services;
};

}  // namespace acacia

#endif  // SRC_ENTRY_METRICS_H_
