#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

using std::chrono::seconds;

std::size_t Discovered(const FakeNode& node) {
  return node.fleet && !node.fleet->services.empty()
             ? node.fleet->services[0]->discovered.size()
             : 0;
}

TEST_CASE("a replacement takes instance lists from a peer in an outage") {
  FakeFleet fleet(7);
  fleet.platform.lists["kehto"] = {{"10.0.0.1:80", FailureDomain("a"), 5},
                                   {"10.0.0.2:80", FailureDomain("b"), 5}};
  schema::FileSetT set = MakeFileSet(0);
  set.services[0]->discovery = "kehto";
  REQUIRE(std::holds_alternative<PublishAccepted>(
      Apply(fleet.platform, {set, "w1", "operator", std::nullopt})));
  fleet.StartMany(5);
  REQUIRE(fleet.RunUntil(seconds(20), [&] {
    return fleet.AllAt(Generation(1)) && Discovered(fleet.nodes["n0"]) == 2 &&
           Discovered(fleet.nodes["n3"]) == 2;
  }));
  fleet.platform.outage = true;
  const FakeNode& replaced = fleet.Start("n4");
  CHECK(fleet.RunUntil(seconds(30), [&] { return Discovered(replaced) == 2; }));
  // The platform's own list replaces the peer's copy.
  fleet.platform.outage = false;
  fleet.platform.lists["kehto"].pop_back();
  CHECK(fleet.RunUntil(seconds(30), [&] { return Discovered(replaced) == 1; }));
}

}  // namespace
}  // namespace acacia
