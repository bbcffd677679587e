// Builds the fleets that the measurements share, and computes figures from the
// completed requests.
#ifndef TEST_PERFORMANCE_BENCH_TABLES_H_
#define TEST_PERFORMANCE_BENCH_TABLES_H_

#include "test/performance/dispatch_bench.h"

namespace acacia::bench {

enum class Version { kRoundRobin, kRetryOnly, kPresent };

inline const char* Name(Version version) {
  switch (version) {
    case Version::kRoundRobin:
      return "round robin";
    case Version::kRetryOnly:
      return "retry only";
    case Version::kPresent:
      return "present";
  }
  return "";
}

inline ServiceView MakeView(std::uint32_t entries,
                            std::uint32_t backends,
                            std::uint32_t slots) {
  ServiceView view;
  for (std::uint32_t i = 0; i < entries; ++i) {
    view.entries.emplace_back("entry-" + std::to_string(i));
  }
  for (std::uint32_t i = 0; i < backends; ++i) {
    view.backend_servers.push_back(
        {BackendId("10.0.0." + std::to_string(i) + ":80"), {}, slots});
  }
  return view;
}

inline std::vector<std::unique_ptr<Entry>> MakeEntries(Version version,
                                                       const ServiceView& view,
                                                       std::uint64_t seed) {
  std::vector<std::unique_ptr<Entry>> entries;
  for (std::uint32_t i = 0; i < view.entries.size(); ++i) {
    if (version == Version::kPresent) {
      entries.push_back(std::make_unique<DispatcherEntry>(
          view.entries[i], seed * 1000 + i, view, TimePoint(seconds(1000))));
    } else {
      entries.push_back(std::make_unique<RoundRobinEntry>(
          view, i * 7, version == Version::kRetryOnly ? 3 : 1));
    }
  }
  return entries;
}

inline double Exponential(RandomSource& random, double mean) {
  return -mean * std::log(1 - random.Fraction());
}

// Standard normal, by the Box-Muller transform.
inline double Normal(RandomSource& random) {
  const double radius = std::sqrt(-2 * std::log(1 - random.Fraction()));
  return radius * std::cos(2 * M_PI * random.Fraction());
}

// Log-normal latency with the given median and sigma.
inline Duration NoisyLatency(RandomSource& random,
                             Duration median,
                             double sigma) {
  return FromSeconds(Seconds(median) * std::exp(sigma * Normal(random)));
}

// `deadline` is relative to the request's arrival; Bench::Request makes it
// absolute.
inline Work MakeWork(WorkClass work_class, bool idempotent, Duration deadline) {
  Work work;
  work.work_class = work_class;
  work.idempotent = idempotent;
  work.hedgeable = idempotent && work_class == WorkClass::kShort;
  work.deadline = TimePoint{} + deadline;
  return work;
}

inline double QuantileMs(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto nth = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + nth, values.end());
  return values[static_cast<std::size_t>(nth)] * 1000;
}

struct RequestCounts {
  std::uint32_t requests = 0;
  std::uint32_t answered = 0;
  std::uint32_t shed_while_free = 0;
  std::vector<double> latencies;
  double Share() const {
    return this->requests == 0 ? 0 : 1.0 * this->answered / this->requests;
  }
};

// Prints how many requests ended with each kind of error.
inline void PrintRefusalKinds(const Bench& bench) {
  std::map<std::string_view, int> kinds;
  for (const CompletedRequest& end : bench.completed) {
    if (!end.answered) {
      ++kinds[AnswerFor(end.kind).name];
    }
  }
  std::printf("             told:");
  for (const auto& [name, count] : kinds) {
    std::printf(" %s %d", std::string(name).c_str(), count);
  }
  std::printf("\n");
}

// Counts the requests that arrived in [from, to). Those refused while at least
// `free_slots` slots were free count as shed_while_free.
inline RequestCounts Count(const Bench& bench,
                           WorkClass work_class,
                           TimePoint from,
                           TimePoint to,
                           std::uint32_t free_slots) {
  RequestCounts counts;
  for (const CompletedRequest& end : bench.completed) {
    if (end.work.work_class != work_class || end.arrived < from ||
        end.arrived >= to) {
      continue;
    }
    ++counts.requests;
    if (end.answered) {
      ++counts.answered;
      counts.latencies.push_back(Seconds(end.latency));
    } else if (end.free_slots >= free_slots) {
      ++counts.shed_while_free;
    }
  }
  return counts;
}

}  // namespace acacia::bench

#endif  // TEST_PERFORMANCE_BENCH_TABLES_H_
