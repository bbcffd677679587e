// Service through a demand swing: 10 times the demand within two seconds and
// back. 36 entries, 25 backend servers of 3 slots, requests of 20 ms.
// Prints, for each phase: share answered, latencies, requests shed while at
// least a tenth of the slots stood free, share of the slots in use, and when
// the service was whole again after the crest.
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

// Seconds: 0-5 calm, 5-7 rising, 7-12 crest, 12-14 falling, then calm.
double RateAt(TimePoint now) {
  const double t = Seconds(now - kStart);
  const double up = std::clamp((t - 5) / 2, 0.0, 1.0);
  const double down = std::clamp((t - 12) / 2, 0.0, 1.0);
  return kBaseRate * (1 + (kCrest - 1) * (up - down));
}

// When after the fall every half second answered 99 % again.
double RecoveredAfter(const Bench& bench) {
  double recovered = 0;
  for (double t = 14; t < 20; t += 0.5) {
    const Tally tally = Count(bench, WorkClass::kShort, kStart + FromSeconds(t),
                              kStart + FromSeconds(t + 0.5), 1);
    if (tally.Share() < 0.99) {
      recovered = t + 0.5 - 14;
    }
  }
  return recovered;
}

void Measure(Version version) {
  const ServiceView view = MakeView(36, kBackends, kSlots);
  Bench bench(
      MakeEntries(version, view, 1), view,
      [](const Arrival&, RandomSource& random) {
        return Reply{AttemptResult::kSuccess, Noisy(random, kServiceTime, 0.3)};
      });
  bench.Offer(RateAt, [](RandomSource&) {
    return MakeWork(WorkClass::kShort, true, kDeadline);
  });
  bench.RunUntil(kStart + seconds(22));
  const std::pair<const char*, std::pair<int, int>> phases[] = {
      {"calm", {1, 5}}, {"crest", {7, 12}}, {"after", {14, 20}}};
  for (const auto& [phase, range] : phases) {
    const Tally tally =
        Count(bench, WorkClass::kShort, kStart + seconds(range.first),
              kStart + seconds(range.second), kBackends * kSlots / 10);
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
      Name(version), RecoveredAfter(bench),
      1.0 * bench.attempts / bench.ended.size(),
      100.0 * bench.refused_attempts / bench.attempts);
  PrintKinds(bench);
}

}  // namespace

int main() {
  std::printf("%-12s %-6s %8s %10s %8s %8s %12s %10s\n", "version", "phase",
              "requests", "answered", "p50 ms", "p99 ms", "shed w. free",
              "of slots");
  for (const Version version :
       {Version::kRoundRobin, Version::kRetryOnly, Version::kPresent}) {
    Measure(version);
  }
}
