#include "src/hedge_policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

#include "src/fleet_pool.h"
#include "src/hedge_limit.h"
#include "src/random_source.h"
#include "src/request_quarantine.h"
#include "test/dispatch_fixture.h"

namespace acacia {
namespace {

constexpr double kLimit = 0.05;

Work MakeSafeWork(TimePoint now) {
  Work work;
  work.request = RequestId(1);
  work.idempotent = true;
  work.hedgeable = true;
  work.latency_key = "route";
  work.max_attempts = 2;
  work.deadline = now + seconds(2);
  return work;
}

// Guards against a limit that holds on average only: every request is eligible,
// as in a service that became slow as a whole. The fleet must keep the limit in
// each window, up to one hedge for each entry in windows of any position.
TEST_CASE("The fleet keeps the hedge limit in every window") {
  constexpr std::size_t kEntries = 103;
  constexpr int kSeconds = 600;
  std::vector<HedgeLimit> entries(kEntries);
  std::vector<std::uint32_t> sent(kEntries);
  // Counts of the whole fleet for each second.
  std::vector<double> requests(kSeconds);
  std::vector<double> hedges(kSeconds);
  for (HedgeLimit& entry : entries) {
    entry.Configure(kLimit);
  }
  for (int second = 0; second < kSeconds; ++second) {
    // The entries learn nothing useful for 200 s, then all are slow at once.
    const bool is_slow = second >= 200;
    for (std::size_t i = 0; i < kEntries; ++i) {
      const std::uint64_t rate = 1 + i % 7;
      for (std::uint64_t n = 0; n < rate; ++n) {
        const TimePoint now{seconds(1000 + second) +
                            milliseconds(1000 * n / rate)};
        entries[i].OnRequest(now);
        requests[second] += 1;
        if (is_slow && entries[i].Allows(now)) {
          entries[i].Charge(now);
          hedges[second] += 1;
          ++sent[i];
        }
      }
    }
  }
  const auto sum = [](const std::vector<double>& of, int end, int length) {
    return std::accumulate(of.begin() + end - length, of.begin() + end, 0.0);
  };
  constexpr int kWindowSeconds = HedgeLimit::kWindow / seconds(1);
  constexpr int kShort = 10;
  double worst_short = 0;
  for (int end = kWindowSeconds; end <= kSeconds; ++end) {
    CHECK(sum(hedges, end, kWindowSeconds) <=
          kLimit * sum(requests, end, kWindowSeconds));
    const double in_short = sum(hedges, end, kShort);
    CHECK(in_short <= kLimit * sum(requests, end, kShort) + kEntries);
    worst_short = std::max(worst_short, in_short / sum(requests, end, kShort));
  }
  INFO("most hedges in 10 s: " << 100 * worst_short << " % of requests");
  // Entries with one request a second send hedges too.
  CHECK(*std::min_element(sent.begin(), sent.end()) >= 15);
}

// Guards against credit that survives a fall of the load: the hedges of a
// window must not be paid by requests that left it.
TEST_CASE("Requests that left the window pay for no hedge") {
  HedgeLimit limit;
  limit.Configure(kLimit);
  TimePoint now{seconds(1000)};
  for (int i = 0; i < 10000; ++i) {
    limit.OnRequest(now);
  }
  REQUIRE(limit.Allows(now));
  now += HedgeLimit::kWindow + seconds(4);
  CHECK_FALSE(limit.Allows(now));
  for (int i = 0; i < 20; ++i) {
    limit.OnRequest(now);
  }
  REQUIRE(limit.Allows(now));
  limit.Charge(now);
  CHECK_FALSE(limit.Allows(now));
}

TEST_CASE("The delay is the percentile that follows from the limit") {
  HedgePolicy policy;
  policy.Configure(5);
  const Work work = MakeSafeWork({});
  // Too few requests to know the slowest 5 %.
  for (int i = 1; i < 100; ++i) {
    policy.OnAnswer(work, milliseconds(i));
    REQUIRE_FALSE(policy.Delay(work));
  }
  policy.OnAnswer(work, milliseconds(100));
  REQUIRE(policy.Delay(work));
  CHECK(*policy.Delay(work) >= milliseconds(95));
  CHECK(*policy.Delay(work) <= milliseconds(101));
  Work other = work;
  other.latency_key = "other";
  CHECK_FALSE(policy.Delay(other));
}

// Guards against a delay that sinks because the slow attempts, which lose
// against their hedges, are missing from the measurement.
TEST_CASE("Attempts that lost against a hedge keep the delay in place") {
  HedgePolicy policy;
  policy.Configure(5);
  const Work work = MakeSafeWork({});
  SeededRandom random(3);
  for (int i = 0; i < 20000; ++i) {
    const auto latency =
        Duration(static_cast<std::int64_t>(1e8 + 1e8 * random.Fraction()));
    const auto delay = policy.Delay(work);
    if (delay && latency > *delay) {
      policy.OnAbandoned(work, *delay + milliseconds(1));
    } else {
      policy.OnAnswer(work, latency);
    }
  }
  CHECK(*policy.Delay(work) > milliseconds(180));
  CHECK(*policy.Delay(work) < milliseconds(215));
}

struct HedgeFixture : DispatchFixture {
  // Backend server 2 is a spare one.
  explicit HedgeFixture(const ChooserFactory& make_chooser = {})
      : DispatchFixture(3) {
    this->view.policy.hedge_percent = 10;
    this->view.policy.retry_window = RetryWindow{0.2, 100, seconds(10)};
    this->dispatcher = std::make_unique<Dispatcher>(
        ServiceName("service"), InstanceId("self"),
        std::make_unique<SeededRandom>(1), this->view, this->now, make_chooser,
        &this->quarantine, [this](HedgeEvent event) {
          ++this->events[static_cast<std::size_t>(event)];
        });
    for (int i = 0; i < 100; ++i) {
      const auto start = Only<StartAttempt>(this->Request(this->Safe()));
      this->Advance(milliseconds(i % 10 == 0 ? 100 : 50));
      this->Answer(start);
    }
    this->events = {};
  }
  Work Safe() {
    Work work = this->NewWork();
    work.hedgeable = true;
    work.latency_key = "route";
    work.max_attempts = 2;
    return work;
  }
  int Events(HedgeEvent event) const {
    return this->events[static_cast<std::size_t>(event)];
  }

