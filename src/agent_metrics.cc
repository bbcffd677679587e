#include "src/agent_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <sys/resource.h>

#include <string>

namespace acacia {
namespace {

const prometheus::Histogram::BucketBoundaries kRequestSecondsBuckets{
    0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10};

double ToSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) * 1e-6;
}

}  // namespace

AgentMetrics::AgentMetrics()
    : platform_requests(
          prometheus::BuildCounter()
              .Name("acacia_agent_platform_requests_total")
              .Help("Requests to the platform by operation; answered is "
                    "false when no answer or a server error came.")
              .Register(this->registry)),
      platform_request_seconds(
          prometheus::BuildHistogram()
              .Name("acacia_agent_platform_request_seconds")
              .Help("Time of requests to the platform.")
              .Register(this->registry)),
      platform_available(this->AddGauge("acacia_agent_platform_available",
                                        "1 when the platform answered the last "
                                        "request.")),
      generation(this->AddGauge("acacia_agent_generation",
                                "Generation of the configuration in force.")),
      ready(this->AddGauge("acacia_agent_ready",
                           "1 when the agent has a configuration.")),
      entry_connected(this->AddGauge("acacia_agent_entry_connected",
                                     "1 when an entry is connected.")),
      malformed_entry_frames(
          this->AddGauge("acacia_agent_entry_frames_malformed",
                         "Frames from the entry that were refused.")),
      cpu_seconds(this->AddGauge("acacia_agent_cpu_seconds",
                                 "Processor time used since start.")),
      max_resident_bytes(this->AddGauge("acacia_agent_max_resident_bytes",
                                        "Most memory used since start.")),
      peer_message_totals(
          prometheus::BuildGauge()
              .Name("acacia_agent_peer_messages")
              .Help("Messages and bytes between agents since start, by kind.")
              .Register(this->registry)) {}

prometheus::Gauge& AgentMetrics::AddGauge(const std::string& name,
                                          const std::string& help) {
  return prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(this->registry)
      .Add({});
}

void AgentMetrics::CountPlatformRequest(const PlatformRequestReport& report) {
  const std::string operation = NameOf(report.operation);
  this->platform_requests
      .Add({{"operation", operation},
            {"answered", report.answered ? "true" : "false"}})
      .Increment();
  this->platform_request_seconds
      .Add({{"operation", operation}}, kRequestSecondsBuckets)
      .Observe(std::chrono::duration<double>(report.elapsed).count());
  this->platform_available.Set(report.answered ? 1 : 0);
}

void AgentMetrics::Refresh(const AgentGauges& gauges,
                           const PeerTransportCounters& peers) {
  this->generation.Set(static_cast<double>(gauges.generation.Value()));
  this->ready.Set(gauges.ready ? 1 : 0);
  this->entry_connected.Set(gauges.entry_connected ? 1 : 0);
  this->malformed_entry_frames.Set(
      static_cast<double>(gauges.malformed_entry_frames));
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  this->cpu_seconds.Set(ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime));
  this->max_resident_bytes.Set(static_cast<double>(usage.ru_maxrss) * 1024);
  const std::map<std::string, std::uint64_t> totals{
      {"datagrams_sent", peers.datagrams_sent},
      {"datagrams_received", peers.datagrams_received},
      {"frames_sent", peers.frames_sent},
      {"frames_received", peers.frames_received},
      {"bytes_sent", peers.bytes_sent},
      {"bytes_received", peers.bytes_received},
      {"dropped", peers.dropped},
      {"malformed", peers.malformed}};
  for (const auto& [kind, total] : totals) {
    this->peer_message_totals.Add({{"kind", kind}})
        .Set(static_cast<double>(total));
  }
}

}  // namespace acacia
