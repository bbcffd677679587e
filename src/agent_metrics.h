// The agent's metrics: its platform connection, its peers, its entry, and what
// control costs in processor time.
#ifndef SRC_AGENT_METRICS_H_
#define SRC_AGENT_METRICS_H_

#include <prometheus/registry.h>

#include <map>
#include <memory>

#include "src/ids.h"
#include "src/peer_transport.h"
#include "src/platform_client.h"

namespace acacia {

// Values that are read when metrics are asked for.
struct AgentGauges {
  Generation generation;
  bool ready = false;
  bool entry_connected = false;
  std::uint64_t malformed_entry_frames = 0;
};

// Use from one strand.
class AgentMetrics {
 public:
  AgentMetrics();

  void CountPlatformRequest(const PlatformRequestReport& report);
  // Call before the registry is read.
  void Refresh(const AgentGauges& gauges, const PeerTransportCounters& peers);
  const prometheus::Registry& Registry() const { return this->registry; }

 private:
  prometheus::Gauge& AddGauge(const std::string& name, const std::string& help);

  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Histogram>& seconds;
  prometheus::Gauge& available;
  prometheus::Gauge& generation;
  prometheus::Gauge& ready;
  prometheus::Gauge& entry_connected;
  prometheus::Gauge& malformed_entry_frames;
  prometheus::Gauge& cpu_seconds;
  prometheus::Gauge& resident_bytes;
  prometheus::Family<prometheus::Gauge>& peer_totals;
};

}  // namespace acacia

#endif  // SRC_AGENT_METRICS_H_
