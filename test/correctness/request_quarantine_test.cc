// Tests when requests count as crashing backend servers, and how the entries of
// a fleet learn of it.
#include "src/request_quarantine.h"

#include <catch2/catch.hpp>
#include <deque>

#include "test/dispatch_fixture.h"

namespace acacia {
namespace {

constexpr TimePoint kStart{seconds(1000)};
constexpr RequestFingerprint kDeadly{7};
constexpr Duration kRunTime = milliseconds(100);

BackendId Backend(int number) {
  return BackendId("i-" + std::to_string(number));
}

// The draw of a quarantine's end is its length plus a share of it.
std::unique_ptr<RandomSource> Random(std::uint64_t seed = 1) {
  return std::make_unique<SeededRandom>(seed);
}

struct QuarantineFixture {
  // An attempt runs for kRunTime at a backend server, which crashes.
  void Crash(int backend) {
    const TimePoint started = this->now;
    this->now += kRunTime;
    this->quarantine.OnBroken(kDeadly, Backend(backend), started, this->now);
  }
  // Quarantines kDeadly.
  void CrashThree() {
    for (int i = 0; i < RequestQuarantine::kMinCrashes; ++i) {
      this->Crash(this->next_backend++);
    }
    REQUIRE(this->IsQuarantined());
  }
  bool IsQuarantined() const {
    return this->quarantine.Remaining(kDeadly, this->now).has_value();
  }

