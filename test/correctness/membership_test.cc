#include "src/membership.h"

#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

using schema::MemberState;
using std::chrono::seconds;

MemberState SeenState(const FakeFleet& fleet,
                      const std::string& observer,
                      const std::string& subject) {
  for (const auto& member : fleet.nodes.at(observer).fleet->members) {
    if (member->instance == subject) {
      return member->state;
    }
  }
  return MemberState::Dead;
}

bool AllSee(const FakeFleet& fleet,
            const std::string& subject,
            MemberState state) {
  for (const auto& [name, node] : fleet.nodes) {
    if (name != subject && SeenState(fleet, name, subject) != state) {
      return false;
    }
  }
  return true;
}

bool AllSeeAll(const FakeFleet& fleet) {
  for (const auto& [name, node] : fleet.nodes) {
    if (!AllSee(fleet, name, MemberState::Alive)) {
      return false;
    }
  }
  return true;
}

bool StatusHas(const FakeFleet& fleet,
               const std::string& observer,
               const std::string& text) {
  for (const std::string& line :
       fleet.nodes.at(observer).core->Status(fleet.clock.Now())) {
    if (line.find(text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

TEST_CASE("an instance is not counted as its own peer") {
  SeededRandom random(1);
  schema::MemberUpdateT self;
  self.instance = "n1";
  self.peer_address = "10.0.0.1:7000";
  const std::vector<PeerAddress> everyone{PeerAddress("10.0.0.1:7000"),
                                          PeerAddress("10.0.0.2:7000"),
                                          PeerAddress("10.0.0.3:7000")};
  Membership seeded(self, everyone, random, TimePoint());
  CHECK(seeded.KnownPeerCount() == 2);
  Membership listed(self, {}, random, TimePoint());
  listed.OnPlatformList(everyone);
  CHECK(listed.KnownPeerCount() == 2);
}

TEST_CASE("members discover each other and detect a dead one") {
  FakeFleet fleet(1);
  fleet.StartMany(12);
  REQUIRE(fleet.RunUntil(seconds(20), [&] { return AllSeeAll(fleet); }));
  fleet.Kill("n5");
  CHECK(fleet.RunUntil(seconds(60),
                       [&] { return AllSee(fleet, "n5", MemberState::Dead); }));
  CHECK(AllSee(fleet, "n4", MemberState::Alive));
}

TEST_CASE("a one-way cut is reported as a bad link, not as a death") {
  FakeFleet fleet(2);
  fleet.StartMany(8);
  REQUIRE(fleet.RunUntil(seconds(20), [&] { return AllSeeAll(fleet); }));
  fleet.cuts.insert({FakeFleet::AddressOf("n1"), FakeFleet::AddressOf("n2")});
  bool reported = false;
  for (int second = 0; second < 120; ++second) {
    fleet.Run(seconds(1));
    CHECK(SeenState(fleet, "n1", "n2") != MemberState::Dead);
    reported |= StatusHas(fleet, "n1", "bad link to n2");
  }
  CHECK(reported);
}

TEST_CASE("a replacement is distinguished from its predecessor") {
  FakeFleet fleet(3);
  fleet.StartMany(6);
  REQUIRE(fleet.RunUntil(seconds(20), [&] { return AllSeeAll(fleet); }));
  fleet.Kill("n3");
  REQUIRE(fleet.RunUntil(
      seconds(60), [&] { return AllSee(fleet, "n3", MemberState::Dead); }));
  fleet.Start("n3");
  CHECK(fleet.RunUntil(
      seconds(20), [&] { return AllSee(fleet, "n3", MemberState::Alive); }));
}

TEST_CASE("two halves rejoin after a partition") {
  FakeFleet fleet(4);
  fleet.StartMany(8);
  REQUIRE(fleet.RunUntil(seconds(20), [&] { return AllSeeAll(fleet); }));
  for (int a = 0; a < 8; ++a) {
    for (int b = 0; b < 8; ++b) {
      if (a % 2 != b % 2) {
        fleet.cuts.insert({FakeFleet::AddressOf("n" + std::to_string(a)),
                           FakeFleet::AddressOf("n" + std::to_string(b))});
      }
    }
  }
  REQUIRE(fleet.RunUntil(seconds(60), [&] {
    return SeenState(fleet, "n0", "n1") == MemberState::Dead;
  }));
  fleet.cuts.clear();
  CHECK(fleet.RunUntil(seconds(60), [&] { return AllSeeAll(fleet); }));
}

TEST_CASE("a stopping instance leaves the lookup answers everywhere") {
  FakeFleet fleet(5);
  fleet.StartMany(12);
  REQUIRE(fleet.RunUntil(seconds(20), [&] { return AllSeeAll(fleet); }));
  auto& node = fleet.nodes.at("n7");
  fleet.Do("n7", node.core->OnStopRequested(fleet.clock.Now()));
  CHECK(fleet.RunUntil(
      seconds(5), [&] { return AllSee(fleet, "n7", MemberState::Leaving); }));
  CHECK(node.fleet->stop);
}

TEST_CASE("the platform's list finds peers that no seed names") {
  FakeFleet fleet(6);
  fleet.platform.lists[kEntryService] = {
      {"peer-x1", FailureDomain("a"), 1, false}};
  fleet.Start("x1");
  fleet.Start("x2");
  CHECK(fleet.RunUntil(seconds(20), [&] {
    return SeenState(fleet, "x2", "x1") == MemberState::Alive &&
           SeenState(fleet, "x1", "x2") == MemberState::Alive;
  }));
}

}  // namespace
}  // namespace acacia
