// Measures how soon the whole fleet stops sending to a faulty backend server,
// and how many healthy ones are falsely ejected: with evidence pooled by the
// agents, and with a circuit breaker in each entry that sees only its own
// attempts. 40 entries, 20 backend servers, uniform load at low traffic.
#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <string>

#include "src/log_event.h"
#include "test/coord_fakes.h"

namespace acacia {
namespace {

constexpr int kEntries = 40;
constexpr int kServers = 20;
constexpr int kWarmUpSeconds = 20;
constexpr int kFaultSeconds = 300;
constexpr double kHealthyFailureShare = 0.02;

// Opens after three failures among the last five attempts, for 30 s.
struct LocalBreaker {
  std::deque<bool> recent;
  int open_until = -1;

  void OnAttempt(bool failed, int now) {
    this->recent.push_back(failed);
    if (this->recent.size() > 5) {
      this->recent.pop_front();
    }
    if (std::count(this->recent.begin(), this->recent.end(), true) >= 3) {
      this->open_until = now + 30;
      this->recent.clear();
    }
  }
  bool IsOpen(int now) const { return now < this->open_until; }
};

struct Result {
  // Seconds until no entry sent to the faulty backend server for 10 s; -1 when
  // that never happened.
  int all_stopped = -1;
  int attempts_at_faulty = 0;
  int false_ejections = 0;
};

class Trial {
 public:
  Trial(bool pooled,
        double requests_per_second,
        double faulty_failure_share,
        int seed)
      : pooled(pooled),
        rate(requests_per_second),
        faulty_failure_share(faulty_failure_share),
        random(static_cast<std::uint64_t>(seed)),
        fleet(static_cast<std::uint64_t>(seed)) {}

  Result Run() {
    Apply(this->fleet.platform,
          {MakeFileSet(kServers), "w", "operator", std::nullopt});
    this->fleet.StartMany(kEntries);
    Result result;
    int last_sent = 0;
    for (this->second = 0; this->second < kWarmUpSeconds + kFaultSeconds;
         ++this->second) {
      const int before = result.attempts_at_faulty;
      this->RunSecond(result);
      if (result.attempts_at_faulty != before) {
        last_sent = this->second;
      }
      const bool has_fault = this->second >= kWarmUpSeconds;
      if (has_fault && result.all_stopped < 0 &&
          this->second - last_sent >= 10) {
        result.all_stopped = last_sent - kWarmUpSeconds + 1;
      }
    }
    return result;
  }

 private:
  // One entry's path to one healthy backend server is faulty all the time.
  bool Fails(const std::string& entry, int server) {
    const bool faulty = server == 0 && this->second >= kWarmUpSeconds;
    const bool bad_link = entry == "n7" && server == 5;
    const double share =
        faulty || bad_link ? this->faulty_failure_share : kHealthyFailureShare;
    return this->random.Fraction() < share;
  }

  void RunSecond(Result& result) {
    for (const auto& [name, node] : this->fleet.nodes) {
      std::map<int, std::pair<std::uint32_t, std::uint32_t>> counts;
      const double requests = this->rate + this->random.Fraction();
      for (int i = 0; i < static_cast<int>(requests); ++i) {
        this->SendOne(name, counts, result);
      }
      schema::EntryReportT report;
      for (const auto& [server, count] : counts) {
        auto evidence = std::make_unique<schema::BackendEvidenceT>();
        evidence->service = "kehto";
        evidence->address = "b" + std::to_string(server);
        evidence->attempts = count.first;
        evidence->failures = count.second;
        report.evidence.push_back(std::move(evidence));
      }
      this->fleet.Do(name,
                     node.core->OnEntryReport(report, this->fleet.clock.Now()));
    }
    this->fleet.Run(std::chrono::seconds(1));
    for (const auto& [name, node] : this->fleet.nodes) {
      for (int server = 1; server < kServers; ++server) {
        this->CountFalseEjections(name, server, result);
      }
    }
  }

  void SendOne(const std::string& name,
               std::map<int, std::pair<std::uint32_t, std::uint32_t>>& counts,
               Result& result) {
    int server = 0;
    do {
      server = static_cast<int>(this->random.Below(kServers));
    } while (this->IsEjected(name, server));
    const bool failed = this->Fails(name, server);
    ++counts[server].first;
    counts[server].second += failed ? 1 : 0;
    this->breakers[{name, server}].OnAttempt(failed, this->second);
    result.attempts_at_faulty += server == 0 && this->second >= kWarmUpSeconds;
  }

  bool IsEjected(const std::string& name, int server) {
    if (this->pooled) {
      return this->fleet.Ejected(name).count("b" + std::to_string(server)) != 0;
    }
    return this->breakers[{name, server}].IsOpen(this->second);
  }

  // Counts each time an entry newly treats a healthy backend server as ejected.
  void CountFalseEjections(const std::string& name,
                           int server,
                           Result& result) {
    bool& was_ejected = this->ejected[{name, server}];
    const bool is_ejected = this->IsEjected(name, server);
    result.false_ejections += is_ejected && !was_ejected;
    was_ejected = is_ejected;
  }

  bool pooled;
  double rate;
  double faulty_failure_share;
  SeededRandom random;
  FakeFleet fleet;
  int second = 0;
  std::map<std::pair<std::string, int>, LocalBreaker> breakers;
  std::map<std::pair<std::string, int>, bool> ejected;
};

void Compare(double rate, double faulty_failure_share) {
  for (const bool pooled : {false, true}) {
    std::vector<int> stopped;
    int never = 0;
    int attempts = 0;
    int false_ejections_sum = 0;
    constexpr int kTrials = 5;
    for (int seed = 1; seed <= kTrials; ++seed) {
      const Result result =
          Trial(pooled, rate, faulty_failure_share, seed).Run();
      never += result.all_stopped < 0;
      stopped.push_back(result.all_stopped < 0 ? kFaultSeconds
                                               : result.all_stopped);
      attempts += result.attempts_at_faulty;
      false_ejections_sum += result.false_ejections;
    }
    std::sort(stopped.begin(), stopped.end());
    std::printf("%7.1f %6.0f%% %8s %8d %8d %6d/%d %10d %8.1f\n", rate,
                faulty_failure_share * 100, pooled ? "pooled" : "local",
                stopped[2], stopped.back(), never, kTrials, attempts / kTrials,
                static_cast<double>(false_ejections_sum) / kTrials);
  }
}

}  // namespace
}  // namespace acacia

int main(int /*argc*/, char** argv) {
  acacia::StartLogging(argv[0]);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  FLAGS_minloglevel = 2;
  std::printf("seconds until no entry had sent to the sick one for 10 s\n");
  std::printf("%7s %7s %8s %8s %8s %8s %10s %8s\n", "req/s", "failing", "",
              "median", "max", "never", "attempts", "false");
  for (const double rate : {0.5, 2.0, 10.0}) {
    for (const double failing : {0.6, 1.0}) {
      acacia::Compare(rate, failing);
    }
  }
  return 0;
}
