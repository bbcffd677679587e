// Measures service through a surge of demand to 10 times the base rate: it
// rises within two seconds, lasts five and falls again (crest), or rises and
// falls within one second each (spike). 36 entries, 25 backend servers of 3
// slots, requests of 20 ms. Prints, for each phase: the share answered,
// latencies, requests shed while at least a tenth of the slots were free and
// the share of the slots in use; then how long after the surge the service had
// recovered.
#include "test/performance/bench_tables.h"

using namespace acacia;         // NOLINT(google-build-using-namespace)
using namespace acacia::bench;  // NOLINT(google-build-using-namespace)

namespace {

constexpr double kBaseRate = 800;
constexpr double kCrest = 10;
constexpr std::uint32_t kBackends = 25;
constexpr std::uint32_t kSlots = 3;
constexpr Duration kServiceTime = milliseconds(20);
constexpr Duration kDeadline = seconds(2);
const TimePoint kStart{seconds(1000)};

struct Shape {
  const char* name;
  // Seconds at which demand starts to rise, reaches 10 times the base rate,
  // starts to fall, and is back at the base rate.
  double rise, top, fall, back;
};
constexpr Shape kShapes[] = {{"crest", 5, 7, 12, 14}, {"spike", 5, 6, 6, 7}};

double RateAt(const Shape& shape, TimePoint now) {
  const double t = Seconds(now - kStart);
  const double up =
      std::clamp((t - shape.rise) / (shape.top - shape.rise), 0.0, 1.0);
  const double down =
      std::clamp((t - shape.fall) / (shape.back - shape.fall), 0.0, 1.0);
  return kBaseRate * (1 + (kCrest - 1) * (up - down));
}

// Seconds after the fall from which on each half second had at least 99 %
// answered.
double RecoveredAfter(const Bench& bench, double back) {
  double recovered = 0;
  for (double t = back; t < back + 6; t += 0.5) {
    const RequestCounts counts =
        Count(bench, WorkClass::kShort, kStart + FromSeconds(t),
              kStart + FromSeconds(t + 0.5), 1);
    if (counts.Share() < 0.99) {
      recovered = t + 0.5 - back;
    }
  }
  return recovered;
}

void Measure(const Shape& shape, Version version) {
  const ServiceView view = MakeView(36, kBackends, kSlots);
  Bench bench(MakeEntries(version, view, 1), view,
              [](const Arrival&, RandomSource& random) {
                return Reply{AttemptResult::kSuccess,
                             NoisyLatency(random, kServiceTime, 0.3)};
              });
  const auto rate = [&shape](TimePoint now) { return RateAt(shape, now); };
  bench.OfferLoad(rate, [](RandomSource&) {
    return MakeWork(WorkClass::kShort, true, kDeadline);
  });
  bench.RunUntil(kStart + seconds(22));
  const std::pair<const char*, std::pair<double, double>> phases[] = {
      {"calm", {1, 5}},
      {shape.name, {shape.rise, shape.back}},
      {"after", {shape.back, shape.back + 6}}};
  for (const auto& [phase, range] : phases) {
    const RequestCounts counts =
        Count(bench, WorkClass::kShort, kStart + FromSeconds(range.first),
              kStart + FromSeconds(range.second), kBackends * kSlots / 10);
    const double capacity = kBackends * kSlots / Seconds(kServiceTime) *
                            (range.second - range.first);
    std::printf("%-12s %-6s %8u %9.1f%% %8.1f %8.1f %12u %9.0f%%\n",
                Name(version), phase, counts.requests, counts.Share() * 100,
                QuantileMs(counts.latencies, 0.5),
                QuantileMs(counts.latencies, 0.99), counts.shed_while_free,
                100 * counts.answered / capacity);
  }
  std::printf(
      "%-12s whole again %.1f s after the crest; %.2f attempts a "
      "request, %.0f%% refused\n",
      Name(version), RecoveredAfter(bench, shape.back),
      1.0 * bench.attempts / bench.completed.size(),
      100.0 * bench.refused_attempts / bench.attempts);
  PrintRefusalKinds(bench);
}

}  // namespace

int main() {
  std::printf("%-12s %-6s %8s %10s %8s %8s %12s %10s\n", "version", "phase",
              "requests", "answered", "p50 ms", "p99 ms", "shed w. free",
              "of slots");
  for (const Shape& shape : kShapes) {
    for (const Version version :
         {Version::kRoundRobin, Version::kRetryOnly, Version::kPresent}) {
      Measure(shape, version);
    }
  }
}
