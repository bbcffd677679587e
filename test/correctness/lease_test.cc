#include "src/lease.h"

#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

using std::chrono::seconds;

// An instance that competes for the lease. A test pauses it by not calling
// Step() and Send().
struct Contender {
  explicit Contender(const std::string& name)
      : random(name.size()), lease("lease/x", name, random, operations) {}

  void Step(FakePlatform& platform, TimePoint now) {
    this->lease.OnTick(true, now, this->pending_actions);
    this->Send(platform, now);
  }
  void Send(FakePlatform& platform, TimePoint now) {
    while (!this->pending_actions.empty()) {
      const AgentActions actions = std::exchange(this->pending_actions, {});
      for (const AgentAction& action : actions) {
        if (const auto* read = std::get_if<ReadRow>(&action)) {
          this->lease.OnRowRead(read->operation, platform.Read(read->key), now,
                                this->pending_actions);
        } else if (const auto* write = std::get_if<WriteRow>(&action)) {
          this->lease.OnRowWritten(write->operation, platform.Write(*write),
                                   now);
        }
      }
    }
  }

  SeededRandom random;
  OperationIds operations;
  Lease lease;
  AgentActions pending_actions;
};

TEST_CASE("a lease has one holder and passes on when it is not renewed") {
  FakePlatform platform;
  ManualClock clock;
  Contender a("a");
  Contender b("b");
  for (int second = 0; second < 60; ++second) {
    clock.Advance(seconds(1));
    a.Step(platform, clock.Now());
    b.Step(platform, clock.Now());
    CHECK(a.lease.IsHeld(clock.Now()) != b.lease.IsHeld(clock.Now()));
  }
  REQUIRE(a.lease.IsHeld(clock.Now()));
  const auto token = a.lease.FencingToken();
  for (int second = 0; second < 40; ++second) {
    clock.Advance(seconds(1));
    b.Step(platform, clock.Now());
    const bool both =
        a.lease.IsHeld(clock.Now()) && b.lease.IsHeld(clock.Now());
    CHECK_FALSE(both);
  }
  CHECK(b.lease.IsHeld(clock.Now()));
  CHECK(b.lease.FencingToken() > token);
}

TEST_CASE("a paused holder's late renewal fails") {
  FakePlatform platform;
  ManualClock clock;
  Contender a("a");
  Contender b("b");
  a.Step(platform, clock.Now());
  REQUIRE(a.lease.IsHeld(clock.Now()));
  clock.Advance(seconds(6));
  // The holder is paused between preparing its renewal and sending it.
  a.lease.OnTick(true, clock.Now(), a.pending_actions);
  REQUIRE(a.pending_actions.size() == 1);
  for (int second = 0; second < 30; ++second) {
    clock.Advance(seconds(1));
    b.Step(platform, clock.Now());
  }
  REQUIRE(b.lease.IsHeld(clock.Now()));
  const RowVersion before = platform.rows["lease/x"].version;
  a.Send(platform, clock.Now());
  CHECK(platform.rows["lease/x"].version == before);
  CHECK_FALSE(a.lease.IsHeld(clock.Now()));
}

TEST_CASE("a lost reply does not lose the lease") {
  FakePlatform platform;
  ManualClock clock;
  Contender a("a");
  platform.lose_replies = 1;
  a.Step(platform, clock.Now());
  CHECK_FALSE(a.lease.IsHeld(clock.Now()));
  clock.Advance(seconds(1));
  a.Step(platform, clock.Now());
  CHECK(a.lease.IsHeld(clock.Now()));
  CHECK(platform.rows["lease/x"].version == RowVersion(1));
}

}  // namespace
}  // namespace acacia
