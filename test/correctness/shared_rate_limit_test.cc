#include "src/shared_rate_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

#include "src/fleet_pool.h"
#include "src/retry_after.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

TEST_CASE("without a limit every attempt is allowed") {
  const SharedRateLimit limit;
  CHECK(limit.Allows(kStart));
  CHECK(limit.Rate(kStart) == 0);
}

TEST_CASE("a limit starts without allowance and fills at its rate") {
  SharedRateLimit limit;
  limit.OnNamed(4, kStart);
  CHECK_FALSE(limit.Allows(kStart));
  CHECK(limit.Wait(kStart) == milliseconds(250));
  CHECK(limit.Allows(kStart + milliseconds(250)));
}

TEST_CASE("attempts of other entries use up the allowance, and are paid back") {
  SharedRateLimit limit;
  limit.OnNamed(4, kStart);
  const TimePoint later = kStart + milliseconds(500);
  limit.OnPeerAttempts(4, later);
  CHECK(limit.Level(later) == Approx(-2));
  CHECK_FALSE(limit.Allows(later + milliseconds(700)));
  CHECK(limit.Allows(later + milliseconds(750)));
}

TEST_CASE("a limit named again keeps the allowance") {
  SharedRateLimit limit;
  limit.OnNamed(4, kStart);
  limit.OnNamed(2, kStart + milliseconds(500));
  CHECK(limit.Level(kStart + milliseconds(500)) == Approx(2));
  CHECK(limit.Rate(kStart + milliseconds(500)) == 2);
}

TEST_CASE("only an attempt begun under the limit shows that it has ended") {
  SharedRateLimit limit;
  limit.OnNamed(1, kStart);
  limit.OnNotNamed(kStart - milliseconds(10));
  CHECK(limit.IsActive(kStart));
  limit.OnNotNamed(kStart + milliseconds(10));
  CHECK_FALSE(limit.IsActive(kStart));
}

TEST_CASE("a limit ends when nobody hears of it any more") {
  SharedRateLimit limit;
  limit.OnNamed(1, kStart);
  CHECK(limit.IsActive(kStart + seconds(9)));
  CHECK(limit.Allows(kStart + SharedRateLimit::kExpiry));
  CHECK_FALSE(limit.IsActive(kStart + SharedRateLimit::kExpiry));
}

TEST_CASE("a limit of zero still lets answers show when it ends") {
  SharedRateLimit limit;
  limit.OnNamed(0, kStart);
  CHECK_FALSE(limit.Allows(kStart + seconds(1)));
  CHECK(limit.Allows(kStart + seconds(4)));
}

TEST_CASE(
    "when all are at their rate limits, callers are told when to return") {
  const ServiceLoad load{0.2, milliseconds(100), milliseconds(800)};
  CHECK(RetryAfter(load, 0.5) == milliseconds(800));
}

// A fleet whose entries exchange evidence 25 times a second, in front of
// backend servers of which most name a rate limit from kNamed on.
class LimitedFleet {
 public:
  static constexpr int kEntries = 24;
  static constexpr int kDomains = 3;
  static constexpr int kServers = 12;
  static constexpr int kUnlimited = 2;
  static constexpr milliseconds kShareInterval{40};
  static constexpr milliseconds kLinkDelay{2};
  static constexpr milliseconds kAnswerTime{180};
  static constexpr seconds kNamed{1};

  LimitedFleet(std::uint64_t seed, double lost_messages)
      : random(seed), lost_messages(lost_messages) {
    for (int i = 0; i < kServers; ++i) {
      this->view.backend_servers.push_back(
          {BackendId(std::to_string(i)), Domain(i), 3});
      this->arrivals.emplace_back();
    }
    for (int i = 0; i < kEntries; ++i) {
      this->pools.push_back(std::make_unique<FleetPool>(
          ServiceName("s"), Domain(i), this->random));
      this->pools.back()->Apply(this->view, kStart);
    }
  }

  static FailureDomain Domain(int i) {
    return FailureDomain(std::to_string(i % kDomains));
  }
  static double Limit(int server) { return server % 4 == 0 ? 1 : 6; }

  // Plays requests at a rate that exceeds the limits of all servers together.
  void Play(Duration time, double requests_per_second) {
    constexpr milliseconds kStep{1};
    const double chance =
        requests_per_second * std::chrono::duration<double>(kStep).count();
    for (TimePoint now = kStart; now < kStart + time; now += kStep) {
      this->Deliver(now);
      this->EndAttempts(now);
      for (double due = chance; due > 0; due -= 1) {
        if (this->random.Fraction() < due) {
          this->Request(now);
        }
      }
      this->Share(now);
    }
  }