  TimePoint now = kStart;
  int next_backend = 100;
  RequestQuarantine quarantine{Random()};
};

TEST_CASE("a third successive crash quarantines a request, and only it") {
  QuarantineFixture f;
  f.Crash(1);
  f.Crash(2);
  CHECK_FALSE(f.IsQuarantined());
  f.Crash(3);
  CHECK(f.IsQuarantined());
  CHECK(f.quarantine.Remaining(kDeadly, f.now) >=
        RequestQuarantine::kFirstQuarantine);
  CHECK_FALSE(f.quarantine.Remaining(RequestFingerprint(8), f.now));
  CHECK(f.quarantine.QuarantinedCount(f.now) == 1);
  CHECK(f.quarantine.Explain(f.now).size() == 1);
}

TEST_CASE(
    "backend servers lost at the same time are no sign against requests") {
  QuarantineFixture f;
  for (int i = 0; i < 20; ++i) {
    f.quarantine.OnBroken(kDeadly, Backend(i), kStart - milliseconds(10 * i),
                          kStart + milliseconds(i));
  }
  CHECK_FALSE(f.IsQuarantined());
}

TEST_CASE("an answer clears a request of earlier crashes") {
  QuarantineFixture f;
  f.Crash(1);
  f.Crash(2);
  f.quarantine.OnAnswered(kDeadly, f.now);
  f.Crash(3);
  f.Crash(4);
  CHECK_FALSE(f.IsQuarantined());
  f.Crash(5);
  CHECK(f.IsQuarantined());
  // An attempt that had begun before the quarantine is answered.
  f.quarantine.OnAnswered(kDeadly, f.now);
  CHECK_FALSE(f.IsQuarantined());
}

TEST_CASE(
    "a backend server that resets connections but lives has not crashed") {
  QuarantineFixture f;
  f.Crash(1);
  f.quarantine.OnBackendAlive(Backend(1), f.now, f.now + kRunTime);
  f.Crash(2);
  f.now += milliseconds(400);
  f.quarantine.OnBackendReportedGood(Backend(2), f.now);
  f.Crash(3);
  f.Crash(4);
  CHECK_FALSE(f.IsQuarantined());
  f.Crash(5);
  CHECK(f.IsQuarantined());
  f.quarantine.OnBackendAlive(Backend(5), f.now, f.now + kRunTime);
  CHECK_FALSE(f.IsQuarantined());
}

TEST_CASE(
    "answers begun before a crash, or after a restart, do not refute it") {
  QuarantineFixture f;
  f.Crash(1);
  f.quarantine.OnBackendAlive(Backend(1), f.now - milliseconds(1), f.now);
  f.quarantine.OnBackendReportedGood(Backend(1), f.now);
  f.quarantine.OnBackendAlive(Backend(1), f.now + seconds(2),
                              f.now + seconds(3));
  f.Crash(2);
  f.Crash(3);
  CHECK(f.IsQuarantined());
}

TEST_CASE("after the quarantine one more crash renews it, for twice as long") {
  QuarantineFixture f;
  f.CrashThree();
  const Duration first = *f.quarantine.Remaining(kDeadly, f.now);
  CHECK(first <= 2 * RequestQuarantine::kFirstQuarantine);
  f.now += first;
  CHECK_FALSE(f.IsQuarantined());
  f.Crash(1);
  REQUIRE(f.IsQuarantined());
  CHECK(f.quarantine.Remaining(kDeadly, f.now) >=
        2 * RequestQuarantine::kFirstQuarantine);
  for (int i = 2; i < 20; ++i) {
    f.now += *f.quarantine.Remaining(kDeadly, f.now);
    f.Crash(i);
  }
  CHECK(f.quarantine.Remaining(kDeadly, f.now) <=
        2 * RequestQuarantine::kMaxQuarantine);
}

TEST_CASE("an answer after the quarantine ends it for good") {
  QuarantineFixture f;
  f.CrashThree();
  f.now += *f.quarantine.Remaining(kDeadly, f.now);
  f.quarantine.OnAnswered(kDeadly, f.now);
  f.Crash(1);
  f.Crash(2);
  CHECK_FALSE(f.IsQuarantined());
}

TEST_CASE("memory and the number of quarantines are bounded") {
  RequestQuarantine quarantine(Random());
  TimePoint now = kStart;
  std::uint64_t next = 0;
  for (std::size_t i = 0; i < 2 * RequestQuarantine::kMaxFingerprints; ++i) {
    quarantine.OnBroken(RequestFingerprint(++next), Backend(1), now, now);
    now += milliseconds(1);
  }
  for (std::size_t i = 0; i < 2 * RequestQuarantine::kMaxQuarantined; ++i) {
    ++next;
    for (int backend = 0; backend < RequestQuarantine::kMinCrashes; ++backend) {
      quarantine.OnBroken(RequestFingerprint(next), Backend(backend), now, now);
      now += milliseconds(1);
    }
  }
  CHECK(quarantine.QuarantinedCount(now) == RequestQuarantine::kMaxQuarantined);
  CHECK(quarantine.TakeReports(now).size() ==
        RequestQuarantine::kMaxUnsentReports);
  for (int backend = 0; backend < 100; ++backend) {
    quarantine.OnBroken(kDeadly, Backend(backend), kStart, now);
  }
  CHECK_FALSE(quarantine.Remaining(kDeadly, now));
  CHECK(quarantine.Quarantines(now).size() ==
        RequestQuarantine::kMaxQuarantined);
}

TEST_CASE("quarantines that have ended do not keep others from being adopted") {
  RequestQuarantine source(Random());
  RequestQuarantine quarantine(Random());
  TimePoint now = kStart;
  std::uint64_t next = 0;
  for (std::size_t i = 0; i <= RequestQuarantine::kMaxQuarantined; ++i) {
    const RequestFingerprint fingerprint(++next);
    for (int backend = 0; backend < RequestQuarantine::kMinCrashes; ++backend) {
      source.OnBroken(fingerprint, Backend(backend), now, now);
      now += milliseconds(1);
    }
    quarantine.OnPeerQuarantines(source.Quarantines(now), now);
    CHECK(quarantine.Remaining(fingerprint, now));
    source.OnAnswered(fingerprint, now);
    quarantine.OnAnswered(fingerprint, now);
  }
}

TEST_CASE("requests with the same content have the same fingerprint") {
  const RequestContent base{"POST", "h", "/a/b?c", "body", 4};
  CHECK(FingerprintOf(base) == FingerprintOf(base));
  const std::vector<RequestContent> others{
      {"GET", "h", "/a/b?c", "body", 4},  {"POST", "h2", "/a/b?c", "body", 4},
      {"POST", "h", "/a/b?d", "body", 4}, {"POST", "h", "/a/b?c", "bodx", 4},
      {"POST", "h", "/a/b?c", "body", 5}, {"POST", "h/a", "/b?c", "body", 4}};
  for (const RequestContent& other : others) {
    CHECK_FALSE(FingerprintOf(other) == FingerprintOf(base));
  }
}

// The entries of a fleet, which exchange reports and heartbeats that may be
// lost.
class Fleet {
 public:
  Fleet(int entries, double loss, std::uint64_t seed)
      : random(seed), loss(loss) {
    for (int i = 0; i < entries; ++i) {
      this->entries.push_back(this->NewEntry());
    }
  }

