// Leaving backend servers and planned stops of entries.
#include "test/process_fleet.h"

namespace acacia {
namespace {

TEST_CASE("A leaving backend server gets no new work after a few seconds") {
  Fleet fleet({});
  fleet.Serve();
  const auto load = fleet.Load(12, 150);
  std::uint64_t settled = 0;
  const auto results = fleet.Send(load, [&] {
    // The backend server itself accepts work for another hour, so it is the
    // fleet that must send none.
    const std::string state =
        R"({"leaving": true, "refuse_after_ms": 3600000})";
    REQUIRE(SendHttpRequest(fleet.backends[0], "PUT", "/standin/state", state)
                .status == 200);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    settled = fleet.Total(0, "arrived_leaving");
  });
  fleet.CheckPromisesOf(results);
  CHECK(fleet.Total(0, "arrived_leaving") == settled);
  INFO(DescribeUnanswered(results));
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) == results.size());
}

TEST_CASE("SIGTERM cuts off no request in flight, takes included") {
  FleetOptions options;
  options.long_service_time_ms = 2500;
  // About 11 takes run at once. Slots are plentiful, so an unanswered take was
  // cut off.
  options.uniikki = 6;
  Fleet fleet(options);
  fleet.Serve();
  auto load = fleet.Load(6, 60);
  load.classes.back()->share = 5;
  load.classes.back()->body_bytes_per_second = 400000;
  const auto results = fleet.Send(load, [&] {
    fleet.processes.at("entry-0")->Signal(SIGTERM);
    CHECK(fleet.processes.at("entry-0")->Wait() == 0);
  });
  fleet.CheckPromisesOf(results);
  INFO(DescribeUnanswered(results));
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) == results.size());
}

TEST_CASE("A stop plan stops its instances and cuts off nothing") {
  Fleet fleet({});
  fleet.Serve();
  std::string with_plan = kFileSet;
  with_plan.insert(with_plan.rfind('}'),
                   R"(, "stop_plans": [{"name": "replace-1",
      "instances": ["entry-1"], "max_stopping_percent": 50}])");
  const auto load = fleet.Load(8, 80);
  const auto results = fleet.Send(load, [&] {
    REQUIRE(fleet.Apply(with_plan) == 0);
    CHECK(fleet.processes.at("entry-1")->Wait() == 0);
  });
  fleet.CheckPromisesOf(results);
  INFO(DescribeUnanswered(results));
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) == results.size());
}

}  // namespace
}  // namespace acacia
