// Entries and agents that are killed under load and replaced.
#include "test/process_fleet.h"

namespace acacia {
namespace {

TEST_CASE("An entry killed under load loses and doubles no work") {
  Fleet fleet({});
  fleet.Serve();
  const auto load = fleet.Load(6, 150);
  const auto results = fleet.Send(load, [&] {
    fleet.processes.erase("entry-1");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    fleet.StartEntry(1);
  });
  fleet.CheckPromisesOf(results);
  fleet.AwaitReady(1);
  // Requests in flight at the killed entry may get no answer. The other entries
  // serve the rest.
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) >
        results.size() * 9 / 10);
}

TEST_CASE("An entry goes on when its agent is killed, and gets a new one") {
  Fleet fleet({});
  fleet.Serve();
  const auto load = fleet.Load(5, 150);
  const auto results = fleet.Send(load, [&] {
    fleet.processes.erase("agent-0");
    fleet.processes.erase("agent-1");
    fleet.processes.erase("agent-2");
  });
  fleet.CheckPromisesOf(results);
  CHECK(CountWithOutcome(results, CallOutcome::kAnswered) == results.size());
  fleet.StartAgent(0);
  Await("the new agent to know the generation",
        [&] { return fleet.Generation(0) == 1; });
}

}  // namespace
}  // namespace acacia
