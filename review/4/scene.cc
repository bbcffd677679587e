// A backend server is taken away: its entry in the store is removed, and it
// serves on for some seconds. Others join soon after. At that time one machine
// is partitioned from the store for a third of a second.
#include "world.h"

namespace {

using review::Record;

constexpr double kDrainS = 2;
constexpr double kStableS = 3;
constexpr double kCutS = 0.3;
constexpr double kRemovalAfterCutS = 0.15;
constexpr int kServers = 10;
// A share of 0.3 more.
constexpr int kJoining = 3;
constexpr double kJoinAfterCutS = 0.45;
constexpr double kJoinGapS = 0.15;
// "it continues serving for drainS ... and a little longer (at times many
// seconds), and then exits"
constexpr double kServesOnS = 14;
constexpr int kCallersPerEntry = 4;
constexpr char kLeaver[] = "i-leaves";

std::mutex mutex;
// Arrivals at the leaving server: time and the entry that sent it.
std::vector<std::pair<double, std::string>> arrivals;

bool Run(review::Server& self,
         review::Stream& stream,
         const review::ServerRequest& request) {
  const std::string via = request.headers.Get("via");
  Record("run " + request.id + " at " + self.id + " from " + via);
  if (self.id == kLeaver) {
    const std::lock_guard lock(mutex);
    arrivals.emplace_back(review::SecondsSinceStart(), via);
  }
  return review::AnswerPlain(stream, request, "done", 0.1);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  review::OpenRecord(argv[1]);
  const std::string ip = review::NewIp();
  review::Store store(ip);
  review::Proxy path(ip, store.Where());
  std::vector<std::unique_ptr<review::Server>> servers;
  for (int i = 0; i < kServers + kJoining; ++i) {
    servers.push_back(std::make_unique<review::Server>(
        ip, i == 0 ? kLeaver : "i-" + std::to_string(i), "kehto", "tampere",
        Run));
    if (i < kServers) {
      store.Put("servers", servers.back()->id,
                servers.back()->Registration("ready", 1));
    }
  }
  store.Put("op", "config",
            review::ConfigurationText(
                7, {{"browse", "/browse/", "safe", "kehto", 4}}, {"kehto"}));
  std::vector<std::unique_ptr<review::Entry>> entries;
  std::vector<review::Entry*> all;
  for (int i = 0; i < 3; ++i) {
    entries.push_back(std::make_unique<review::Entry>(
        "edge-tampere-" + std::to_string(i + 1), "tampere",
        i == 1 ? path.Where() : store.Where()));
    entries.back()->Start();
    all.push_back(entries.back().get());
  }
  if (!review::WaitUntilReady(all, 20)) {
    Record("the entries are not ready");
    review::Finish(2);
  }

  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  for (review::Entry* entry : all) {
    for (int i = 0; i < kCallersPerEntry; ++i) {
      callers.emplace_back([&, entry] {
        auto stream = review::Connect(entry->Front(), 1);
        while (!stop && stream) {
          const std::string id = review::NewRequestId();
          Record("send " + id + " to " + entry->name);
          const auto answer =
              review::Ask(*stream, "GET", "/browse/2f", id, "", 8000);
          Record("answer " + id + " status " + std::to_string(answer.status));
          answered += answer.status == 200 ? 1 : 0;
          if (answer.status == 0 ||
              answer.headers.Get("connection") == "close") {
            stream = review::Connect(entry->Front(), 1);
          }
          std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
      });
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  // An earlier change of the table, seen by all.
  store.Put("servers", servers[1]->id, servers[1]->Registration("ready", 2));
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const double cut_at = review::SecondsSinceStart();
  std::thread joining([&] {
    review::SleepUntil(cut_at + kJoinAfterCutS);
    for (int i = kServers; i < kServers + kJoining; ++i) {
      store.Put("servers", servers[i]->id,
                servers[i]->Registration("ready", 1));
      Record(servers[i]->id + " has joined");
      std::this_thread::sleep_for(std::chrono::duration<double>(kJoinGapS));
    }
  });
  if (review::HasTrouble()) {
    path.Cut();
    Record("edge-tampere-2 is cut off from the store");
  }
  review::SleepUntil(cut_at + kRemovalAfterCutS);
  store.Remove("servers", kLeaver);
  const double removed_at = review::SecondsSinceStart();
  Record("the store has acknowledged the removal of servers/" +
         std::string(kLeaver));
  review::SleepUntil(cut_at + kCutS);
  path.Heal();
  const double healed_at = review::SecondsSinceStart();
  Record("edge-tampere-2 reaches the store");
  joining.join();
  review::SleepUntil(removed_at + kServesOnS);
  servers[0]->Stop();
  Record(std::string(kLeaver) + " has ended");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::map<std::string, int> late;
  int total = 0;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [at, via] : arrivals) {
      // All machines are in touch from stableS after the cut.
      if (at > removed_at + kDrainS && at > healed_at + kStableS) {
        ++late[via];
        ++total;
      }
    }
  }
  for (const auto& [via, count] : late) {
    Record("requests that reached it too late, from " + via + ": " +
           std::to_string(count));
  }
  Record(total > 0 ? "DRAIN is broken" : "DRAIN held");
  review::Finish(total > 0 ? 1 : answered > 0 ? 0 : 2);
}