  std::array<int, kHedgeEventCount> events{};
  RequestQuarantine quarantine{std::make_unique<SeededRandom>(1)};
};

TEST_CASE("A slow attempt is hedged after the measured percentile") {
  HedgeFixture f;
  const auto first = f.Only<StartAttempt>(f.Request(f.Safe()));
  CHECK(f.Count<StartAttempt>(f.Advance(milliseconds(45))) == 0);
  const auto hedge = f.Only<StartAttempt>(
      f.Advance(f.dispatcher->NextTimer().value() - f.now));
  CHECK(hedge.request == first.request);
  CHECK_FALSE(hedge.backend == first.backend);
  CHECK(f.Events(HedgeEvent::kSent) == 1);

  SECTION("and cancelled when the hedge answers") {
    const auto actions = f.Head(hedge);
    CHECK(f.Only<CancelAttempt>(actions).attempt == first.attempt);
    CHECK(f.Only<RelayAnswer>(actions).attempt == hedge.attempt);
    CHECK(f.Events(HedgeEvent::kWon) == 1);
    CHECK(f.Events(HedgeEvent::kWasted) == 0);
  }
  SECTION("or its hedge is cancelled") {
    CHECK(f.Only<CancelAttempt>(f.Head(first)).attempt == hedge.attempt);
    CHECK(f.Events(HedgeEvent::kWon) == 0);
    CHECK(f.Events(HedgeEvent::kWasted) == 1);
  }
}

TEST_CASE("What must not be hedged is not") {
  HedgeFixture f;
  Work work = f.Safe();
  SECTION("work that may run only once") {
    work.idempotent = false;
  }
  SECTION("a body that is not buffered") {
    work.hedgeable = false;
  }
  SECTION("a request with one attempt") {
    work.max_attempts = 1;
  }
  SECTION("a request that could not finish") {
    work.deadline = f.now + milliseconds(80);
  }
  SECTION("any request when the limit is 0") {
    f.view.policy.hedge_percent = 0;
    f.Apply();
  }
  const auto start = f.Only<StartAttempt>(f.Request(work));
  for (int i = 0; i < 10; ++i) {
    CHECK(f.Count<StartAttempt>(f.Advance(milliseconds(11))) == 0);
  }
  CHECK(f.Events(HedgeEvent::kSent) == 0);
  CHECK(f.Events(HedgeEvent::kRefusedByLimit) == 0);
}

// Guards against a hedge that spreads a request which crashes backend servers.
TEST_CASE("A request whose content is quarantined meanwhile is not hedged") {
  HedgeFixture f;
  Work work = f.Safe();
  work.fingerprint = RequestFingerprint(7);
  const auto start = f.Only<StartAttempt>(f.Request(work));
  for (int i = 1; i <= RequestQuarantine::kMinCrashes; ++i) {
    f.quarantine.OnBroken(work.fingerprint, BackendId("c" + std::to_string(i)),
                          f.now, f.now);
  }
  f.Advance(milliseconds(110));
  CHECK(f.Events(HedgeEvent::kSent) == 0);
}

// Guards against a hedge that goes from a slow backend server to a faulty one.
TEST_CASE("No hedge goes to a suspect") {
  HedgeFixture f([](const ServiceName& service, const InstanceId& /*self*/,
                    RandomSource& random) {
    return std::make_unique<FleetPool>(service, FailureDomain("d"), random);
  });
  const bool has_suspects = GENERATE(false, true);
  const auto start = f.Only<StartAttempt>(f.Request(f.Safe()));
  std::vector<schema::BackendEvidenceT> evidence(3);
  for (std::uint32_t i = 0; i < evidence.size(); ++i) {
    evidence[i].id = f.Id(i).Value();
    evidence[i].failures = has_suspects && !(start.backend == f.Id(i)) ? 2 : 0;
  }
  f.dispatcher->OnFleetEvidence("other", evidence, f.now);
  f.Advance(milliseconds(110));
  CHECK(f.Events(HedgeEvent::kSent) == (has_suspects ? 0 : 1));
}

// Guards against hedges that take the slots for which requests wait.
TEST_CASE("Nothing is hedged while requests wait") {
  HedgeFixture f;
  const bool has_queue = GENERATE(false, true);
  // Long work may take a part of the slots only, so it waits although the hedge
  // of short work would find a slot.
  std::size_t started = 0;
  for (int i = 0; has_queue && i < 6; ++i) {
    Work work = f.NewWork();
    work.work_class = WorkClass::kLong;
    started += f.Count<StartAttempt>(f.Request(work));
  }
  REQUIRE(started < 6);
  f.Only<StartAttempt>(f.Request(f.Safe()));
  f.Advance(milliseconds(110));
  CHECK(f.Events(HedgeEvent::kSent) == (has_queue ? 0 : 1));
}

// Guards against hedges at a service whose load is known to be high.
TEST_CASE("Nothing is hedged while the known load is high") {
  HedgePolicy policy;
  policy.Configure(10);
  const TimePoint now{seconds(1000)};
  const Work work = MakeSafeWork(now);
  for (int i = 0; i < 200; ++i) {
    policy.OnAnswer(work, milliseconds(50));
  }
  ServiceLoad load;
  load.requests_per_slot = 0.5;
  CHECK(policy.Allows(work, load, now));
  CHECK(policy.Allows(work, std::nullopt, now));
  load.requests_per_slot = 0.9;
  CHECK_FALSE(policy.Allows(work, load, now));
  load = {};
  load.pause_wait = milliseconds(1);
  CHECK_FALSE(policy.Allows(work, load, now));
  // The median no longer fits before the deadline.
  CHECK_FALSE(policy.Allows(work, std::nullopt, now + milliseconds(1960)));
}

TEST_CASE("A hedge above the limit is refused and counted") {
  std::vector<HedgeEvent> events;
  HedgePolicy policy([&events](HedgeEvent event) { events.push_back(event); });
  policy.Configure(5);
  const TimePoint now{seconds(1000)};
  for (int i = 0; i < 20; ++i) {
    policy.OnRequest(now);
  }
  REQUIRE(policy.HasCredit(RequestId(1), now));
  policy.OnSent(now);
  CHECK_FALSE(policy.HasCredit(RequestId(2), now));
  CHECK(events == std::vector{HedgeEvent::kSent, HedgeEvent::kRefusedByLimit});
}

}  // namespace
}  // namespace acacia
