#include "src/ejection.h"

#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

// Runs time on while the entries see `bad` of each attempt at `server` fail;
// entries that were told of its ejection send it nothing.
void RunWithSick(FakeFleet& fleet,
                 int seconds_to_run,
                 const std::set<std::string>& sick,
                 const std::function<bool(const std::string&)>& sees_it) {
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
        evidence->failures = sees_it(name) ? 2 : 0;
        report.evidence.push_back(std::move(evidence));
      }
      fleet.Do(name, node.core->OnEntryReport(report, fleet.clock.Now()));
    }
    fleet.Run(seconds(1));
  }
}

bool Everyone(const std::string& /*name*/) {
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
  RunWithSick(fleet, 15, {"b2"}, Everyone);
  CHECK(AllEject(fleet, {"b2"}));
}

TEST_CASE("one entry or one failure domain ejects nobody") {
  FakeFleet fleet(2);
  Prepare(fleet, 9, 6, 50);
  RunWithSick(fleet, 30, {"b2"},
              [](const std::string& name) { return name == "n4"; });
  CHECK(AllEject(fleet, {}));
  RunWithSick(fleet, 30, {"b2"}, [](const std::string& name) {
    return name == "n0" || name == "n3" || name == "n6";
  });
  CHECK(AllEject(fleet, {}));
}

TEST_CASE("the floor refuses an ejection, also of most of a service") {
  FakeFleet fleet(3);
  Prepare(fleet, 6, 6, 80);
  RunWithSick(fleet, 20, {"b1", "b2"}, Everyone);
  CHECK(fleet.Ejected("n0").size() == 1);
  RunWithSick(fleet, 20, {"b0", "b1", "b2", "b3", "b4", "b5"}, Everyone);
  CHECK(fleet.Ejected("n0").size() <= 1);
}

TEST_CASE("a lost reply is settled and the platform's outage grants nothing") {
  FakeFleet fleet(4);
  Prepare(fleet, 6, 6, 50);
  fleet.platform.lose_replies = 1;
  RunWithSick(fleet, 20, {"b2"}, Everyone);
  CHECK(AllEject(fleet, {"b2"}));
  fleet.platform.outage = true;
  RunWithSick(fleet, 20, {"b3"}, Everyone);
  CHECK(AllEject(fleet, {"b2"}));
}

TEST_CASE("ejections lapse when they can't be confirmed for long") {
  FakeFleet fleet(5);
  Prepare(fleet, 6, 6, 50);
  RunWithSick(fleet, 20, {"b2"}, Everyone);
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
  bool out = false;
  for (int second = 0; second < 150; ++second) {
    RunWithSick(fleet, 1, {"b2"}, Everyone);
    if (AllEject(fleet,
                 out ? std::set<std::string>{} : std::set<std::string>{"b2"})) {
      out = !out;
      changes.push_back(fleet.clock.Now());
    }
  }
  REQUIRE(changes.size() >= 4);
  CHECK(changes[3] - changes[2] > changes[1] - changes[0] + seconds(15));
}

TEST_CASE("an old holder and a new grant together stay above the floor") {
  FakeFleet fleet(7);
  Prepare(fleet, 6, 4, 75);
  RunWithSick(fleet, 20, {"b0"}, Everyone);
  REQUIRE(AllEject(fleet, {"b0"}));
  // n5 hears of nothing any more; b0 returns and b1 falls sick.
  fleet.nodes.at("n5").platform_cut = true;
  for (const auto& [name, node] : fleet.nodes) {
    fleet.cuts.insert({node.address, FakeFleet::AddressOf("n5")});
  }
  for (int minute = 0; minute < 25; ++minute) {
    for (int second = 0; second < 60; second += 10) {
      RunWithSick(fleet, 10, {"b1"}, Everyone);
      std::set<std::string> either = fleet.Ejected("n5");
      either.merge(fleet.Ejected("n0"));
      CHECK(either.size() <= 1);
    }
  }
  CHECK(fleet.platform.rows["ejection/kehto"].version >= RowVersion(3));
}

}  // namespace
}  // namespace acacia