  // Passes 40 ms: reports are sent, and heartbeats each half second.
  void Step() {
    this->now += milliseconds(40);
    const bool is_heartbeat = ++this->steps % 12 == 0;
    for (const auto& from : this->entries) {
      const auto reports = from->TakeReports(this->now);
      const bool sends_quarantines = from->TakeChanged() || is_heartbeat;
      const auto quarantines = sends_quarantines
                                   ? from->Quarantines(this->now)
                                   : std::vector<schema::QuarantinedRequestT>();
      for (const auto& to : this->entries) {
        if (to != from && this->random.Fraction() >= this->loss) {
          to->OnPeerReports(reports, this->now);
          to->OnPeerQuarantines(quarantines, this->now);
        }
      }
    }
  }
  void Pass(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->Step();
    }
  }
  // A caller sends the deadly request to an entry, which tries it twice.
  // Returns the number of backend servers that crash.
  int Send() {
    RequestQuarantine& entry = *this->entries[this->RandomEntry()];
    int crashes = 0;
    while (crashes < 2 && !entry.Remaining(kDeadly, this->now)) {
      const TimePoint started = this->now;
      this->Pass(kRunTime);
      entry.OnBroken(kDeadly, Backend(++this->backends), started, this->now);
      ++crashes;
    }
    return crashes;
  }
  void Restart(std::size_t entry) { this->entries[entry] = this->NewEntry(); }
  std::size_t RandomEntry() { return this->random.Below(this->entries.size()); }
  std::size_t CountRefusing() const {
    return static_cast<std::size_t>(std::count_if(
        this->entries.begin(), this->entries.end(), [this](const auto& each) {
          return each->Remaining(kDeadly, this->now).has_value();
        }));
  }

  std::vector<std::unique_ptr<RequestQuarantine>> entries;

 private:
  std::unique_ptr<RequestQuarantine> NewEntry() {
    return std::make_unique<RequestQuarantine>(Random(this->random.Next()));
  }

  SeededRandom random;
  double loss;
  TimePoint now = kStart;
  int steps = 0;
  int backends = 0;
};

TEST_CASE("crashes at different entries count together, and all refuse") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Fleet fleet(40, 0, seed);
    int crashes = 0;
    for (int i = 0; i < 30; ++i) {
      crashes += fleet.Send();
      fleet.Pass(milliseconds(500));
    }
    CHECK(crashes == 3);
    CHECK(fleet.CountRefusing() == 40);
  }
}

TEST_CASE("a quarantine holds through lost messages and restarts of entries") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Fleet fleet(40, 0.2, seed);
    int crashes = 0;
    for (int i = 0; i < 40; ++i) {
      crashes += fleet.Send();
      fleet.Pass(milliseconds(600));
      fleet.Restart(fleet.RandomEntry());
      fleet.Pass(milliseconds(600));
    }
    // Lost reports may cost some more crashes before the quarantine begins.
    CHECK(crashes <= 5);
    CHECK(fleet.CountRefusing() >= 39);
  }
}

