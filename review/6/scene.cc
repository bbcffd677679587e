// Case 6: an endpoint sends a second copy of a refusal, late, on a connection
// on which the entry has sent the same request again.
#include <csignal>
#include <filesystem>

#include "review/standins-2/world2.h"

namespace {

constexpr int kEntries = 32;
constexpr int kEndpoints = 10;
// The doses of "garble, extra late" in the site file: share 0.6, x 0.03,
// for_s 5.
constexpr int kFaulty = 6;
constexpr double kCopied = 0.03;
constexpr double kWindow = 5;
constexpr double kPeriod = 5.2;
constexpr double kRate = 120;
constexpr double kLength = 85;

}  // namespace

int main(int argc, char** argv) {
  using namespace review;
  OpenRecord(argc > 1 ? argv[1] : "record.txt");
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-6-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    Finish(2, "no temporary folder");
  }
  Ledger ledger;
  Store store(Host(200));
  store.Put("op", "config",
            Configuration(1, {{"book", "/book/", "kehto", "unsafe", 1, 5}},
                          {"kehto"}));
  std::atomic<double> begin{1e9};
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string id = "i-" + std::to_string(i + 1);
    endpoints.push_back(std::make_unique<Endpoint>(
        store, Host(201 + i), Endpoint::Options{id, "kehto", "a", 2, 2}));
    endpoints.back()->on_run = [&ledger, id](const Request& request) {
      ledger.OnRun(request.id, id);
    };
    if (i < kFaulty) {
      endpoints.back()->extra = [&begin](const Request&,
                                         const std::string& answer) {
        thread_local std::mt19937_64 random(std::random_device{}());
        const double passed = Now() - begin;
        const bool in_window =
            passed > 0 && passed < kLength &&
            passed - kPeriod * static_cast<int>(passed / kPeriod) < kWindow;
        const bool copies =
            HasTrouble() && in_window &&
            std::uniform_real_distribution<double>(0, 1)(random) < kCopied;
        return copies ? answer : std::string();
      };
    }
    endpoints.back()->Register();
  }
  Fleet fleet;
  for (int i = 0; i < kEntries; ++i) {
    fleet.entries.push_back(
        std::make_unique<Entry>(i + 1, i % 2 == 0 ? "a" : "b", store.Address(),
                                folder, Entry::Bounds()));
  }
  if (!fleet.Start(20)) {
    Finish(2, "the entries did not get ready");
  }
  begin = Now();
  std::mutex mutex;
  std::vector<std::pair<std::string, Outcome>> outcomes;
  std::vector<std::thread> clients;
  const int count = static_cast<int>(kRate * kLength);
  std::atomic<int> next{0};
  for (int worker = 0; worker < 500; ++worker) {
    clients.emplace_back([&] {
      for (int i = next++; i < count; i = next++) {
        SleepUntil(begin + i / kRate);
        const std::string id = NewId();
        const std::string front =
            fleet.entries[static_cast<std::size_t>(i * 7 % kEntries)]->Front();
        Outcome outcome =
            Send(front, "POST", "/book/" + id, id, std::string(300, 'b'), 8);
        const std::lock_guard lock(mutex);
        outcomes.emplace_back(id, std::move(outcome));
      }
    });
  }
  for (std::thread& each : clients) {
    each.join();
  }
  // What still runs may end.
  SleepFor(3);
  fleet.KillAll();
  std::filesystem::remove_all(folder);
  int twice = 0;
  int refused = 0;
  int served = 0;
  int refusals = 0;
  for (const auto& [id, outcome] : outcomes) {
    const std::vector<std::string> runs = ledger.RunsOf(id);
    served += outcome.status == 200 ? 1 : 0;
    const bool promised = outcome.status == 503 || outcome.status == 429;
    refusals += promised ? 1 : 0;
    if (runs.size() > 1) {
      ++twice;
      Record("TWICE: " + id + " ran " + std::to_string(runs.size()) +
             " times; the client got " + std::to_string(outcome.status));
    }
    if (promised && !runs.empty()) {
      ++refused;
      Record("REFUSED: " + id + " was answered " +
             std::to_string(outcome.status) + " and ran at " + runs.front());
    }
  }
  const std::string text = std::to_string(outcomes.size()) +
                           " unsafe requests, " + std::to_string(served) +
                           " served, " + std::to_string(refusals) +
                           " refused; TWICE " + std::to_string(twice) +
                           ", REFUSED " + std::to_string(refused);
  Finish(twice + refused > 0 ? 1 : 0, text);
}
