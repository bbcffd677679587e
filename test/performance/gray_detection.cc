// Measures how long a backend server with a gray failure keeps receiving
// traffic: for each failure mode, the time from onset until 95 % less traffic
// arrives there (over windows of 2 s), and the share of its usual traffic that
// arrives over 60 s. There are 40 entries, each of which sees a small part of
// the traffic. Also prints the callers' share of errors and latency.
#include "test/performance/bench_tables.h"

using namespace acacia;         // NOLINT(google-build-using-namespace)
using namespace acacia::bench;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint32_t kEntries = 40;
constexpr std::uint32_t kBackends = 25;
constexpr std::uint32_t kSlots = 3;
constexpr std::uint32_t kFaultyBackend = 3;
constexpr Duration kServiceTime = milliseconds(20);
constexpr Duration kSilentReplyTime = seconds(5);
constexpr Duration kWindow = seconds(2);
const TimePoint kStart{seconds(1000)};
const TimePoint kOnset = kStart + seconds(10);
const TimePoint kEnd = kOnset + seconds(60);

struct Mode {
  const char* name;
  // How the faulty backend server answers an attempt.
  std::function<Reply(const Arrival&, RandomSource&, Reply healthy)> reply;
};

Reply ReplyAfter(AttemptResult result, Duration after) {
  return {result, after};
}

const Mode kModes[] = {
    {"slow, 10 times",
     [](const Arrival&, RandomSource&, Reply healthy) {
       return ReplyAfter(healthy.result, healthy.after * 10);
     }},
    {"slow, 4 times",
     [](const Arrival&, RandomSource&, Reply healthy) {
       return ReplyAfter(healthy.result, healthy.after * 4);
     }},
    {"errors",
     [](const Arrival&, RandomSource&, Reply) {
       return ReplyAfter(AttemptResult::kServerError, milliseconds(2));
     }},
    {"errors, 30 %",
     [](const Arrival&, RandomSource& random, Reply healthy) {
       return random.Below(10) < 3
                  ? ReplyAfter(AttemptResult::kServerError, milliseconds(2))
                  : healthy;
     }},
    {"silent",
     [](const Arrival&, RandomSource&, Reply) {
       return ReplyAfter(AttemptResult::kTimedOut, kSilentReplyTime);
     }},
    {"truncating",
     [](const Arrival&, RandomSource&, Reply healthy) {
       return ReplyAfter(AttemptResult::kTruncated, healthy.after);
     }},
    {"wrong answer",
     [](const Arrival&, RandomSource&, Reply healthy) {
       return ReplyAfter(AttemptResult::kMismatched, healthy.after);
     }},
    {"half the entries",
     [](const Arrival& arrival, RandomSource&, Reply healthy) {
       return arrival.entry % 2 == 0
                  ? ReplyAfter(AttemptResult::kTimedOut, kSilentReplyTime)
                  : healthy;
     }},
    {"flapping, 5 s",
     [](const Arrival& arrival, RandomSource&, Reply healthy) {
       const bool faulty = (arrival.now - kOnset) / seconds(5) % 2 == 0;
       return faulty ? ReplyAfter(AttemptResult::kServerError, milliseconds(2))
                     : healthy;
     }},
};

std::uint32_t ArrivalsAt(const Bench& bench,
                         TimePoint from,
                         TimePoint to,
                         bool even_entries_only) {
  std::uint32_t count = 0;
  for (const auto& [at, entry] : bench.received_attempts[kFaultyBackend]) {
    const bool included = !even_entries_only || entry % 2 == 0;
    count += included && at >= from && at < to ? 1 : 0;
  }
  return count;
}

// Seconds from onset to the first window with at most 5 % of the usual
// arrivals, or -1 when there is none.
double TimeToAvoid(const Bench& bench, bool even_entries_only) {
  const double usual =
      ArrivalsAt(bench, kOnset - seconds(8), kOnset, even_entries_only) *
      Seconds(kWindow) / 8;
  for (TimePoint at = kOnset; at + kWindow <= kEnd; at += milliseconds(100)) {
    if (ArrivalsAt(bench, at, at + kWindow, even_entries_only) <=
        usual * 0.05) {
      return Seconds(at - kOnset);
    }
  }
  return -1;
}

void Measure(Version version, const Mode& mode, double rate) {
  const ServiceView view = MakeView(kEntries, kBackends, kSlots);
  Bench bench(MakeEntries(version, view, 1), view,
              [&mode](const Arrival& arrival, RandomSource& random) {
                const Reply healthy{AttemptResult::kSuccess,
                                    NoisyLatency(random, kServiceTime, 0.5)};
                const bool faulty =
                    arrival.backend == kFaultyBackend && arrival.now >= kOnset;
                return faulty ? mode.reply(arrival, random, healthy) : healthy;
              });
  bench.OfferLoad([rate](TimePoint) { return rate; },
                  [](RandomSource& random) {
                    return MakeWork(WorkClass::kShort, random.Below(4) > 0,
                                    seconds(5));
                  });
  bench.RunUntil(kEnd);
  const bool even_only = std::string(mode.name) == "half the entries";
  const double usual = ArrivalsAt(bench, kOnset - seconds(8), kOnset, false) /
                       8.0 * Seconds(kEnd - kOnset);
  const RequestCounts counts = Count(bench, WorkClass::kShort, kOnset,
                                     kEnd - seconds(6), kBackends * kSlots);
  std::printf("%-12s %-17s %7.0f %9.1f %9.1f%% %9.2f%% %8.1f\n", Name(version),
              mode.name, rate, TimeToAvoid(bench, even_only),
              100 * ArrivalsAt(bench, kOnset, kEnd, false) / usual,
              100 * (1 - counts.Share()), QuantileMs(counts.latencies, 0.99));
}

}  // namespace

int main() {
  std::printf("%-12s %-17s %7s %9s %10s %10s %8s\n", "version", "mode", "req/s",
              "time s", "got in 60s", "errors", "p99 ms");
  for (const Mode& mode : kModes) {
    Measure(Version::kRetryOnly, mode, 1500);
    Measure(Version::kPresent, mode, 1500);
    Measure(Version::kPresent, mode, 300);
  }
}
