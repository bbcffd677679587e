#include "src/entry_metrics.h"

namespace acacia {
namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

prometheus::Gauge* AddGauge(prometheus::Registry& registry,
                            const std::string& name,
                            const std::string& help) {
  return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

prometheus::Counter* AddCounter(prometheus::Registry& registry,
                                const std::string& name,
                                const std::string& help,
                                const prometheus::Labels& labels = {}) {
  return &prometheus::BuildCounter()
              .Name(name)
              .Help(help)
              .Register(registry)
              .Add(labels);
}

}  // namespace

std::string_view AttemptResultName(AttemptResult result) {
  switch (result) {
    case AttemptResult::kSuccess:
      return "success";
    case AttemptResult::kServerError:
      return "server_error";
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kTimedOut:
      return "timed_out";
    case AttemptResult::kTruncated:
      return "truncated";
    case AttemptResult::kMismatched:
      return "mismatched";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view HedgeEventName(HedgeEvent event) {
  switch (event) {
    case HedgeEvent::kSent:
      return "sent";
    case HedgeEvent::kWon:
      return "won";
    case HedgeEvent::kWasted:
      return "wasted";
    case HedgeEvent::kRefusedByLimit:
      return "refused_by_limit";
  }
  return "unknown";
}

EntryMetrics::EntryMetrics()
    : registry(std::make_shared<prometheus::Registry>()) {
  prometheus::Registry& target = *this->registry;
  this->caller_connections = AddGauge(target, "acacia_caller_connections",
                                      "Open connections from callers.");
  this->backend_connections = AddGauge(target, "acacia_backend_connections",
                                       "Open connections to backend servers.");
  this->in_flight =
      AddGauge(target, "acacia_in_flight", "Requests admitted, not finished.");
  this->generation = AddGauge(target, "acacia_configuration_generation",
                              "Generation of the configuration in force.");
  this->agent_connected = AddGauge(target, "acacia_agent_connected",
                                   "1 while the agent's stream is up.");
  this->stopping = AddGauge(target, "acacia_stopping", "1 while stopping.");
  this->quarantined_requests =
      AddGauge(target, "acacia_quarantined_requests",
               "Requests refused because they crash backend servers.");
  this->buffered_bytes =
      AddGauge(target, "acacia_buffered_bytes",
               "Memory held by the bodies of requests and answers.");
  this->limited_accounts =
      AddGauge(target, "acacia_accounts_limited",
               "Client accounts of which part is refused at this entry.");
  this->quota_refusals =
      AddGauge(target, "acacia_quota_refusals",
               "Requests refused because their account is over its limit.");
  this->quota_fractions =
      AddGauge(target, "acacia_quota_fractions_received",
               "Fractions of accounts received from their keepers.");
  this->refused_connections =
      AddCounter(target, "acacia_refused_connections_total",
                 "Caller connections closed at once: too many open.");
  const std::string opened = "acacia_backend_connections_opened_total";
  const std::string opened_help =
      "Connections opened to backend servers, by reason.";
  this->connections_without_idle =
      AddCounter(target, opened, opened_help, {{"reason", "none_idle"}});
  this->connections_for_repeats =
      AddCounter(target, opened, opened_help, {{"reason", "repeat"}});
  this->unread_answers =
      AddCounter(target, "acacia_unread_answers_total",
                 "Answers ended because their callers did not read them.");
  this->answers = &prometheus::BuildCounter()
                       .Name("acacia_answers_total")
                       .Help("Answers to callers, by service and kind.")
                       .Register(target);
  this->attempt_results =
      &prometheus::BuildCounter()
           .Name("acacia_attempts_total")
           .Help("Attempts at backend servers, by service and result.")
           .Register(target);
  this->hedge_events =
      &prometheus::BuildCounter()
           .Name("acacia_hedges_total")
           .Help("Second attempts for slow answers, by service and event.")
           .Register(target);
  this->latencies = &prometheus::BuildHistogram()
                         .Name("acacia_answer_head_seconds")
                         .Help("Time until an answer's head was relayed.")
                         .Register(target);
}

ServiceMetrics& EntryMetrics::ForService(const ServiceName& service) {
  const std::lock_guard lock(this->mutex);
  auto& entry = this->services[service];
  if (!entry) {
    entry = this->Create(service);
  }
  return *entry;
}

std::unique_ptr<ServiceMetrics> EntryMetrics::Create(
    const ServiceName& service) {
  auto metrics = std::make_unique<ServiceMetrics>();
  const std::string& name = service.Value();
  const auto answer = [&](std::string_view kind) {
    return &this->answers->Add(
        {{"service", name}, {"kind", std::string(kind)}});
  };
  metrics->relayed = answer("relayed");
  metrics->aborted = answer("aborted");
  for (int i = 0; i < kErrorKindCount; ++i) {
    metrics->errors[i] = answer(AnswerFor(static_cast<ErrorKind>(i)).name);
  }
  for (int i = 0; i < kAttemptResultCount; ++i) {
    const auto result = AttemptResultName(static_cast<AttemptResult>(i));
    metrics->attempts[i] = &this->attempt_results->Add(
        {{"service", name}, {"result", std::string(result)}});
  }
  for (int i = 0; i < kHedgeEventCount; ++i) {
    const auto event = HedgeEventName(static_cast<HedgeEvent>(i));
    metrics->hedges[i] = &this->hedge_events->Add(
        {{"service", name}, {"event", std::string(event)}});
  }
  metrics->latency =
      &this->latencies->Add({{"service", name}}, kLatencySeconds);
  return metrics;
}

}  // namespace acacia
