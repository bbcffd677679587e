// Case 8: a late heartbeat lists an endpoint again after its registration was
// removed.
#include <filesystem>

#include "review/standins-2/world2.h"

namespace {

constexpr int kEntries = 2;
constexpr int kEndpoints = 4;
constexpr double kRate = 40;
constexpr double kLength = 18;
// The store accepts the removal at this time. Its disruption has ended over
// stableS (3 s) before.
constexpr double kRemoved = 8;
constexpr double kLostBeat = kRemoved - 3.2;
// "late (done 1 to 6 s later)"
constexpr double kLateBy = 6;
constexpr double kDrain = 2;
// The endpoint goes on serving for drainS and some seconds.
constexpr double kServes = 7;

}  // namespace

int main(int argc, char** argv) {
  using namespace review;
  OpenRecord(argc > 1 ? argv[1] : "record.txt");
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-8-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    Finish(2, "no temporary folder");
  }
  Ledger ledger;
  Store store(Host(200));
  store.Put("op", "config",
            Configuration(1, {{"book", "/book/", "kehto", "unsafe", 2, 5}},
                          {"kehto"}));
  std::atomic<double> removed_at{1e9};
  std::atomic<int> late{0};
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string id = "i-" + std::to_string(i + 1);
    endpoints.push_back(std::make_unique<Endpoint>(
        store, Host(201 + i), Endpoint::Options{id, "kehto", "a", 6, 24, 0.3}));
    endpoints.back()->on_run = [&, i, id](const Request& request) {
      ledger.OnRun(request.id, id);
      if (i == 0 && Now() > removed_at + kDrain) {
        ++late;
        Record("DRAIN: " + request.id + " reaches " + id + " " +
               std::to_string(Now() - removed_at) +
               " s after the store acknowledged that it is gone");
      }
    };
    endpoints.back()->Register();
  }
  Fleet fleet;
  for (int i = 0; i < kEntries; ++i) {
    fleet.entries.push_back(std::make_unique<Entry>(i + 1, "a", store.Address(),
                                                    folder, Entry::Bounds()));
  }
  if (!fleet.Start(20)) {
    Finish(2, "the entries did not get ready");
  }
  const double begin = Now();
  std::mutex mutex;
  std::vector<std::pair<std::string, Outcome>> outcomes;
  std::vector<std::thread> clients;
  const int count = static_cast<int>(kRate * kLength);
  std::atomic<int> next{0};
  for (int worker = 0; worker < 100; ++worker) {
    clients.emplace_back([&] {
      for (int i = next++; i < count; i = next++) {
        SleepUntil(begin + i / kRate);
        const std::string id = NewId();
        Outcome outcome =
            Send(fleet.entries[static_cast<std::size_t>(i % kEntries)]->Front(),
                 "POST", "/book/" + id, id, std::string(300, 'b'), 8);
        const std::lock_guard lock(mutex);
        outcomes.emplace_back(id, std::move(outcome));
      }
    });
  }
  SleepUntil(begin + kLostBeat);
  if (HasTrouble()) {
    endpoints.front()->BeatLate(kLateBy);
  }
  SleepUntil(begin + kRemoved);
  endpoints.front()->Unregister();
  removed_at = Now();
  Record("the store acknowledges the removal of i-1");
  SleepUntil(begin + kRemoved + kServes);
  endpoints.front()->Exit();
  Record("i-1 exits");
  // Three heartbeat intervals after its last heartbeat.
  SleepUntil(begin + kLostBeat + kLateBy + 4.5);
  store.Remove("servers", "i-1");
  for (std::thread& each : clients) {
    each.join();
  }
  fleet.KillAll();
  std::filesystem::remove_all(folder);
  int lost = 0;
  for (const auto& [id, outcome] : outcomes) {
    const auto runs = ledger.RunsOf(id);
    if (outcome.status != 200 && !runs.empty()) {
      ++lost;
      Record("lost: " + id + " ran at " + runs.front() + ", its client got " +
             std::to_string(outcome.status));
    }
  }
  Finish(late > 0 ? 1 : 0,
         std::to_string(outcomes.size()) + " unsafe requests; " +
             std::to_string(late) +
             " reached the endpoint later than drainS after the removal was "
             "acknowledged; " +
             std::to_string(lost) + " ran and were not answered");
}
