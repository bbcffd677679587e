// A simulated service of 40 backend servers behind 6 entries, of which 5 % are
// slow at any time, without a network and in simulated time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "src/dispatcher.h"
#include "src/fleet_pool.h"
#include "src/hedge_event.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 6;
constexpr std::size_t kServers = 40;
constexpr std::uint32_t kSlots = 2;
// Other servers become slow after this time.
constexpr Duration kSlowFor = seconds(3);
// Visits all servers, as it shares no factor with their number.
constexpr std::size_t kStride = 7;
constexpr Duration kShareInterval = milliseconds(40);
constexpr Duration kWarmUp = seconds(30);
constexpr Duration kLength = seconds(180);

struct Scene {
  // Whether safe requests may be hedged at all.
  bool hedgeable = true;
  double hedge_percent = 0;
  double requests_per_second = 215;
  // So many servers take this much longer, from a time on.
  std::size_t slow_servers = 2;
  double slow_factor = 6;
  Duration slow_from{};
};

struct Figures {
  double p95 = 0;
  double p99 = 0;
  double p999 = 0;
  double requests = 0;
  double attempts = 0;
  int unfinished = 0;
  std::array<int, kHedgeEventCount> events{};
  double MaxHedgePercentIn(int window_seconds) const {
    double worst = 0;
    for (std::size_t end = window_seconds; end < this->hedges.size(); ++end) {
      double sent = 0;
      double all = 0;
      for (std::size_t i = end - window_seconds; i < end; ++i) {
        sent += this->hedges[i];
        all += this->arrivals[i];
      }
      worst = std::max(worst, 100 * sent / all);
    }
    return worst;
  }
  // By second since the start.
  std::vector<double> hedges = std::vector<double>(kLength / seconds(1) + 5);
  std::vector<double> arrivals = hedges;
};

class Simulation {
 public:
  explicit Simulation(const Scene& scene) : scene(scene) {
    for (std::size_t i = 0; i < kServers; ++i) {
      this->view.backend_servers.push_back(
          {BackendId("b" + std::to_string(i)), FailureDomain("d"), kSlots});
    }
    this->view.policy.hedge_percent = scene.hedge_percent;
    this->view.policy.retry_window =
        RetryWindow{0.2, 192.0 / kEntries, seconds(10)};
    this->view.cell_size = kEntries;
    for (std::size_t i = 0; i < kEntries; ++i) {
      this->entries.push_back(std::make_unique<Dispatcher>(
          ServiceName("service"), InstanceId("e" + std::to_string(i)),
          std::make_unique<SeededRandom>(i + 1), this->view, this->now,
          [](const ServiceName& service, const InstanceId& /*self*/,
             RandomSource& source) {
            return std::make_unique<FleetPool>(service, FailureDomain("d"),
                                               source);
          },
          nullptr, [this](HedgeEvent event) { this->OnHedge(event); }));
    }
  }

