// Measures head-of-line blocking of short requests (20 ms) by long ones, which
// take 75 times as long, on the same service: 36 entries, 20 backend servers of
// 5 slots. Prints the latency of short requests without and with long ones, and
// the share of long requests answered compared with long requests alone.
#include "test/performance/bench_tables.h"

using namespace acacia;         // NOLINT(google-build-using-namespace)
using namespace acacia::bench;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint32_t kBackends = 20;
constexpr std::uint32_t kSlots = 5;
constexpr Duration kShort = milliseconds(20);
constexpr Duration kLong = milliseconds(1500);
const TimePoint kStart{seconds(1000)};
const TimePoint kEnd = kStart + seconds(40);

struct Results {
  RequestCounts short_requests;
  RequestCounts long_requests;
};

Results Run(Version version, double short_rate, double long_rate) {
  const ServiceView view = MakeView(36, kBackends, kSlots);
  Bench bench(MakeEntries(version, view, 1), view,
              [](const Arrival& arrival, RandomSource& random) {
                const bool is_short = arrival.work_class == WorkClass::kShort;
                return Reply{
                    AttemptResult::kSuccess,
                    NoisyLatency(random, is_short ? kShort : kLong, 0.2)};
              });
  const auto offer = [&bench](double rate, WorkClass work_class,
                              bool idempotent, Duration deadline) {
    bench.OfferLoad([rate](TimePoint) { return rate; },
                    [=](RandomSource&) {
                      return MakeWork(work_class, idempotent, deadline);
                    });
  };
  if (short_rate > 0) {
    offer(short_rate, WorkClass::kShort, true, seconds(2));
  }
  if (long_rate > 0) {
    offer(long_rate, WorkClass::kLong, false, seconds(20));
  }
  bench.RunUntil(kEnd);
  const TimePoint from = kStart + seconds(5);
  const TimePoint to = kEnd - seconds(10);
  return {Count(bench, WorkClass::kShort, from, to, 10),
          Count(bench, WorkClass::kLong, from, to, 10)};
}

}  // namespace

int main() {
  std::printf("%-12s %6s %6s %9s %8s %8s %8s %7s %9s %9s %9s\n", "version",
              "short", "long", "answered", "p50 ms", "p99 ms", "p99 alone",
              "ratio", "long ok", "alone ok", "kept");
  for (const Version version :
       {Version::kRoundRobin, Version::kRetryOnly, Version::kPresent}) {
    for (const auto& [short_rate, long_rate] :
         {std::pair(1000.0, 10.0), std::pair(1000.0, 25.0),
          std::pair(1500.0, 40.0)}) {
      const Results alone = Run(version, short_rate, 0);
      const Results long_alone = Run(version, 0, long_rate);
      const Results both = Run(version, short_rate, long_rate);
      const double p99 = QuantileMs(both.short_requests.latencies, 0.99);
      const double p99_alone = QuantileMs(alone.short_requests.latencies, 0.99);
      std::printf(
          "%-12s %6.0f %6.0f %8.1f%% %8.1f %8.1f %8.1f %7.2f %9u %9u %8.0f%%\n",
          Name(version), short_rate, long_rate,
          both.short_requests.Share() * 100,
          QuantileMs(both.short_requests.latencies, 0.5), p99, p99_alone,
          p99 / p99_alone, both.long_requests.answered,
          long_alone.long_requests.answered,
          100.0 * both.long_requests.Share() /
              long_alone.long_requests.Share());
    }
  }
}
