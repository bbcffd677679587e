// The agent's metrics: platform requests, peer messages, the entry link, and
// the processor time and memory that the agent uses.
#ifndef SRC_AGENT_METRICS_H_
#define SRC_AGENT_METRICS_H_

#include <prometheus/registry.h>

#include <map>
#include <memory>

#include "src/ids.h"
#include "src/peer_transport.h"
#include "src/platform_client.h"

namespace acacia {

// Gauge values that are sampled when metrics are requested.
struct AgentGauges {
  Generation generation;
  bool ready = false;
  bool entry_connected = false;
  std::uint64_t malformed_entry_frames = 0;
};

// Not thread-safe; use from one strand.
class AgentMetrics {
 public:
  AgentMetrics();

  void CountPlatformRequest(const PlatformRequestReport& report);
  // Updates the gauges; call before the registry is read.
  void Refresh(const AgentGauges& gauges, const PeerTransportCounters& peers);
  const prometheus::Registry& Registry() const { return this->registry; }

 private:
  prometheus::Gauge& AddGauge(const std::string& name, const std::string& help);

  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& platform_requests;
  prometheus::Family<prometheus::Histogram>& platform_request_seconds;
  prometheus::Gauge& platform_available;
  prometheus::Gauge& generation;
  prometheus::Gauge& ready;
  prometheus::Gauge& entry_connected;
  prometheus::Gauge& malformed_entry_frames;
  prometheus::Gauge& cpu_seconds;
  prometheus::Gauge& max_resident_bytes;
  prometheus::Family<prometheus::Gauge>& peer_message_totals;
};

}  // namespace acacia

#endif  // SRC_AGENT_METRICS_H_