  Figures Run() {
    this->ScheduleArrival();
    this->ShareEvidence();
    this->MoveSlowness();
    while (!this->events.empty() && this->events.top().at <= this->End()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->figures.unfinished = static_cast<int>(this->pending.size());
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto quantile = [this](double share) {
      return this->latencies[static_cast<std::size_t>(
          share * static_cast<double>(this->latencies.size() - 1))];
    };
    this->figures.p95 = quantile(0.95);
    this->figures.p99 = quantile(0.99);
    this->figures.p999 = quantile(0.999);
    return this->figures;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) <
             std::pair(this->at, this->order);
    }
  };
  struct Job {
    std::size_t entry;
    StartAttempt start;
    Duration work;
  };
  struct Server {
    std::uint32_t running = 0;
    std::deque<Job> waiting;
    bool is_slow = false;
  };

  TimePoint Start() const { return TimePoint{seconds(1000)}; }
  TimePoint End() const { return this->Start() + kLength; }
  std::size_t Second() const {
    return static_cast<std::size_t>((this->now - this->Start()) / seconds(1));
  }

  void After(Duration delay, std::function<void()> run) {
    this->events.push({this->now + delay, ++this->last_order, std::move(run)});
  }
  static Duration Seconds(double seconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  }

  void OnHedge(HedgeEvent event) {
    ++this->figures.events[static_cast<std::size_t>(event)];
    if (event == HedgeEvent::kSent) {
      this->figures.hedges[this->Second()] += 1;
    }
  }

  void ScheduleArrival() {
    const double gap = -std::log(1 - this->random.Fraction()) /
                       this->scene.requests_per_second;
    this->After(Seconds(gap), [this] {
      if (this->now < this->End() - seconds(3)) {
        this->Arrive();
        this->ScheduleArrival();
      }
    });
  }

  // Half of the requests are safe; the others may run only once.
  void Arrive() {
    const std::size_t entry = this->random.Below(kEntries);
    this->last_request = this->last_request.Next();
    Work work;
    work.request = this->last_request;
    work.idempotent = this->random.Fraction() < 0.5;
    work.hedgeable = work.idempotent && this->scene.hedgeable;
    work.latency_key = work.idempotent ? "safe" : "unsafe";
    work.max_attempts = 2;
    work.target_latency = milliseconds(500);
    work.deadline = this->now + seconds(3);
    this->figures.requests += 1;
    this->figures.arrivals[this->Second()] += 1;
    this->pending[work.request] = {this->now, work.idempotent};
    this->Perform(entry, this->entries[entry]->OnRequest(work, this->now));
  }

  void Perform(std::size_t entry, const DispatchActions& actions) {
    for (const DispatchAction& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        this->Send(entry, *start);
      } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
        this->pending.erase(refusal->request);
      }
      // A cancelled attempt still runs to its end at its server, so the
      // measured load is the most that hedging can add.
    }
    if (const auto due = this->entries[entry]->NextTimer()) {
      if (!this->timers[entry] || *due < *this->timers[entry]) {
        this->timers[entry] = due;
        this->After(*due - this->now, [this, entry, at = *due] {
          if (this->timers[entry] == at) {
            this->timers[entry].reset();
          }
          this->Perform(entry, this->entries[entry]->OnTimer(this->now));
        });
      }
    }
  }

  void Send(std::size_t entry, const StartAttempt& start) {
    this->figures.attempts += 1;
    // Log-normal: the median is 160 ms, and 5 % take longer than 240 ms.
    const double normal =
        std::sqrt(-2 * std::log(1 - this->random.Fraction())) *
        std::cos(2 * 3.14159265358979 * this->random.Fraction());
    Server& server = this->ServerOf(start);
    server.waiting.push_back(
        {entry, start, Seconds(0.16 * std::exp(normal / 4))});
    this->RunNext(server);
  }

  Server& ServerOf(const StartAttempt& start) {
    return this->servers[std::stoul(start.backend.Value().substr(1))];
  }

  void RunNext(Server& server) {
    if (server.running == kSlots || server.waiting.empty()) {
      return;
    }
    const Job job = server.waiting.front();
    server.waiting.pop_front();
    ++server.running;
    const double factor = server.is_slow ? this->scene.slow_factor : 1;
    this->After(
        Seconds(std::chrono::duration<double>(job.work).count() * factor),
        [this, &server, job] { this->Complete(server, job); });
  }

  void Complete(Server& server, const Job& job) {
    --server.running;
    const ReportedLoad load{server.running,
                            static_cast<std::uint32_t>(server.waiting.size()),
                            kSlots};
    this->RunNext(server);
    Dispatcher& dispatcher = *this->entries[job.entry];
    const auto actions = dispatcher.OnAnswerHead(
        job.start.request, job.start.attempt, 200, true, this->now);
    const auto found = this->pending.find(job.start.request);
    if (std::any_of(actions.begin(), actions.end(), [](const auto& action) {
          return std::holds_alternative<RelayAnswer>(action);
        })) {
      const auto [arrived, is_safe] = found->second;
      if (is_safe && arrived > this->Start() + kWarmUp) {
        this->latencies.push_back(
            std::chrono::duration<double, std::milli>(this->now - arrived)
                .count());
      }
      this->pending.erase(found);
    }
    this->Perform(job.entry, actions);
    this->Perform(job.entry, dispatcher.OnAttemptEnd(
                                 {job.start.request, job.start.attempt,
                                  AttemptResult::kSuccess, true, false, load},
                                 this->now));
  }

  void ShareEvidence() {
    for (std::size_t from = 0; from < kEntries; ++from) {
      const auto evidence = this->entries[from]->TakeEvidence(this->now);
      for (std::size_t to = 0; to < kEntries; ++to) {
        if (to != from && !evidence.empty()) {
          this->Perform(
              to, this->entries[to]->OnFleetEvidence("e" + std::to_string(from),
                                                     evidence, this->now));
        }
      }
    }
    this->After(kShareInterval, [this] { this->ShareEvidence(); });
  }

  void MoveSlowness() {
    const bool is_slow = this->now >= this->Start() + this->scene.slow_from;
    const std::size_t first = this->random.Below(kServers);
    for (std::size_t i = 0; i < kServers; ++i) {
      this->servers[(first + i * kStride) % kServers].is_slow =
          is_slow && i < this->scene.slow_servers;
    }
    this->After(kSlowFor, [this] { this->MoveSlowness(); });
  }

  const Scene scene;
  SeededRandom random{11};
  TimePoint now{seconds(1000)};
  std::uint64_t last_order = 0;
  RequestId last_request;
  ServiceView view;
  std::array<Server, kServers> servers;
  std::vector<std::unique_ptr<Dispatcher>> entries;
  std::array<std::optional<TimePoint>, kEntries> timers;
  std::priority_queue<Event> events;
  std::map<RequestId, std::pair<TimePoint, bool>> pending;
  std::vector<double> latencies;
  Figures figures;
};

