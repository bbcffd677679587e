// The operator adds a route whose prefix is longer than the path that callers
// use by the slash at its end. That prefix does not begin the path, so the
// callers' requests stay on the old route, in both configurations.
#include "world.h"

namespace {

using review::Record;

constexpr int kCallersPerEntry = 2;
constexpr double kBeforeS = 3;
constexpr double kAfterS = 10;
constexpr char kPath[] = "/slots/2f";

std::atomic<int> run_by_kehto{0};
std::atomic<int> run_by_uniikki{0};

bool Run(review::Server& self,
         review::Stream& stream,
         const review::ServerRequest& request) {
  Record("run " + request.id + " " + request.target + " at " + self.id +
         " of " + self.service);
  if (request.target == kPath) {
    ++(self.service == "kehto" ? run_by_kehto : run_by_uniikki);
  }
  return review::AnswerPlain(stream, request, "by " + self.service, 0.05);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  review::OpenRecord(argv[1]);
  const std::string ip = review::NewIp();
  review::Store store(ip);
  std::vector<std::unique_ptr<review::Server>> servers;
  for (int i = 0; i < 6; ++i) {
    servers.push_back(std::make_unique<review::Server>(
        ip, "i-" + std::to_string(i), i % 2 == 0 ? "kehto" : "uniikki",
        "tampere", Run));
    store.Put("servers", servers.back()->id,
              servers.back()->Registration("ready", 1));
  }
  const review::RouteText slots{"slots", "/slots/", "unsafe", "kehto", 5};
  const review::RouteText takes{"takes", "/takes/", "safe", "uniikki", 4};
  const review::RouteText added{"added", "/slots/2f/", "unsafe", "uniikki", 5};
  const std::set<std::string> services = {"kehto", "uniikki"};
  store.Put("op", "config",
            review::ConfigurationText(7, {slots, takes}, services));
  std::vector<std::unique_ptr<review::Entry>> entries;
  std::vector<review::Entry*> all;
  for (int i = 0; i < 3; ++i) {
    entries.push_back(std::make_unique<review::Entry>(
        "edge-tampere-" + std::to_string(i + 1), "tampere", store.Where()));
    entries.back()->Start();
    all.push_back(entries.back().get());
  }
  if (!review::WaitUntilReady(all, 20)) {
    Record("the entries are not ready");
    review::Finish(2);
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));

  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  for (review::Entry* entry : all) {
    for (int i = 0; i < kCallersPerEntry; ++i) {
      callers.emplace_back([&, entry] {
        auto stream = review::Connect(entry->Front(), 1);
        while (!stop && stream) {
          const std::string id = review::NewRequestId();
          Record("send " + id + " POST " + kPath + " to " + entry->name);
          const auto answer =
              review::Ask(*stream, "POST", kPath, id, "a booking", 10000);
          Record("answer " + id + " status " + std::to_string(answer.status) +
                 " \"" + answer.body + "\"");
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
  std::this_thread::sleep_for(std::chrono::duration<double>(kBeforeS));
  if (review::HasTrouble()) {
    Record("the operator adds the route " + added.prefix + " to " +
           added.service);
    store.Put("op", "config",
              review::ConfigurationText(9, {slots, takes, added}, services));
  }
  std::this_thread::sleep_for(std::chrono::duration<double>(kAfterS));
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  Record(std::string("requests for ") + kPath + " run by kehto " +
         std::to_string(run_by_kehto) + ", by uniikki " +
         std::to_string(run_by_uniikki));
  Record(run_by_uniikki > 0 ? "ROUTE is broken" : "ROUTE held");
  review::Finish(run_by_uniikki > 0 ? 1 : answered > 0 ? 0 : 2);
}
