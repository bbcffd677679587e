// Measures how long an accepted configuration takes to be in force at every
// entry, and the bytes sent for it: fleets of agents over fake links with 1 ms
// per hop (25 ms from the second row on) and a manual clock.
#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "src/log_event.h"
#include "test/coord_fakes.h"

namespace acacia {
namespace {

void AddRoutes(schema::FileSetT& set, int count) {
  for (int i = 0; i < count; ++i) {
    auto route = std::make_unique<schema::RouteT>();
    route->name = "route-" + std::to_string(i);
    route->host = "host-" + std::to_string(i) + ".example";
    route->path_prefix = "/";
    route->service = "kehto";
    set.routes.push_back(std::move(route));
  }
}

// Seconds from acceptance until the configuration was in force at the first and
// at the last agent.
struct Spread {
  double first = 0;
  double last = 0;
  double bytes_per_node = 0;
  std::uint64_t reads = 0;
};

Spread ApplyAndWait(FakeFleet& fleet,
                    const schema::FileSetT& set,
                    const std::string& id) {
  const auto outcome =
      Apply(fleet.platform, {set, id, "operator", std::nullopt});
  const Generation generation = std::get<PublishAccepted>(outcome).generation;
  const TimePoint start = fleet.clock.Now();
  const auto seconds = [&] {
    return std::chrono::duration<double>(fleet.clock.Now() - start).count();
  };
  Spread spread;
  fleet.peer_bytes = 0;
  fleet.platform.reads = 0;
  std::size_t done = 0;
  while (done < fleet.nodes.size() && seconds() < 120) {
    fleet.Run(std::chrono::milliseconds(20));
    done = static_cast<std::size_t>(std::count_if(
        fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& node) {
          return !node.second.generations.empty() &&
                 node.second.generations.back() == generation;
        }));
    if (done > 0 && spread.first == 0) {
      spread.first = seconds();
    }
  }
  spread.last = seconds();
  spread.reads = fleet.platform.reads;
  spread.bytes_per_node = static_cast<double>(fleet.peer_bytes) /
                          static_cast<double>(fleet.nodes.size());
  return spread;
}

void Measure(int nodes,
             int routes,
             int applies,
             std::chrono::milliseconds hop) {
  FakeFleet fleet(static_cast<std::uint64_t>(nodes));
  fleet.hop = hop;
  schema::FileSetT set = MakeFileSet(20);
  AddRoutes(set, routes);
  fleet.StartMany(nodes, 15);
  fleet.Run(std::chrono::seconds(30));
  ApplyAndWait(fleet, set, "w0");
  std::vector<Spread> all;
  for (int i = 0; i < applies; ++i) {
    fleet.Run(std::chrono::milliseconds(7300));
    set.routes[static_cast<std::size_t>(i)]->path_prefix += "x";
    all.push_back(ApplyAndWait(fleet, set, "x" + std::to_string(i)));
  }
  std::sort(all.begin(), all.end(),
            [](const Spread& a, const Spread& b) { return a.last < b.last; });
  const Spread& median = all[all.size() / 2];
  std::printf("%6d %7d %5d %9.2f %9.2f %9.2f %11.1f %7llu\n", nodes, routes,
              static_cast<int>(hop.count()), median.first, median.last,
              all.back().last, median.bytes_per_node / 1000,
              static_cast<unsigned long long>(median.reads));
}

}  // namespace
}  // namespace acacia

int main(int argc, char** argv) {
  acacia::StartLogging(argv[0]);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  FLAGS_minloglevel = 2;
  std::printf("one changed route; seconds from acceptance\n");
  std::printf("%6s %7s %5s %9s %9s %9s %11s %7s\n", "nodes", "routes", "hop",
              "first", "last p50", "last max", "kB/node", "reads");
  const bool large = argc > 1 && std::string(argv[1]) == "large";
  acacia::Measure(40, 1000, 20, std::chrono::milliseconds(1));
  acacia::Measure(40, 1000, 20, std::chrono::milliseconds(25));
  if (large) {
    acacia::Measure(1300, 200, 2, std::chrono::milliseconds(25));
  }
  return 0;
}
