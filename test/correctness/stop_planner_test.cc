#include "src/stop_planner.h"

#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

std::unique_ptr<schema::StopPlanT> MakePlan(const std::string& name,
                                            const std::string& domain,
                                            std::uint32_t per_domain) {
  auto plan = std::make_unique<schema::StopPlanT>();
  plan->name = name;
  plan->failure_domain = domain;
  plan->max_stopping_per_failure_domain = per_domain;
  plan->max_stopping_percent = 20;
  return plan;
}

struct Rollout {
  std::set<std::string> stopped;
  std::size_t max_at_once = 0;
};

// Runs the fleet and replaces each instance 5 s after it was told to stop.
Rollout Run(
    FakeFleet& fleet,
    Duration duration,
    const std::function<void(FakeFleet&, int)>& inject_fault = nullptr) {
  Rollout rollout;
  std::map<std::string, int> stopping;
  const auto total = static_cast<int>(duration / seconds(1));
  for (int second = 0; second < total; ++second) {
    fleet.Run(seconds(1));
    for (const auto& [name, node] : fleet.nodes) {
      if (node.fleet && node.fleet->stop) {
        stopping.try_emplace(name, second);
        rollout.stopped.insert(name);
      }
    }
    rollout.max_at_once = std::max(rollout.max_at_once, stopping.size());
    for (auto stop = stopping.begin(); stop != stopping.end();) {
      if (second - stop->second < 5) {
        ++stop;
        continue;
      }
      fleet.Start(stop->first, fleet.domains.at(stop->first));
      stop = stopping.erase(stop);
    }
    if (inject_fault) {
      inject_fault(fleet, second);
    }
  }
  return rollout;
}

void StartFleet(FakeFleet& fleet,
                int nodes,
                std::vector<std::unique_ptr<schema::StopPlanT>> plans) {
  auto set = MakeFileSet(6);
  set.stop_plans = std::move(plans);
  Apply(fleet.platform, {set, "w1", "operator", std::nullopt});
  fleet.StartMany(nodes);
}

std::set<std::string> InDomain(const FakeFleet& fleet,
                               const std::string& name) {
  std::set<std::string> instances;
  for (const auto& [instance, domain] : fleet.domains) {
    if (domain == name) {
      instances.insert(instance);
    }
  }
  return instances;
}

TEST_CASE("a plan stops each instance of a domain once, one at a time") {
  FakeFleet fleet(1);
  std::vector<std::unique_ptr<schema::StopPlanT>> plans;
  plans.push_back(MakePlan("p", "a", 1));
  StartFleet(fleet, 12, std::move(plans));
  const auto rollout = Run(fleet, minutes(3));
  CHECK(rollout.stopped == InDomain(fleet, "a"));
  CHECK(rollout.max_at_once == 1);
  CHECK(Run(fleet, minutes(1)).stopped.empty());
}

TEST_CASE("two plans together stay within the limits of one") {
  FakeFleet fleet(2);
  std::vector<std::unique_ptr<schema::StopPlanT>> plans;
  plans.push_back(MakePlan("p", "a", 1));
  plans.push_back(MakePlan("q", "a", 1));
  StartFleet(fleet, 12, std::move(plans));
  const auto rollout = Run(fleet, minutes(3));
  CHECK(rollout.stopped.size() == 4);
  CHECK(rollout.max_at_once == 1);
}

TEST_CASE("a plan is taken over when its holder dies or is paused") {
  FakeFleet fleet(3);
  std::vector<std::unique_ptr<schema::StopPlanT>> plans;
  plans.push_back(MakePlan("p", "a", 1));
  StartFleet(fleet, 12, std::move(plans));
  std::string paused;
  const auto rollout = Run(fleet, minutes(5), [&](FakeFleet& all, int second) {
    for (auto& [name, node] : all.nodes) {
      const auto lines = node.core->Status(all.clock.Now());
      const bool holds =
          std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
            return line.find("holds the stop plan lease") != std::string::npos;
          });
      if (paused.empty() && holds && second > 30) {
        paused = name;
        node.paused = true;
      }
    }
    if (second == 150 && !paused.empty()) {
      all.nodes[paused].paused = false;
    }
  });
  CHECK_FALSE(paused.empty());
  CHECK(rollout.max_at_once == 1);
  CHECK(rollout.stopped == InDomain(fleet, "a"));
}

TEST_CASE("an instance that is down counts against the limits") {
  FakeFleet fleet(4);
  std::vector<std::unique_ptr<schema::StopPlanT>> plans;
  plans.push_back(MakePlan("p", "a", 1));
  StartFleet(fleet, 12, std::move(plans));
  fleet.Run(seconds(10));
  fleet.Kill("n3");
  CHECK(Run(fleet, minutes(2)).stopped.empty());
  fleet.Start("n3", "a");
  CHECK_FALSE(Run(fleet, minutes(1)).stopped.empty());
}

}  // namespace
}  // namespace acacia
