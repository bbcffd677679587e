// Tests queueing for a slot (order, bounds, deadlines, fairness), and the
// effect of a new view on queued and running requests.
#include <set>

#include "test/dispatch_fixture.h"

namespace acacia {

TEST_CASE("A request waits for a slot and starts when one is freed") {
  DispatchFixture fixture(1, 1);
  const auto first = fixture.Only<StartAttempt>(fixture.Request());
  const Work second = fixture.NewWork();
  CHECK(fixture.Request(second).empty());
  CHECK(fixture.dispatcher->InFlight() == 2);
  fixture.Head(first);
  const auto started =
      fixture.Only<StartAttempt>(fixture.End(first, AttemptResult::kSuccess));
  CHECK(started.request == second.request);
}

TEST_CASE("A request that cannot start by its deadline is refused as not run") {
  DispatchFixture fixture(1, 1);
  Work first = fixture.NewWork();
  first.deadline += seconds(60);
  fixture.Request(first);
  fixture.Request();
  REQUIRE(fixture.dispatcher->NextTimer());
  CHECK(fixture.Count<RefuseRequest>(fixture.Advance(milliseconds(1))) == 0);
  CHECK(fixture.Only<RefuseRequest>(fixture.Advance(seconds(5))).kind ==
        ErrorKind::kDeadlineTooShort);
  CHECK(fixture.dispatcher->InFlight() == 1);
}

TEST_CASE("A full queue sheds from the account that has most waiting") {
  DispatchFixture fixture(1, 1);
  fixture.view.policy.queue_length = 3;
  fixture.Apply();
  fixture.Request();
  std::vector<Work> greedy;
  for (int i = 0; i < 3; ++i) {
    greedy.push_back(fixture.NewWork());
    greedy.back().account = AccountId("greedy");
    CHECK(fixture.Request(greedy.back()).empty());
  }
  Work modest = fixture.NewWork();
  modest.account = AccountId("modest");
  const auto shed = fixture.Only<RefuseRequest>(fixture.Request(modest));
  CHECK(shed.kind == ErrorKind::kQueueFull);
  CHECK(shed.request == greedy.front().request);
}

TEST_CASE("Without a backend server in service nothing waits") {
  DispatchFixture fixture(2, 1);
  const auto first = fixture.Only<StartAttempt>(fixture.Request());
  fixture.Request();
  fixture.Request();
  fixture.view.ejected = {fixture.Id(0), fixture.Id(1)};
  CHECK(fixture.Only<RefuseRequest>(fixture.Apply()).kind ==
        ErrorKind::kNoBackend);
  CHECK(fixture.Only<RefuseRequest>(fixture.Request()).kind ==
        ErrorKind::kNoBackend);
  // A running attempt continues even if its backend server is no longer listed.
  fixture.view.backend_servers.clear();
  fixture.Apply();
  CHECK(fixture.Count<RelayAnswer>(fixture.Head(first)) == 1);
  fixture.End(first, AttemptResult::kSuccess);
  CHECK(fixture.dispatcher->InFlight() == 1);
}

TEST_CASE("A backend server that says that it is leaving gets no new work") {
  DispatchFixture fixture(2, 3);
  const auto first = fixture.Only<StartAttempt>(fixture.Request());
  fixture.Head(first);
  fixture.End(first, AttemptResult::kSuccess, true);
  for (int i = 0; i < 3; ++i) {
    const auto next = fixture.Only<StartAttempt>(fixture.Request());
    CHECK(!(next.backend == first.backend));
  }
  bool leaving_reported = false;
  for (const auto& item : fixture.dispatcher->TakeEvidence(fixture.now)) {
    leaving_reported = leaving_reported ||
                       (item.leaving && item.address == first.backend.Value());
  }
  CHECK(leaving_reported);
}

TEST_CASE("Long work leaves slots and backend servers to short work") {
  DispatchFixture fixture(5, 5);
  std::map<BackendId, int> held;
  for (int i = 0; i < 40; ++i) {
    Work long_request = fixture.NewWork();
    long_request.work_class = WorkClass::kLong;
    for (const DispatchAction& action : fixture.Request(long_request)) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        ++held[start->backend];
        fixture.now += milliseconds(1);
      }
    }
  }
  CHECK(held.size() == 3);
  for (const auto& [backend, count] : held) {
    CHECK(count <= 3);
  }
  CHECK(fixture.Count<StartAttempt>(fixture.Request()) == 1);
}

TEST_CASE("An account is held to its limits") {
  DispatchFixture fixture(2, 5);
  AccountLimits limits;
  limits[AccountId("few")] = {0, 2};
  limits[AccountId("slow")] = {3, 0};
  fixture.view.accounts = std::make_shared<AccountLimits>(limits);
  fixture.Apply();
  const auto admitted = [&fixture](const char* account) {
    Work work = fixture.NewWork();
    work.account = AccountId(account);
    return fixture.Count<RefuseRequest>(fixture.Request(work)) == 0;
  };
  CHECK(admitted("few"));
  const RequestId first = fixture.next;
  CHECK(admitted("few"));
  CHECK(!admitted("few"));
  fixture.dispatcher->OnCallerLeft(first, fixture.now);
  CHECK(admitted("few"));
  CHECK((admitted("slow") && admitted("slow") && admitted("slow")));
  CHECK(!admitted("slow"));
  fixture.now += seconds(1);
  CHECK(admitted("slow"));
}

}  // namespace acacia
