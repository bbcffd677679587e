// Healthy backend servers that are avoided by mistake: noisy latencies, a
// service that turns slow as a whole, a crest, rare errors, an entry cut off
// from all. Nobody is sick here, so every avoidance is a mistake. The baseline
// is a plain rule: avoid for 10 s after 5 failures or slow answers (over 3
// times the service's mean) in a row.
#include "test/performance/bench_tables.h"

using namespace acacia;         // NOLINT(google-build-using-namespace)
using namespace acacia::bench;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint32_t kEntries = 36;
constexpr std::uint32_t kBackends = 25;
constexpr std::uint32_t kSlots = 3;
constexpr Duration kServiceTime = milliseconds(20);
constexpr std::uint64_t kSeeds = 4;
constexpr std::uint32_t kInARow = 5;
constexpr Duration kPlainAvoidance = seconds(10);
const TimePoint kStart{seconds(1000)};
const TimePoint kEnd = kStart + seconds(60);

struct Scenario {
  const char* name;
  double rate;
  std::function<double(TimePoint)> load;
  Behaviour behaviour;
};

double Since(TimePoint now) {
  return Seconds(now - kStart);
}

Behaviour Healthy(double sigma) {
  return [sigma](const Arrival&, RandomSource& random) {
    return Reply{AttemptResult::kSuccess, Noisy(random, kServiceTime, sigma)};
  };
}

double Flat(TimePoint) {
  return 1;
}

const Scenario kScenarios[] = {
    {"noise, sigma 0.5", 1500, Flat, Healthy(0.5)},
    {"noise, sigma 1", 1000, Flat, Healthy(1)},
    {"noise, low traffic", 150, Flat, Healthy(1)},
    {"service slow 10x", 150, Flat,
     [](const Arrival& arrival, RandomSource& random) {
       const bool slow = Since(arrival.now) > 20 && Since(arrival.now) < 40;
       return Reply{AttemptResult::kSuccess,
                    Noisy(random, kServiceTime * (slow ? 10 : 1), 0.3)};
     }},
    {"service slow 10x", 600, Flat,
     [](const Arrival& arrival, RandomSource& random) {
       const bool slow = Since(arrival.now) > 20 && Since(arrival.now) < 40;
       return Reply{AttemptResult::kSuccess,
                    Noisy(random, kServiceTime * (slow ? 10 : 1), 0.5)};
     }},
    {"crest 10x", 800,
     [](TimePoint now) {
       return Since(now) > 20 && Since(now) < 40 ? 10.0 : 1.0;
     },
     Healthy(0.5)},
    {"errors 1 %", 1500, Flat,
     [](const Arrival&, RandomSource& random) {
       return Reply{random.Below(100) == 0 ? AttemptResult::kServerError
                                           : AttemptResult::kSuccess,
                    Noisy(random, kServiceTime, 0.5)};
     }},
    {"errors 50 % for all", 1500, Flat,
     [](const Arrival& arrival, RandomSource& random) {
       const bool bad = Since(arrival.now) > 20 && random.Below(2) == 0;
       return Reply{bad ? AttemptResult::kServerError : AttemptResult::kSuccess,
                    Noisy(random, kServiceTime, 0.5)};
     }},
    {"one entry cut off", 1500, Flat,
     [](const Arrival& arrival, RandomSource& random) {
       const bool cut = arrival.entry == 5 && Since(arrival.now) > 20;
       return cut ? Reply{AttemptResult::kTimedOut, seconds(5)}
                  : Reply{AttemptResult::kSuccess,
                          Noisy(random, kServiceTime, 0.5)};
     }},
};

// Counts what the plain rule would avoid, from the same answers.
class PlainRule {
 public:
  void Add(const Arrival& arrival, const Reply& reply) {
    State& state = this->states[{arrival.entry, arrival.backend}];
    const double latency = Seconds(reply.after);
    const bool bad =
        reply.result != AttemptResult::kSuccess ||
        (this->answers > 100 && latency > 3 * this->sum / this->answers);
    this->sum += latency;
    this->answers += 1;
    state.in_a_row = bad ? state.in_a_row + 1 : 0;
    if (state.in_a_row >= kInARow && arrival.now >= state.until) {
      state.until = arrival.now + kPlainAvoidance;
      state.in_a_row = 0;
      ++this->avoided;
    }
  }
  std::uint32_t avoided = 0;

 private:
  struct State {
    std::uint32_t in_a_row = 0;
    TimePoint until{};
  };
  std::map<std::pair<std::uint32_t, std::uint32_t>, State> states;
  double sum = 0;
  double answers = 0;
};

struct Mistakes {
  std::size_t requests = 0;
  std::uint32_t plain = 0;
  std::uint32_t present = 0;
};

Mistakes Run(const Scenario& scenario, std::uint64_t seed) {
  const ServiceView view = MakeView(kEntries, kBackends, kSlots);
  PlainRule plain;
  Bench bench(MakeEntries(Version::kPresent, view, seed), view,
              [&](const Arrival& arrival, RandomSource& random) {
                const Reply reply = scenario.behaviour(arrival, random);
                plain.Add(arrival, reply);
                return reply;
              });
  bench.Offer([&](TimePoint now) { return scenario.rate * scenario.load(now); },
              [](RandomSource& random) {
                return MakeWork(WorkClass::kShort, random.Below(4) > 0,
                                seconds(5));
              });
  // An avoidance is counted once: from the poll that first shows it.
  std::set<std::pair<std::uint32_t, std::string>> avoided;
  std::uint32_t verdicts = 0;
  for (TimePoint at = kStart; at < kEnd; at += milliseconds(250)) {
    bench.RunUntil(at);
    std::set<std::pair<std::uint32_t, std::string>> present;
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      for (const auto& item : bench.entries[i]->Real()->TakeEvidence(at)) {
        if (item.avoided) {
          present.insert({i, item.address});
          verdicts += avoided.contains({i, item.address}) ? 0 : 1;
        }
      }
    }
    avoided = present;
  }
  return {bench.ended.size(), plain.avoided, verdicts};
}

void Measure(const Scenario& scenario) {
  Mistakes sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Mistakes mistakes = Run(scenario, seed);
    sum.requests += mistakes.requests;
    sum.plain += mistakes.plain;
    sum.present += mistakes.present;
  }
  std::printf("%-20s %7.0f %10zu %12u %12u\n", scenario.name, scenario.rate,
              sum.requests, sum.plain, sum.present);
}

}  // namespace

int main() {
  std::printf("%-20s %7s %10s %12s %12s\n", "scenario", "req/s", "requests",
              "plain rule", "present");
  for (const Scenario& scenario : kScenarios) {
    Measure(scenario);
  }
}
