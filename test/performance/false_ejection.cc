// Counts false avoidances of backend servers: with noisy latencies, a service
// that is slow as a whole, a surge of demand, errors, and an entry cut off from
// all backend servers. No single backend server is faulty, so every avoidance
// is false. The baseline avoids a backend server for 10 s after 5 failures or
// slow answers (over 3 times the service's mean) in a row.
#include "test/performance/bench_tables.h"

using namespace acacia;         // NOLINT(google-build-using-namespace)
using namespace acacia::bench;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint32_t kEntries = 36;
constexpr std::uint32_t kBackends = 25;
constexpr std::uint32_t kSlots = 3;
constexpr Duration kServiceTime = milliseconds(20);
constexpr std::uint64_t kSeeds = 4;
constexpr std::uint32_t kFailuresInARowToAvoid = 5;
constexpr Duration kBaselineAvoidanceTime = seconds(10);
const TimePoint kStart{seconds(1000)};
const TimePoint kEnd = kStart + seconds(60);

struct Scenario {
  const char* name;
  double rate;
  std::function<double(TimePoint)> load;
  Behaviour behaviour;
};

double SecondsSinceStart(TimePoint now) {
  return Seconds(now - kStart);
}

Behaviour Healthy(double sigma) {
  return [sigma](const Arrival&, RandomSource& random) {
    return Reply{AttemptResult::kSuccess,
                 NoisyLatency(random, kServiceTime, sigma)};
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
       const bool slow = SecondsSinceStart(arrival.now) > 20 &&
                         SecondsSinceStart(arrival.now) < 40;
       return Reply{AttemptResult::kSuccess,
                    NoisyLatency(random, kServiceTime * (slow ? 10 : 1), 0.3)};
     }},
    {"service slow 10x", 600, Flat,
     [](const Arrival& arrival, RandomSource& random) {
       const bool slow = SecondsSinceStart(arrival.now) > 20 &&
                         SecondsSinceStart(arrival.now) < 40;
       return Reply{AttemptResult::kSuccess,
                    NoisyLatency(random, kServiceTime * (slow ? 10 : 1), 0.5)};
     }},
    {"crest 10x", 800,
     [](TimePoint now) {
       return SecondsSinceStart(now) > 20 && SecondsSinceStart(now) < 40 ? 10.0
                                                                         : 1.0;
     },
     Healthy(0.5)},
    {"errors 1 %", 1500, Flat,
     [](const Arrival&, RandomSource& random) {
       return Reply{random.Below(100) == 0 ? AttemptResult::kServerError
                                           : AttemptResult::kSuccess,
                    NoisyLatency(random, kServiceTime, 0.5)};
     }},
    {"errors 50 % for all", 1500, Flat,
     [](const Arrival& arrival, RandomSource& random) {
       const bool bad =
           SecondsSinceStart(arrival.now) > 20 && random.Below(2) == 0;
       return Reply{bad ? AttemptResult::kServerError : AttemptResult::kSuccess,
                    NoisyLatency(random, kServiceTime, 0.5)};
     }},
    {"one entry cut off", 1500, Flat,
     [](const Arrival& arrival, RandomSource& random) {
       const bool cut =
           arrival.entry == 5 && SecondsSinceStart(arrival.now) > 20;
       return cut ? Reply{AttemptResult::kTimedOut, seconds(5)}
                  : Reply{AttemptResult::kSuccess,
                          NoisyLatency(random, kServiceTime, 0.5)};
     }},
};

// Counts the avoidances of the baseline rule, given the same answers.
class BaselineRule {
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
    if (state.in_a_row >= kFailuresInARowToAvoid &&
        arrival.now >= state.until) {
      state.until = arrival.now + kBaselineAvoidanceTime;
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

struct FalseAvoidances {
  std::size_t requests = 0;
  std::uint32_t baseline = 0;
  std::uint32_t present = 0;
};

FalseAvoidances Run(const Scenario& scenario, std::uint64_t seed) {
  const ServiceView view = MakeView(kEntries, kBackends, kSlots);
  BaselineRule baseline;
  Bench bench(MakeEntries(Version::kPresent, view, seed), view,
              [&](const Arrival& arrival, RandomSource& random) {
                const Reply reply = scenario.behaviour(arrival, random);
                baseline.Add(arrival, reply);
                return reply;
              });
  bench.OfferLoad(
      [&](TimePoint now) { return scenario.rate * scenario.load(now); },
      [](RandomSource& random) {
        return MakeWork(WorkClass::kShort, random.Below(4) > 0, seconds(5));
      });
  // An avoidance is counted once, at the poll that first shows it.
  std::set<std::pair<std::uint32_t, std::string>> avoided;
  std::uint32_t dispatcher_avoidances = 0;
  for (TimePoint at = kStart; at < kEnd; at += milliseconds(250)) {
    bench.RunUntil(at);
    std::set<std::pair<std::uint32_t, std::string>> present;
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      for (const auto& item :
           bench.entries[i]->AsDispatcher()->TakeEvidence(at)) {
        if (item.avoided) {
          present.insert({i, item.address});
          dispatcher_avoidances += avoided.contains({i, item.address}) ? 0 : 1;
        }
      }
    }
    avoided = present;
  }
  return {bench.completed.size(), baseline.avoided, dispatcher_avoidances};
}

void Measure(const Scenario& scenario) {
  FalseAvoidances sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FalseAvoidances run = Run(scenario, seed);
    sum.requests += run.requests;
    sum.baseline += run.baseline;
    sum.present += run.present;
  }
  std::printf("%-20s %7.0f %10zu %12u %12u\n", scenario.name, scenario.rate,
              sum.requests, sum.baseline, sum.present);
}

}  // namespace

int main() {
  std::printf("%-20s %7s %10s %12s %12s\n", "scenario", "req/s", "requests",
              "plain rule", "present");
  for (const Scenario& scenario : kScenarios) {
    Measure(scenario);
  }
}
