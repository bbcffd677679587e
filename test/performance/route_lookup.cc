// Prints the time of one route lookup against the number of routes.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "src/configuration.h"
#include "src/router.h"

namespace acacia {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kLookups = 200000;
constexpr int kMeasureRounds = 7;
constexpr int kHosts = 250;

std::string HostOf(int i) {
  return "service-" + std::to_string(i % kHosts) + ".example";
}

std::string PrefixOf(int i) {
  return "/area-" + std::to_string(i / kHosts) + "/things";
}

Configuration MakeConfiguration(int routes) {
  Configuration configuration;
  for (int i = 0; i < routes; ++i) {
    Route route;
    route.name = "route-" + std::to_string(i);
    route.host = HostOf(i);
    route.path_prefix = PrefixOf(i);
    configuration.routes.push_back(std::move(route));
  }
  return configuration;
}

struct Query {
  std::string host;
  std::string path;
};

// Nanoseconds per lookup in one round; every result is checked.
double MeasureOnce(const Router& router,
                   const std::vector<Query>& queries,
                   bool expect_route) {
  const auto start = SteadyClock::now();
  for (int i = 0; i < kLookups; ++i) {
    const Query& query = queries[static_cast<std::size_t>(i) % queries.size()];
    if (router.Find(query.host, query.path, "GET").has_value() !=
        expect_route) {
      std::puts("wrong result");
      std::exit(1);
    }
  }
  const std::chrono::duration<double, std::nano> elapsed =
      SteadyClock::now() - start;
  return elapsed.count() / kLookups;
}

// The minimum of several rounds, since other load on the machine only adds
// time.
double Measure(const Router& router,
               const std::vector<Query>& queries,
               bool expect_route) {
  double fastest_ns = MeasureOnce(router, queries, expect_route);
  for (int i = 1; i < kMeasureRounds; ++i) {
    fastest_ns =
        std::min(fastest_ns, MeasureOnce(router, queries, expect_route));
  }
  return fastest_ns;
}

void Run() {
  std::puts("| routes | build ms | found ns | no route ns |");
  std::puts("|---:|---:|---:|---:|");
  for (const int routes : {100, 1000, 5000, 10000, 26000}) {
    const Configuration configuration = MakeConfiguration(routes);
    const auto start = SteadyClock::now();
    const Router router(configuration);
    const std::chrono::duration<double, std::milli> build =
        SteadyClock::now() - start;
    std::mt19937 random(1);
    std::vector<Query> found;
    std::vector<Query> missing;
    for (int i = 0; i < 4096; ++i) {
      const int route = static_cast<int>(random() % routes);
      found.push_back({HostOf(route), PrefixOf(route) + "/17/details"});
      missing.push_back({HostOf(route), "/elsewhere/17/details"});
    }
    std::printf("| %d | %.1f | %.0f | %.0f |\n", routes, build.count(),
                Measure(router, found, true), Measure(router, missing, false));
  }
}

}  // namespace
}  // namespace acacia

int main() {
  acacia::Run();
  return 0;
}
