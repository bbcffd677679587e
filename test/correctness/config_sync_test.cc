#include "src/config_sync.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

using std::chrono::seconds;

void ApplyNext(FakeFleet& fleet, const std::string& id) {
  const auto outcome = Apply(
      fleet.platform, {MakeFileSet(6, 50, id), id, "operator", std::nullopt});
  REQUIRE(std::holds_alternative<PublishAccepted>(outcome));
}

TEST_CASE("an accepted configuration comes into force on 40 instances") {
  FakeFleet fleet(1);
  fleet.StartMany(40);
  ApplyNext(fleet, "w1");
  CHECK(
      fleet.RunUntil(seconds(15), [&] { return fleet.AllAt(Generation(1)); }));
  ApplyNext(fleet, "w2");
  CHECK(fleet.RunUntil(seconds(5), [&] { return fleet.AllAt(Generation(2)); }));
}

TEST_CASE("agents that waited for the first configuration get it in seconds") {
  FakeFleet fleet(8);
  fleet.StartMany(5);
  fleet.Run(seconds(60));
  ApplyNext(fleet, "w1");
  const auto all_ready = [&] {
    return fleet.AllAt(Generation(1)) &&
           std::all_of(
               fleet.nodes.begin(), fleet.nodes.end(),
               [](const auto& node) { return node.second.core->IsReady(); });
  };
  CHECK(fleet.RunUntil(seconds(5), all_ready));
}

TEST_CASE("a replacement gets the configuration from peers in an outage") {
  FakeFleet fleet(2);
  fleet.StartMany(5);
  ApplyNext(fleet, "w1");
  REQUIRE(
      fleet.RunUntil(seconds(15), [&] { return fleet.AllAt(Generation(1)); }));
  fleet.platform.outage = true;
  FakeNode& replaced = fleet.Start("n4");
  fleet.Run(seconds(20));
  CHECK(replaced.core->IsReady());
  CHECK(replaced.generations == std::vector{Generation(1)});
}

TEST_CASE("with neither platform nor peers an instance is not ready") {
  FakeFleet fleet(3);
  fleet.platform.outage = true;
  FakeNode& alone = fleet.Start("n9");
  fleet.Run(seconds(30));
  CHECK_FALSE(alone.core->IsReady());
  CHECK(alone.generations.empty());
  CHECK(alone.core->Status(fleet.clock.Now()).back().size() > 0);
}

TEST_CASE("corrupt objects are refused and fetched elsewhere") {
  FakeFleet fleet(4);
  ApplyNext(fleet, "w1");
  fleet.StartMany(4);
  REQUIRE(
      fleet.RunUntil(seconds(15), [&] { return fleet.AllAt(Generation(1)); }));
  fleet.platform.corrupt_objects = true;
  FakeNode& late = fleet.Start("n7");
  CHECK(fleet.RunUntil(seconds(30), [&] { return late.core->IsReady(); }));
  CHECK(late.generations == std::vector{Generation(1)});
}

TEST_CASE(
    "an instance never publishes an older generation than its entry has") {
  FakeFleet fleet(5);
  ApplyNext(fleet, "w1");
  FakeNode& node = fleet.Start("n0");
  schema::EntryReportT report;
  report.generation = 7;
  fleet.Do("n0", node.core->OnEntryReport(report, fleet.clock.Now()));
  fleet.Run(seconds(20));
  CHECK(node.generations.empty());
}

TEST_CASE(
    "an entry's generation is also at a peer, for a replacement in an outage") {
  FakeFleet fleet(6);
  ApplyNext(fleet, "w1");
  fleet.StartMany(5);
  REQUIRE(
      fleet.RunUntil(seconds(15), [&] { return fleet.AllAt(Generation(1)); }));
  fleet.Run(seconds(10));
  ApplyNext(fleet, "w2");
  // The first agent that has the generation for its entry; it is replaced
  // below.
  std::string first;
  for (int step = 0; step < 1000 && first.empty(); ++step) {
    fleet.Run(std::chrono::milliseconds(20));
    for (const auto& [name, node] : fleet.nodes) {
      if (node.generations.back() == Generation(2)) {
        first = name;
      }
    }
  }
  REQUIRE_FALSE(first.empty());
  fleet.platform.outage = true;
  FakeNode& replaced = fleet.Start(first);
  fleet.Run(seconds(20));
  CHECK(replaced.generations == std::vector{Generation(2)});
}

}  // namespace
}  // namespace acacia
