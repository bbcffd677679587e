// Service through a demand swing: 10 times the demand within two seconds and
// back, after five seconds (crest) or at once (spike). 36 entries, 25 backend
// servers of 3 slots, requests of 20 ms. Prints, for each phase: share
// answered, latencies, requests shed while at least a tenth of the slots stood
// free, share of the slots in use, and when the service was whole again after
// the crest.
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
  // Seconds at which demand begins to rise, is at 10 times, begins to fall, is
  // back.
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

// When after the fall every half second answered 99 % again.
double RecoveredAfter(const Bench& bench, double back) {
  double recovered = 0;
  for (double t = back; t < back + 6; t += 0.5) {
    const Tally tally = Count(bench, WorkClass::kShort, kStart + FromSeconds(t),
                              kStart + FromSeconds(t + 0.5), 1);
    if (tally.Share() < 0.99) {
      recovered = t + 0.5 - back;
    }
  }
  return recovered;
}

void Measure(const Shape& shape, Version version) {
  const ServiceView view = MakeView(36, kBackends, kSlots);
  Bench bench(
      MakeEntries(version, view, 1), view,
      [](const Arrival&, RandomSource& random) {
        return Reply{AttemptResult::kSuccess, Noisy(random, kServiceTime, 0.3)};
      });
  const auto rate = [&shape](TimePoint now) { return RateAt(shape, now); };
  bench.Offer(rate, [](RandomSource&) {
    return MakeWork(WorkClass::kShort, true, kDeadline);
  });
  bench.RunUntil(kStart + seconds(22));
  const std::pair<const char*, std::pair<double, double>> phases[] = {
      {"calm", {1, 5}},
      {shape.name, {shape.rise, shape.back}},
      {"after", {shape.back, shape.back + 6}}};
  for (const auto& [phase, range] : phases) {
    const Tally tally =
        Count(bench, WorkClass::kShort, kStart + FromSeconds(range.first),
              kStart + FromSeconds(range.second), kBackends * kSlots / 10);
    const double capacity = kBackends * kSlots / Seconds(kServiceTime) *
                            (range.second - range.first);
    std::printf("%-12s %-6s %8u %9.1f%% %8.1f %8.1f %12u %9.0f%%\n",
                Name(version), phase, tally.requests, tally.Share() * 100,
                QuantileMs(tally.latencies, 0.5),
                QuantileMs(tally.latencies, 0.99), tally.shed_while_free,
                100 * tally.answered / capacity);
  }
  std::printf(
      "%-12s whole again %.1f s after the crest; %.2f attempts a "
      "request, %.0f%% refused\n",
      Name(version), RecoveredAfter(bench, shape.back),
      1.0 * bench.attempts / bench.ended.size(),
      100.0 * bench.refused_attempts / bench.attempts);
  PrintKinds(bench);
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
