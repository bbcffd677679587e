// Faulty backend servers: avoided on this entry's own evidence, within the
// floor, and only while the others do well; probed with a few requests;
// returned to service over a ramp.
#include <map>
#include <set>

#include "test/dispatch_fixture.h"

namespace acacia {
namespace {

constexpr std::uint32_t kFaultyIndex = 1;

struct Fault {
  AttemptResult result = AttemptResult::kSuccess;
  Duration latency = milliseconds(20);
};

// Sends `count` requests one after another. Backend servers in `faulty` answer
// with `fault`. Returns how many requests each backend server received first.
std::map<BackendId, int> Serve(DispatchFixture& fixture,
                               int count,
                               const std::set<BackendId>& faulty,
                               const Fault& fault,
                               bool idempotent = true) {
  std::map<BackendId, int> got;
  for (int i = 0; i < count; ++i) {
    fixture.now += milliseconds(5);
    fixture.dispatcher->OnTimer(fixture.now);
    auto start = fixture.Only<StartAttempt>(fixture.Request(idempotent));
    ++got[start.backend];
    if (faulty.contains(start.backend)) {
      fixture.now += fault.latency;
      fixture.dispatcher->OnTimer(fixture.now);
      if (fault.result == AttemptResult::kSuccess) {
        fixture.Answer(start);
        continue;
      }
      const DispatchActions actions = fixture.End(start, fault.result);
      if (fixture.Count<StartAttempt>(actions) == 0) {
        continue;
      }
      start = fixture.Only<StartAttempt>(actions);
      if (faulty.contains(start.backend)) {
        fixture.dispatcher->OnCallerLeft(start.request, fixture.now);
        continue;
      }
    }
    fixture.now += milliseconds(20);
    fixture.Answer(start);
  }
  return got;
}

std::set<std::string> Avoided(DispatchFixture& fixture) {
  std::set<std::string> avoided;
  for (const auto& item : fixture.dispatcher->TakeEvidence(fixture.now)) {
    if (item.avoided) {
      avoided.insert(item.address);
    }
  }
  return avoided;
}

const Fault kFaults[] = {
    {AttemptResult::kBroken, milliseconds(1)},
    {AttemptResult::kNotSent, milliseconds(1)},
    {AttemptResult::kTruncated, milliseconds(20)},
    {AttemptResult::kMismatched, milliseconds(20)},
    {AttemptResult::kTimedOut, milliseconds(500)},
    {AttemptResult::kSuccess, milliseconds(200)},
};

}  // namespace

TEST_CASE(
    "A faulty backend server is avoided except for probes, and explained") {
  const BackendId faulty = DispatchFixture::Id(kFaultyIndex);
  for (const Fault& fault : kFaults) {
    INFO(static_cast<int>(fault.result));
    DispatchFixture fixture(5, 3);
    Serve(fixture, 100, {}, {});
    Serve(fixture, 100, {faulty}, fault);
    CHECK(Avoided(fixture) == std::set<std::string>{faulty.Value()});
    const auto after = Serve(fixture, 200, {faulty}, fault);
    CHECK((!after.contains(faulty) || after.at(faulty) <= 200 / 5 / 10));
    // Non-idempotent work is never sent to it.
    CHECK(!Serve(fixture, 100, {}, {}, false).contains(faulty));
    const std::string reason =
        fixture.dispatcher->Explain(fixture.now).at(kFaultyIndex);
    CHECK(reason.find("avoided for") != std::string::npos);
  }
}

TEST_CASE("A recovered one returns over a ramp, and a relapse lasts longer") {
  const BackendId faulty = DispatchFixture::Id(kFaultyIndex);
  DispatchFixture fixture(5, 3);
  Serve(fixture, 100, {}, {});
  Duration first_absence{};
  for (int relapse = 0; relapse < 2; ++relapse) {
    Serve(fixture, 100, {faulty}, kFaults[0]);
    REQUIRE(Avoided(fixture).size() == 1);
    const TimePoint avoided_at = fixture.now;
    while (!Avoided(fixture).empty()) {
      REQUIRE(fixture.now - avoided_at < seconds(300));
      Serve(fixture, 20, {}, {});
    }
    const Duration absence = fixture.now - avoided_at;
    CHECK(absence > first_absence);
    first_absence = absence;
    // At first it gets only part of its full share of 10 in 50.
    CHECK(Serve(fixture, 50, {}, {})[faulty] < 8);
    Serve(fixture, 2000, {}, {});
    CHECK(Serve(fixture, 100, {}, {})[faulty] > 10);
  }
}

TEST_CASE("A service that is slow or failing as a whole causes no avoidance") {
  std::set<BackendId> all;
  for (std::uint32_t i = 0; i < 5; ++i) {
    all.insert(DispatchFixture::Id(i));
  }
  for (const Fault& fault : kFaults) {
    INFO(static_cast<int>(fault.result));
    DispatchFixture fixture(5, 3);
    Serve(fixture, 100, {}, {});
    Serve(fixture, 100, all, fault);
    CHECK(Avoided(fixture).empty());
  }
}

TEST_CASE("A third of the backend servers failing together is avoided") {
  std::set<BackendId> faulty;
  for (std::uint32_t i = 0; i < 5; ++i) {
    faulty.insert(DispatchFixture::Id(i));
  }
  for (const Fault& fault : {kFaults[0], kFaults[5]}) {
    DispatchFixture fresh(15, 3);
    Serve(fresh, 300, {}, {});
    Serve(fresh, 300, faulty, fault);
    CHECK(Avoided(fresh).size() == faulty.size());
  }
}

TEST_CASE("Avoidance respects the floor and keeps the least bad in use") {
  DispatchFixture fixture(5, 2);
  fixture.view.policy.floor_percent = 60;
  fixture.Apply();
  const std::set<BackendId> faulty = {fixture.Id(0), fixture.Id(1),
                                      fixture.Id(2)};
  Serve(fixture, 100, {}, {});
  Serve(fixture, 400, faulty, kFaults[0]);
  CHECK(Avoided(fixture).size() == 2);
  // When other capacity is lost, avoided backend servers return to service.
  fixture.view.ejected = {fixture.Id(3)};
  fixture.Apply();
  CHECK(Avoided(fixture).size() == 1);
  fixture.view.leaving = {fixture.Id(4)};
  fixture.Apply();
  CHECK(Avoided(fixture).empty());
}

TEST_CASE("A backend server of two is avoided only if the floor allows it") {
  for (const auto& [floor, avoided] :
       {std::pair(50U, 1U), std::pair(51U, 0U)}) {
    DispatchFixture fixture(2, 4);
    fixture.view.policy.floor_percent = floor;
    fixture.Apply();
    Serve(fixture, 100, {}, {});
    Serve(fixture, 200, {fixture.Id(kFaultyIndex)}, kFaults[0]);
    CHECK(Avoided(fixture).size() == avoided);
  }
}

TEST_CASE("A short read that takes too long is hedged once") {
  DispatchFixture fixture(4, 3);
  Serve(fixture, 100, {}, {});
  Work read = fixture.NewWork();
  read.hedgeable = true;
  const auto first = fixture.Only<StartAttempt>(fixture.Request(read));
  REQUIRE(fixture.dispatcher->NextTimer() <= fixture.now + milliseconds(100));
  const auto second =
      fixture.Only<StartAttempt>(fixture.Advance(milliseconds(100)));
  CHECK(!(second.backend == first.backend));
  CHECK(fixture.Count<StartAttempt>(fixture.Advance(milliseconds(200))) == 0);
  const DispatchActions actions = fixture.Head(second);
  REQUIRE(actions.size() == 2);
  CHECK(std::get<CancelAttempt>(actions[0]).attempt == first.attempt);
  CHECK(std::get<RelayAnswer>(actions[1]).attempt == second.attempt);
  // Non-idempotent requests are not hedged.
  fixture.Request(false);
  CHECK(fixture.Count<StartAttempt>(fixture.Advance(milliseconds(200))) == 0);
}

TEST_CASE("A cold or new backend server gets its share over a ramp") {
  DispatchFixture fixture(4, 3);
  fixture.view.cold = {fixture.Id(0)};
  fixture.view.backend_servers.push_back({fixture.Id(4), {}, 3});
  fixture.Apply();
  const auto at_first = Serve(fixture, 100, {}, {});
  CHECK((!at_first.contains(fixture.Id(0)) || at_first.at(fixture.Id(0)) < 10));
  CHECK((!at_first.contains(fixture.Id(4)) || at_first.at(fixture.Id(4)) < 15));
  fixture.view.cold.clear();
  fixture.Apply();
  Serve(fixture, 1000, {}, {});
  auto later = Serve(fixture, 100, {}, {});
  CHECK(later[fixture.Id(0)] > 10);
  CHECK(later[fixture.Id(4)] > 10);
}

}  // namespace acacia
