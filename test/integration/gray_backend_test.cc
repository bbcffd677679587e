// Gray failures: backend servers that pass health checks but serve requests
// wrongly, and faulty paths to them.
#include "test/process_fleet.h"

namespace acacia {
namespace {

TEST_CASE("Truncated and wrong answers are never passed off as good") {
  Fleet fleet({});
  fleet.Serve();
  const std::uint64_t before = fleet.Total(0, "runs") + fleet.Total(1, "runs");
  const auto load = fleet.Load(5, 150);
  const auto results = fleet.Send(load, [&] {
    SetFaults(fleet.backends[0], R"({"truncate_permille": 500})");
    SetFaults(fleet.backends[1], R"({"wrong_permille": 500})");
  });
  fleet.CheckPromisesOf(results);
  CHECK(fleet.Total(0, "runs") + fleet.Total(1, "runs") > before);
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) >
        results.size() * 8 / 10);
}

TEST_CASE(
    "Connections that go silent at peak load cause no duplicate booking") {
  Fleet fleet({});
  fleet.Serve();
  auto load = fleet.Load(6, 100);
  load.rate.emplace_back(std::make_unique<schema::RatePointT>());
  load.rate.back()->at_ms = 1000;
  load.rate.back()->requests_per_second = 500;
  const auto results = fleet.Send(load, [&] {
    for (const std::string& faults : fleet.backend_faults) {
      SetFaults(faults, R"({"silence_existing": true})");
    }
  });
  fleet.CheckPromisesOf(results);
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) >
        results.size() * 8 / 10);
}

TEST_CASE(
    "Other backend servers keep serving beside a one-way cut and a gray "
    "failure") {
  Fleet fleet({});
  fleet.Serve();
  const auto load = fleet.Load(8, 100);
  const auto results = fleet.Send(load, [&] {
    SetFaults(fleet.backend_faults[0], R"({"cut_to_caller": true})");
    SetFaults(fleet.backends[1],
              R"({"slow_factor": 50, "error_permille": 500})");
  });
  fleet.CheckPromisesOf(results);
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) >
        results.size() * 8 / 10);
}

TEST_CASE("A flapping backend server with faults on some connections only") {
  Fleet fleet({});
  fleet.Serve();
  const auto load = fleet.Load(6, 150);
  const auto results = fleet.Send(load, [&] {
    SetFaults(fleet.backends[0], R"({"flap_period_ms": 700,
        "reset_permille": 400, "connections_permille": 500})");
  });
  fleet.CheckPromisesOf(results);
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) >
        results.size() * 8 / 10);
}

}  // namespace
}  // namespace acacia
