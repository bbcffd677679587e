// Checks what the caller is told about a request that got no answer, for the
// ways in which its attempts can end. Guards against retries of a request that
// may have run, and against a false not-run.
#include "test/dispatch_fixture.h"

namespace acacia {
namespace {

struct Case {
  AttemptResult first;
  AttemptResult second;
  ErrorKind told;
};

using enum AttemptResult;

}  // namespace

TEST_CASE(
    "A non-idempotent request is tried again only after a proven not-run") {
  for (const AttemptResult result :
       {kServerError, kBroken, kTimedOut, kTruncated, kMismatched}) {
    DispatchFixture fixture(4);
    const auto start = fixture.Only<StartAttempt>(fixture.Request(false));
    CHECK(start.proven_connection);
    const DispatchActions actions = fixture.End(start, result);
    const auto refusal = fixture.Only<RefuseRequest>(actions);
    CHECK(AnswerFor(refusal.kind).outcome == Outcome::kUnknown);
    CHECK(fixture.Count<StartAttempt>(actions) == 0);
    CHECK(fixture.dispatcher->InFlight() == 0);
  }
  for (const AttemptResult result : {kNotSent, kRefused}) {
    DispatchFixture fixture(4);
    const auto start = fixture.Only<StartAttempt>(fixture.Request(false));
    const auto again = fixture.Only<StartAttempt>(fixture.End(start, result));
    CHECK(again.attempt == AttemptId(2));
    CHECK(!(again.backend == start.backend));
  }
}

TEST_CASE("Not-run is told only when no attempt may have run") {
  const std::vector<Case> cases = {
      {kNotSent, kNotSent, ErrorKind::kConnectFailed},
      {kNotSent, kRefused, ErrorKind::kBackendRefused},
      {kBroken, kRefused, ErrorKind::kBackendBroken},
      {kTimedOut, kNotSent, ErrorKind::kBackendTimeout},
      {kRefused, kTruncated, ErrorKind::kTruncatedAnswer},
      {kBroken, kMismatched, ErrorKind::kWrongAnswer},
  };
  for (const Case& each : cases) {
    DispatchFixture fixture(2, 1);
    fixture.view.policy.retry_budget_percent = 100;
    fixture.Apply();
    const auto first = fixture.Only<StartAttempt>(fixture.Request());
    const auto second =
        fixture.Only<StartAttempt>(fixture.End(first, each.first));
    // Not replayable: no third attempt.
    const DispatchActions actions = fixture.dispatcher->OnAttemptEnd(
        {second.request, second.attempt, each.second, false, false, {}},
        fixture.now);
    CHECK(fixture.Only<RefuseRequest>(actions).kind == each.told);
  }
}

TEST_CASE("After the answer is relayed, the attempt's end causes no actions") {
  for (const AttemptResult result : {kSuccess, kTruncated, kBroken}) {
    DispatchFixture fixture(2);
    const auto start = fixture.Only<StartAttempt>(fixture.Request());
    fixture.Only<RelayAnswer>(fixture.Head(start));
    CHECK(fixture.End(start, result).empty());
    CHECK(fixture.dispatcher->InFlight() == 0);
  }
}

TEST_CASE("A server error is tried elsewhere, and relayed when it cannot be") {
  DispatchFixture fixture(2);
  const auto start = fixture.Only<StartAttempt>(fixture.Request());
  const DispatchActions retry = fixture.Head(start, 500);
  CHECK(fixture.Count<CancelAttempt>(retry) == 1);
  const auto second = fixture.Only<StartAttempt>(retry);
  CHECK(!(second.backend == start.backend));
  CHECK(fixture.Only<RelayAnswer>(fixture.Head(second, 500)).attempt ==
        second.attempt);
  DispatchFixture other(2);
  const auto write = other.Only<StartAttempt>(other.Request(false));
  CHECK(other.Only<RelayAnswer>(other.Head(write, 500)).attempt ==
        write.attempt);
}

TEST_CASE("At its deadline an attempt is cancelled and its outcome unknown") {
  DispatchFixture fixture(1);
  fixture.Request();
  CHECK(fixture.dispatcher->NextTimer() <= fixture.now + seconds(5));
  const DispatchActions actions = fixture.Advance(seconds(5));
  CHECK(fixture.Count<CancelAttempt>(actions) == 1);
  CHECK(fixture.Only<RefuseRequest>(actions).kind ==
        ErrorKind::kBackendTimeout);
  CHECK(fixture.dispatcher->InFlight() == 0);
}

}  // namespace acacia
