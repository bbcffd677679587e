// How soon the whole fleet stops sending to a sick backend server, and how many
// healthy ones are ejected by mistake: evidence pooled by the agents against a
// breaker in each entry that sees only its own attempts. 40 entries, 20 backend
// servers, uniform load at low traffic.
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
constexpr int kSickSeconds = 300;
constexpr double kHealthyFailures = 0.02;

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
  // Seconds until no entry sent to the sick backend server for 10 s.
  int all_stopped = -1;
  int attempts_at_sick = 0;
  int false_ejections = 0;
};

class Trial {
 public:
  Trial(bool pooled, double requests_per_second, double sick_failures, int seed)
      : pooled(pooled),
        rate(requests_per_second),
        sick_failures(sick_failures),
        random(static_cast<std::uint64_t>(seed)),
        fleet(static_cast<std::uint64_t>(seed)) {}

  Result Run() {
    Apply(this->fleet.platform,
          {MakeFileSet(kServers), "w", "operator", std::nullopt});
    this->fleet.StartMany(kEntries);
    Result result;
    int last_sent = 0;
    for (this->second = 0; this->second < kWarmUpSeconds + kSickSeconds;
         ++this->second) {
      const int before = result.attempts_at_sick;
      this->RunSecond(result);
      if (result.attempts_at_sick != before) {
        last_sent = this->second;
      }
      const bool sick_now = this->second >= kWarmUpSeconds;
      if (sick_now && result.all_stopped < 0 &&
          this->second - last_sent >= 10) {
        result.all_stopped = last_sent - kWarmUpSeconds + 1;
      }
    }
    return result;
  }

 private:
  // One entry's link to one healthy backend server is bad all the time.
  bool Fails(const std::string& entry, int server) {
    const bool sick = server == 0 && this->second >= kWarmUpSeconds;
    const bool bad_link = entry == "n7" && server == 5;
    const double share =
        sick || bad_link ? this->sick_failures : kHealthyFailures;
    return this->random.Fraction() < share;
  }

  void RunSecond(Result& result) {
    for (const auto& [name, node] : this->fleet.nodes) {
      std::map<int, std::pair<std::uint32_t, std::uint32_t>> counts;
      const double whole = this->rate + this->random.Fraction();
      for (int i = 0; i < static_cast<int>(whole); ++i) {
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
        this->CountFalse(name, server, result);
      }
    }
  }

  void SendOne(const std::string& name,
               std::map<int, std::pair<std::uint32_t, std::uint32_t>>& counts,
               Result& result) {
    int server = 0;
    do {
      server = static_cast<int>(this->random.Below(kServers));
    } while (this->IsOut(name, server));
    const bool failed = this->Fails(name, server);
    ++counts[server].first;
    counts[server].second += failed ? 1 : 0;
    this->breakers[{name, server}].OnAttempt(failed, this->second);
    result.attempts_at_sick += server == 0 && this->second >= kWarmUpSeconds;
  }

  bool IsOut(const std::string& name, int server) {
    if (this->pooled) {
      return this->fleet.Ejected(name).count("b" + std::to_string(server)) != 0;
    }
    return this->breakers[{name, server}].IsOpen(this->second);
  }

  // Counts each entry's each change to "out" of a healthy backend server.
  void CountFalse(const std::string& name, int server, Result& result) {
    bool& was_out = this->out[{name, server}];
    const bool is_out = this->IsOut(name, server);
    result.false_ejections += is_out && !was_out;
    was_out = is_out;
  }

  bool pooled;
  double rate;
  double sick_failures;
  SeededRandom random;
  FakeFleet fleet;
  int second = 0;
  std::map<std::pair<std::string, int>, LocalBreaker> breakers;
  std::map<std::pair<std::string, int>, bool> out;
};

void Compare(double rate, double sick_failures) {
  for (const bool pooled : {false, true}) {
    std::vector<int> stopped;
    int never = 0;
    int attempts = 0;
    int wrong = 0;
    constexpr int kTrials = 5;
    for (int seed = 1; seed <= kTrials; ++seed) {
      const Result result = Trial(pooled, rate, sick_failures, seed).Run();
      never += result.all_stopped < 0;
      stopped.push_back(result.all_stopped < 0 ? kSickSeconds
                                               : result.all_stopped);
      attempts += result.attempts_at_sick;
      wrong += result.false_ejections;
    }
    std::sort(stopped.begin(), stopped.end());
    std::printf("%7.1f %6.0f%% %8s %8d %8d %6d/%d %10d %8.1f\n", rate,
                sick_failures * 100, pooled ? "pooled" : "local", stopped[2],
                stopped.back(), never, kTrials, attempts / kTrials,
                static_cast<double>(wrong) / kTrials);
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
