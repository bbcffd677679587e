#include "src/configuration.h"

#include <algorithm>

namespace acacia {
namespace {

Service BuildService(const schema::ServiceT& from) {
  Service service;
  service.name = ServiceName(from.name);
  service.discovery = from.discovery;
  service.policy.slots_per_backend_server = from.slots_per_backend_server;
  service.policy.max_connections_per_backend_server =
      from.max_connections_per_backend_server;
  service.policy.floor_percent = from.floor_percent;
  service.policy.long_slots_percent = from.long_slots_percent;
  service.policy.queue_length = from.queue_length;
  service.policy.retry_budget_percent = from.retry_budget_percent;
  service.policy.progress_timeout =
      std::chrono::milliseconds(from.progress_timeout_ms);
  for (const auto& backend : from.backend_servers) {
    const std::uint32_t slots =
        backend->slots != 0 ? backend->slots : from.slots_per_backend_server;
    service.backend_servers.push_back({BackendId(backend->address),
                                       FailureDomain(backend->failure_domain),
                                       slots});
  }
  return service;
}

Route BuildRoute(const schema::RouteT& from) {
  Route route;
  route.name = from.name;
  route.host = from.host;
  route.path_prefix = from.path_prefix;
  route.methods = from.methods;
  route.service = ServiceName(from.service);
  route.work_class = static_cast<WorkClass>(from.work_class);
  route.idempotency = static_cast<Idempotency>(from.idempotency);
  route.deadline = std::chrono::milliseconds(from.deadline_ms);
  route.max_body_bytes = from.max_body_bytes;
  route.claim_keys = from.claim_keys;
  return route;
}

DrainRule BuildDrainRule(const schema::DrainRuleT& from) {
  DrainRule rule;
  rule.name = from.name;
  rule.service = ServiceName(from.service);
  rule.failure_domain = FailureDomain(from.failure_domain);
  for (const std::string& address : from.addresses) {
    rule.backend_servers.emplace_back(address);
  }
  return rule;
}

StopPlan BuildStopPlan(const schema::StopPlanT& from) {
  StopPlan plan;
  plan.name = from.name;
  plan.failure_domain = FailureDomain(from.failure_domain);
  plan.max_stopping_per_failure_domain = from.max_stopping_per_failure_domain;
  plan.max_stopping_percent = from.max_stopping_percent;
  plan.finish_within = std::chrono::milliseconds(from.finish_within_ms);
  for (const std::string& instance : from.instances) {
    plan.instances.emplace_back(instance);
  }
  return plan;
}

}  // namespace

Configuration BuildConfiguration(const schema::FileSetT& file_set,
                                 Generation generation) {
  Configuration configuration;
  configuration.generation = generation;
  for (const auto& service : file_set.services) {
    configuration.services.emplace(ServiceName(service->name),
                                   BuildService(*service));
  }
  for (const auto& route : file_set.routes) {
    configuration.routes.push_back(BuildRoute(*route));
  }
  for (const auto& account : file_set.accounts) {
    configuration.accounts[AccountId(account->name)] = {
        account->requests_per_second, account->concurrent_requests};
  }
  for (const auto& rule : file_set.drain_rules) {
    configuration.drain_rules.push_back(BuildDrainRule(*rule));
  }
  for (const auto& plan : file_set.stop_plans) {
    configuration.stop_plans.push_back(BuildStopPlan(*plan));
  }
  return configuration;
}

bool IsDrained(const Configuration& configuration,
               const ServiceName& service,
               const BackendServer& backend) {
  return std::any_of(
      configuration.drain_rules.begin(), configuration.drain_rules.end(),
      [&](const DrainRule& rule) {
        if (rule.service != service) {
          return false;
        }
        const auto& drained_ids = rule.backend_servers;
        const bool by_address =
            std::find(drained_ids.begin(), drained_ids.end(), backend.id) !=
            drained_ids.end();
        const bool by_domain = !rule.failure_domain.IsEmpty() &&
                               rule.failure_domain == backend.failure_domain;
        return by_address || by_domain;
      });
}

}  // namespace acacia
