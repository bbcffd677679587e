#include "src/ejection.h"

#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

// Advances time while the entries for which `sees_failures` holds see every
// attempt at the `sick` servers fail, and the others see none fail. Entries
// that apply a server's ejection send it nothing.
void RunWithSickServers(
    FakeFleet& fleet,
    int seconds_to_run,
    const std::set<std::string>& sick,
    const std::function<bool(const std::string&)>& sees_failures) {
  for (int second = 0; second < seconds_to_run; ++second) {
    for (const auto& [name, node] : fleet.nodes) {
      schema::EntryReportT report;
      for (const std::string& server : sick) {
        if (fleet.Ejected(name).count(server) != 0) {
          continue;
        }
        auto evidence = std::make_unique<schema::BackendEvidenceT>();
        evidence->service = "kehto";
        evidence->address = server;
        evidence->attempts = 2;
        evidence->failures = sees_failures(name) ? 2 : 0;
        report.evidence.push_back(std::move(evidence));
      }
      fleet.Do(name, node.core->OnEntryReport(report, fleet.clock.Now()));
    }
    fleet.Run(seconds(1));
  }
}

bool EveryEntry(const std::string& /*name*/) {
  return true;
}

bool AllEject(const FakeFleet& fleet, const std::set<std::string>& servers) {
  for (const auto& [name, node] : fleet.nodes) {
    if (fleet.Ejected(name) != servers) {
      return false;
    }
  }
  return true;
}

FakeFleet& Prepare(FakeFleet& fleet, int nodes, int servers, int floor) {
  Apply(fleet.platform,
        {MakeFileSet(servers, floor), "w1", "operator", std::nullopt});
  fleet.StartMany(nodes);
  REQUIRE(
      fleet.RunUntil(seconds(20), [&] { return fleet.AllAt(Generation(1)); }));
  fleet.Run(seconds(10));
  return fleet;
}

TEST_CASE("pooled evidence ejects a sick backend server everywhere") {
  FakeFleet fleet(1);
  Prepare(fleet, 9, 6, 50);
  RunWithSickServers(fleet, 15, {"b2"}, EveryEntry);
  CHECK(AllEject(fleet, {"b2"}));
}

TEST_CASE(
    "bad evidence of one entry or failure domain ejects no backend server") {
  FakeFleet fleet(2);
  Prepare(fleet, 9, 6, 50);
  RunWithSickServers(fleet, 30, {"b2"},
                     [](const std::string& name) { return name == "n4"; });
  CHECK(AllEject(fleet, {}));
  RunWithSickServers(fleet, 30, {"b2"}, [](const std::string& name) {
    return name == "n0" || name == "n3" || name == "n6";
  });
  CHECK(AllEject(fleet, {}));
}

TEST_CASE("the floor refuses an ejection, also of most of a service") {
  FakeFleet fleet(3);
  Prepare(fleet, 6, 6, 80);
  RunWithSickServers(fleet, 20, {"b1", "b2"}, EveryEntry);
  CHECK(fleet.Ejected("n0").size() == 1);
  RunWithSickServers(fleet, 20, {"b0", "b1", "b2", "b3", "b4", "b5"},
                     EveryEntry);
  CHECK(fleet.Ejected("n0").size() <= 1);
}

TEST_CASE(
    "a lost reply is resolved and an outage of the platform ejects nothing") {
  FakeFleet fleet(4);
  Prepare(fleet, 6, 6, 50);
  fleet.platform.lose_replies = 1;
  RunWithSickServers(fleet, 20, {"b2"}, EveryEntry);
  CHECK(AllEject(fleet, {"b2"}));
  fleet.platform.outage = true;
  RunWithSickServers(fleet, 20, {"b3"}, EveryEntry);
  CHECK(AllEject(fleet, {"b2"}));
}

TEST_CASE("ejections lapse when they can't be confirmed for long") {
  FakeFleet fleet(5);
  Prepare(fleet, 6, 6, 50);
  RunWithSickServers(fleet, 20, {"b2"}, EveryEntry);
  fleet.platform.outage = true;
  fleet.Run(minutes(9));
  CHECK(AllEject(fleet, {"b2"}));
  CHECK(fleet.nodes.at("n0").fleet->ejections_valid_ms <= 120000);
  fleet.Run(minutes(2));
  CHECK(AllEject(fleet, {}));
}

TEST_CASE(
    "a backend server returns after probation and stays out longer "
    "after a relapse") {
  FakeFleet fleet(6);
  Prepare(fleet, 6, 6, 50);
  std::vector<TimePoint> changes;
  bool ejected = false;
  for (int second = 0; second < 150; ++second) {
    RunWithSickServers(fleet, 1, {"b2"}, EveryEntry);
    if (AllEject(fleet, ejected ? std::set<std::string>{}
                                : std::set<std::string>{"b2"})) {
      ejected = !ejected;
      changes.push_back(fleet.clock.Now());
    }
  }
  REQUIRE(changes.size() >= 4);
  CHECK(changes[3] - changes[2] > changes[1] - changes[0] + seconds(15));
}

TEST_CASE("an old grant at one instance and a new one stay above the floor") {
  FakeFleet fleet(7);
  Prepare(fleet, 6, 4, 75);
  RunWithSickServers(fleet, 20, {"b0"}, EveryEntry);
  REQUIRE(AllEject(fleet, {"b0"}));
  // n5 is cut off from the platform and its peers, so it keeps the old grant,
  // while b0 returns and b1 becomes sick.
  fleet.nodes.at("n5").platform_cut = true;
  for (const auto& [name, node] : fleet.nodes) {
    fleet.cuts.insert({node.address, FakeFleet::AddressOf("n5")});
  }
  for (int minute = 0; minute < 25; ++minute) {
    for (int second = 0; second < 60; second += 10) {
      RunWithSickServers(fleet, 10, {"b1"}, EveryEntry);
      std::set<std::string> union_of_ejected = fleet.Ejected("n5");
      union_of_ejected.merge(fleet.Ejected("n0"));
      CHECK(union_of_ejected.size() <= 1);
    }
  }
  CHECK(fleet.platform.rows["ejection/kehto"].version >= RowVersion(3));
}

}  // namespace
}  // namespace acacia