TEST_CASE("when a quarantine ends, one entry tries the request for all") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Fleet fleet(40, 0, seed);
    int crashes = 0;
    for (int i = 0; i < 170; ++i) {
      crashes += fleet.Send();
      fleet.Pass(milliseconds(900));
    }
    // Three crashes, a first trial after one to two minutes, and at most one
    // more after another two.
    CHECK(crashes >= 4);
    CHECK(crashes <= 5);
    CHECK(fleet.CountRefusing() == 40);
  }
}

TEST_CASE("an answer at one entry ends the quarantine at all, for good") {
  for (const double loss : {0.0, 0.2}) {
    Fleet fleet(40, loss, 1);
    while (fleet.CountRefusing() == 0) {
      fleet.Send();
    }
    fleet.Pass(seconds(3));
    REQUIRE(fleet.CountRefusing() == 40);
    fleet.entries[3]->OnAnswered(kDeadly, kStart);
    fleet.Pass(seconds(5));
    CHECK(fleet.CountRefusing() == 0);
  }
}

// A dispatcher with a quarantine.
struct QuarantineDispatchFixture : DispatchFixture {
  explicit QuarantineDispatchFixture(std::uint32_t backends,
                                     std::uint32_t slots = 2)
      : DispatchFixture(backends, slots) {
    this->view.policy.retry_window = RetryWindow{1, 100, seconds(10)};
    this->dispatcher = std::make_unique<Dispatcher>(
        ServiceName("service"), InstanceId("self"),
        std::make_unique<SeededRandom>(1), this->view, this->now,
        ChooserFactory(), &this->quarantine);
  }
  Work DeadlyWork(bool idempotent = true) {
    Work work = this->NewWork(idempotent);
    work.fingerprint = kDeadly;
    return work;
  }

  RequestQuarantine quarantine{Random()};
};

TEST_CASE("a request is not retried once it is quarantined") {
  QuarantineDispatchFixture f(8);
  DispatchActions actions = f.Request(f.DeadlyWork());
  for (int i = 0; i < 2; ++i) {
    f.now += kRunTime;
    actions = f.End(f.Only<StartAttempt>(actions), AttemptResult::kBroken);
  }
  f.now += kRunTime;
  actions = f.End(f.Only<StartAttempt>(actions), AttemptResult::kTruncated);
  CHECK(f.Count<StartAttempt>(actions) == 0);
  // The request has run, so the caller is not told otherwise.
  CHECK(AnswerFor(f.Only<RefuseRequest>(actions).kind).outcome ==
        Outcome::kUnknown);
  for (const bool idempotent : {true, false}) {
    const auto refusal =
        f.Only<RefuseRequest>(f.Request(f.DeadlyWork(idempotent)));
    CHECK(refusal.kind == ErrorKind::kQuarantined);
    CHECK(AnswerFor(refusal.kind).outcome == Outcome::kNotRun);
    CHECK(refusal.retry_after >= RequestQuarantine::kFirstQuarantine);
  }
  CHECK(f.Count<StartAttempt>(f.Request()) == 1);
}

TEST_CASE("queued requests are refused when they are quarantined") {
  QuarantineDispatchFixture f(1, 1);
  const auto running = f.Only<StartAttempt>(f.Request());
  CHECK(f.Request(f.DeadlyWork(false)).empty());
  CHECK(f.Request().empty());
  for (int i = 1; i <= RequestQuarantine::kMinCrashes; ++i) {
    f.quarantine.OnBroken(kDeadly, Backend(i), f.now, f.now);
  }
  CHECK(f.Only<RefuseRequest>(f.Head(running)).kind == ErrorKind::kQuarantined);
  CHECK(f.Count<StartAttempt>(f.End(running, AttemptResult::kSuccess)) == 1);
}

}  // namespace
}  // namespace acacia
