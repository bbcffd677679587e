// The platform's store is down, slow, or loses replies.
#include "test/process_fleet.h"

namespace acacia {
namespace {

TEST_CASE(
    "A replaced instance gets the configuration from a peer while the "
    "store is down") {
  Fleet fleet({});
  fleet.Serve();
  SetFaults(fleet.platform_faults,
            R"({"refuse_new": true, "reset_existing": true})");
  fleet.processes.erase("entry-2");
  fleet.processes.erase("agent-2");
  fleet.StartAgent(2);
  fleet.StartEntry(2);
  fleet.AwaitReady(2);
  CHECK(fleet.Generation(2) == 1);
  auto load = fleet.Load(2, 100);
  load.entries = {fleet.callers[2]};
  load.lookup = false;
  const auto results = fleet.Send(load);
  fleet.CheckPromisesOf(results);
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) > 0);
}

TEST_CASE(
    "Racing operators and lost replies: each generation once, in force "
    "everywhere") {
  Fleet fleet({});
  fleet.Serve();
  SetFaults(fleet.platform, R"({"lose_replies_permille": 300})");
  std::vector<std::future<int>> operators;
  for (int i = 0; i < 4; ++i) {
    operators.push_back(std::async(std::launch::async, [&, i] {
      int code = 3;
      for (int tries = 0; tries < 20 && (code == 3 || code == 4); ++tries) {
        code = fleet.Apply(kFileSet, "operator-" + std::to_string(i));
      }
      return code;
    }));
  }
  std::uint64_t accepted = 0;
  for (auto& each : operators) {
    const int code = each.get();
    CHECK((code == 0 || code == 1));
    accepted += code == 0 ? 1 : 0;
  }
  SetFaults(fleet.platform, "{}");
  CHECK(accepted >= 1);
  for (int i = 0; i < 3; ++i) {
    Await("the last generation everywhere",
          [&] { return fleet.Generation(i) == 1 + accepted; });
  }
}

TEST_CASE("The generation never goes back, whatever is replaced") {
  Fleet fleet({});
  fleet.Serve();
  REQUIRE(fleet.Apply(kFileSet) == 0);
  for (int i = 0; i < 3; ++i) {
    Await("generation 2", [&] { return fleet.Generation(i) == 2; });
  }
  // The store answers slowly, and agent 1 receives nothing from its peers.
  SetFaults(fleet.platform_faults, R"({"delay_ms": 400})");
  SetFaults(fleet.peer_faults[1], R"({"cut_to_target": true})");
  fleet.processes.erase("agent-0");
  fleet.StartAgent(0);
  std::uint64_t least = 2;
  Await("the replaced agent to catch up", [&] {
    least = std::min({least, fleet.Generation(1), fleet.Generation(2)});
    return fleet.Generation(0) == 2;
  });
  CHECK(least == 2);
}

}  // namespace
}  // namespace acacia
