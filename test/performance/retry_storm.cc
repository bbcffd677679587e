// Measures retry amplification in a full outage of a service: attempts per
// request. First a published example: 20 requests against a backend server that
// times out give 60 calls with retries alone and 5 with a circuit breaker. Then
// an outage of 20 s with 36 entries, for each kind of failure, and how long the
// service takes to recover after it.
#include "test/performance/bench_tables.h"

using namespace acacia;         // NOLINT(google-build-using-namespace)
using namespace acacia::bench;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kServiceTime = milliseconds(20);
const TimePoint kStart{seconds(1000)};
const TimePoint kOutage = kStart + seconds(5);
const TimePoint kOutageEnd = kOutage + seconds(20);

void MeasureExample(Version version) {
  const ServiceView view = MakeView(1, 3, 5);
  Bench bench(MakeEntries(version, view, 1), view,
              [](const Arrival&, RandomSource&) {
                return Reply{AttemptResult::kTimedOut, milliseconds(32)};
              });
  for (int i = 0; i < 20; ++i) {
    bench.Request(0, MakeWork(WorkClass::kShort, true, seconds(2)));
    bench.RunUntil(bench.now + milliseconds(100));
  }
  bench.RunUntil(bench.now + seconds(5));
  std::printf("%-12s 20 requests: %llu calls\n", Name(version),
              static_cast<unsigned long long>(bench.attempts));
}

void Measure(Version version, const char* name, const Reply& failure) {
  const ServiceView view = MakeView(36, 25, 3);
  Bench bench(MakeEntries(version, view, 1), view,
              [&failure](const Arrival& arrival, RandomSource& random) {
                const bool in_outage =
                    arrival.now >= kOutage && arrival.now < kOutageEnd;
                return in_outage
                           ? failure
                           : Reply{AttemptResult::kSuccess,
                                   NoisyLatency(random, kServiceTime, 0.3)};
              });
  bench.OfferLoad([](TimePoint) { return 1000.0; },
                  [](RandomSource& random) {
                    return MakeWork(WorkClass::kShort, random.Below(4) > 0,
                                    seconds(2));
                  });
  bench.RunUntil(kOutage);
  const std::uint64_t before = bench.attempts;
  bench.RunUntil(kOutageEnd);
  const std::uint64_t attempts = bench.attempts - before;
  bench.RunUntil(kOutageEnd + seconds(20));
  const RequestCounts counts =
      Count(bench, WorkClass::kShort, kOutage, kOutageEnd, 75);
  double recovered_after = 0;
  for (double t = 0; t < 18; t += 0.5) {
    const RequestCounts after =
        Count(bench, WorkClass::kShort, kOutageEnd + FromSeconds(t),
              kOutageEnd + FromSeconds(t + 0.5), 75);
    recovered_after = after.Share() < 0.99 ? t + 0.5 : recovered_after;
  }
  std::printf("%-12s %-14s %8u %9.2f %10.1f\n", Name(version), name,
              counts.requests, 1.0 * attempts / counts.requests,
              recovered_after);
}

}  // namespace

int main() {
  for (const Version version : {Version::kRetryOnly, Version::kPresent}) {
    MeasureExample(version);
  }
  std::printf("%-12s %-14s %8s %9s %10s\n", "version", "outage", "requests",
              "attempts", "whole in s");
  const std::pair<const char*, Reply> failures[] = {
      {"not sent", {AttemptResult::kNotSent, milliseconds(1)}},
      {"refusing", {AttemptResult::kRefused, milliseconds(1)}},
      {"errors", {AttemptResult::kServerError, milliseconds(2)}},
      {"broken", {AttemptResult::kBroken, milliseconds(5)}},
      {"silent", {AttemptResult::kTimedOut, seconds(5)}}};
  for (const auto& [name, reply] : failures) {
    for (const Version version : {Version::kRetryOnly, Version::kPresent}) {
      Measure(version, name, reply);
    }
  }
}