Figures Measure(const char* name, const Scene& scene) {
  const Figures figures = Simulation(scene).Run();
  const auto count = [&figures](HedgeEvent event) {
    return figures.events[static_cast<std::size_t>(event)];
  };
  // Shown with the option -s.
  UNSCOPED_INFO(
      name << ": p95 " << figures.p95 << " ms, p99 " << figures.p99
           << " ms, p99.9 " << figures.p999 << " ms, attempts beyond requests "
           << 100 * (figures.attempts / figures.requests - 1) << " %, sent "
           << count(HedgeEvent::kSent) << ", won " << count(HedgeEvent::kWon)
           << ", wasted " << count(HedgeEvent::kWasted) << ", refused "
           << count(HedgeEvent::kRefusedByLimit) << ", most in 10 s "
           << figures.MaxHedgePercentIn(10) << " %");
  return figures;
}

// Guards against hedging that adds load without shortening the slowest answers.
TEST_CASE("Hedging shortens the slowest answers within its limit") {
  Scene scene;
  scene.hedgeable = false;
  const Figures without = Measure("no hedging", scene);
  scene.hedgeable = true;
  const Figures overdue = Measure("limit 0, overdue attempts hedged", scene);
  scene.hedge_percent = 5;
  const Figures with = Measure("limit 5 %", scene);
  CHECK(overdue.events == std::array<int, kHedgeEventCount>{});
  CHECK(with.p99 < 0.6 * without.p99);
  CHECK(with.p999 < 0.6 * without.p999);
  CHECK(with.attempts <= 1.05 * with.requests);
  CHECK(with.MaxHedgePercentIn(120) <= 5);
  CHECK(with.unfinished == 0);
}

// Guards against a limit that fails when the whole service becomes slow and all
// requests are slower than they were.
TEST_CASE("The limit holds while a whole service is slow") {
  Scene scene;
  scene.requests_per_second = 100;
  scene.hedge_percent = 5;
  scene.slow_servers = kServers;
  scene.slow_factor = 2;
  scene.slow_from = seconds(120);
  const Figures slow = Measure("all slow from 120 s on, limit 5 %", scene);
  CHECK(slow.events[static_cast<std::size_t>(HedgeEvent::kSent)] > 0);
  CHECK(slow.MaxHedgePercentIn(120) <= 5);
  CHECK(slow.attempts <= 1.05 * slow.requests);
}

// Guards against hedges that push a loaded service over the edge.
TEST_CASE("A service short of room is not hedged") {
  Scene scene;
  scene.requests_per_second = 400;
  scene.hedge_percent = 5;
  const Figures loaded = Measure("92 % load, limit 5 %", scene);
  CHECK(loaded.attempts <= 1.01 * loaded.requests);
}

}  // namespace
}  // namespace acacia