  // The largest number of requests beyond the bound in any four seconds from
  // three seconds after the limit was first named.
  double WorstExcess() const {
    constexpr seconds kWindow{4};
    const TimePoint from = kStart + kNamed + seconds(3);
    double worst = -1e9;
    for (int server = kUnlimited; server < kServers; ++server) {
      const auto& times = this->arrivals[static_cast<std::size_t>(server)];
      for (auto first = std::lower_bound(times.begin(), times.end(), from);
           first != times.end(); ++first) {
        const auto last =
            std::lower_bound(first, times.end(), *first + kWindow);
        worst = std::max(worst, static_cast<double>(last - first) -
                                    (1.5 * Limit(server) * 4 + 5));
      }
    }
    return worst;
  }
  std::size_t Arrivals(int server) const {
    return this->arrivals[static_cast<std::size_t>(server)].size();
  }

 private:
  struct Attempt {
    TimePoint end;
    TimePoint started;
    int entry = 0;
    PooledBackend* backend = nullptr;
  };
  struct Message {
    TimePoint arrives;
    int from = 0;
    std::vector<schema::BackendEvidenceT> evidence;
  };

  void Request(TimePoint now) {
    const int entry = static_cast<int>(this->random.Below(kEntries));
    FleetPool& pool = *this->pools[static_cast<std::size_t>(entry)];
    PooledBackend* backend = pool.Pick({this->work, {}}, now);
    if (backend == nullptr) {
      CHECK(pool.AllAtRateLimit({}, now));
      return;
    }
    pool.OnStart(*backend, this->work, now);
    this->arrivals[std::stoul(backend->server.id.Value())].push_back(now);
    this->running.push_back({now + kAnswerTime, now, entry, backend});
  }
  void EndAttempts(TimePoint now) {
    for (; !this->running.empty() && this->running.front().end <= now;
         this->running.pop_front()) {
      const Attempt& attempt = this->running.front();
      FleetPool& pool = *this->pools[static_cast<std::size_t>(attempt.entry)];
      const int server = std::stoi(attempt.backend->server.id.Value());
      const bool limited = server >= kUnlimited && now >= kStart + kNamed;
      pool.OnRateLimit(*attempt.backend,
                       limited ? std::optional(Limit(server)) : std::nullopt,
                       AttemptResult::kSuccess, attempt.started, now);
      pool.OnRelease(*attempt.backend, this->work, false);
    }
  }
  void Share(TimePoint now) {
    for (int i = 0; i < kEntries; ++i) {
      const auto phase = milliseconds(i * kShareInterval.count() / kEntries);
      if ((now - kStart) % kShareInterval == phase) {
        auto evidence =
            this->pools[static_cast<std::size_t>(i)]->TakeEvidence(now);
        this->messages.push_back({now + kLinkDelay, i, std::move(evidence)});
      }
    }
  }
  void Deliver(TimePoint now) {
    for (; !this->messages.empty() && this->messages.front().arrives <= now;
         this->messages.pop_front()) {
      const Message& message = this->messages.front();
      for (int i = 0; i < kEntries; ++i) {
        if (i != message.from &&
            this->random.Fraction() >= this->lost_messages) {
          this->pools[static_cast<std::size_t>(i)]->OnFleetEvidence(
              std::to_string(message.from), message.evidence, now);
        }
      }
    }
  }

  SeededRandom random;
  double lost_messages;
  ServiceView view;
  Work work;
  std::vector<std::unique_ptr<FleetPool>> pools;
  std::deque<Attempt> running;
  std::deque<Message> messages;
  std::vector<std::vector<TimePoint>> arrivals;
};

// Guards LIMIT: the fleet as a whole exceeded the rates that backend servers
// named.
TEST_CASE("the fleet keeps to the rate limits that backend servers name") {
  const double lost_messages = GENERATE(0.0, 0.1);
  const double requests_per_second = GENERATE(60.0, 200.0);
  LimitedFleet fleet(11, lost_messages);
  constexpr seconds kTime{14};
  fleet.Play(kTime, requests_per_second);
  CHECK(fleet.WorstExcess() <= 0);
  // Under overload most of what the limits allow is used.
  if (requests_per_second > 100) {
    CHECK(fleet.Arrivals(3) >= 0.7 * LimitedFleet::Limit(3) * kTime.count());
  }
}

TEST_CASE("an entry of another cell leaves the allowance to those that count") {
  SeededRandom random(3);
  FleetPool pool(ServiceName("s"), FailureDomain("a"), random);
  ServiceView view;
  view.backend_servers.push_back({BackendId("home"), FailureDomain("a"), 3});
  view.backend_servers.push_back({BackendId("other"), FailureDomain("a"), 3});
  view.cell_backends.insert(BackendId("home"));
  pool.Apply(view, kStart);
  schema::BackendEvidenceT named;
  named.rate_limit = 100;
  for (const char* id : {"home", "other"}) {
    named.id = id;
    pool.OnFleetEvidence("e1", {named}, kStart);
  }
  const Work work;
  for (int i = 1; i < 20; ++i) {
    const TimePoint now = kStart + milliseconds(20) * i;
    const PooledBackend* picked = pool.Pick({work, {}}, now);
    REQUIRE(picked != nullptr);
    CHECK(picked->server.id == BackendId("home"));
  }
}

}  // namespace
}  // namespace acacia
