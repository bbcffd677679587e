#include "src/router.h"

#include <catch2/catch.hpp>

#include "src/random_source.h"

namespace acacia {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  return route;
}

TEST_CASE("router prefers the exact host, then the longest prefix") {
  Configuration configuration;
  configuration.routes = {MakeRoute("any", "", "/"),
                          MakeRoute("takes", "", "/takes"),
                          MakeRoute("host", "kehto.example", "/")};
  const Router router(configuration);
  CHECK((*router.Find("other", "/x", "GET"))->name == "any");
  CHECK((*router.Find("other", "/takes/7", "GET"))->name == "takes");
  CHECK((*router.Find("other", "/takesome", "GET"))->name == "any");
  CHECK((*router.Find("KEHTO.example:8080", "/takes", "GET"))->name == "host");
}

// Guards ROUTE: a path without a prefix's last slash went to that prefix.
TEST_CASE("a trailing slash is part of a route's prefix") {
  Configuration configuration;
  configuration.routes = {MakeRoute("slots", "", "/slots/"),
                          MakeRoute("late", "", "/slots/2f/")};
  const Router router(configuration);
  CHECK((*router.Find("h", "/slots/2f", "GET"))->name == "slots");
  CHECK((*router.Find("h", "/slots/2f/", "GET"))->name == "late");
  CHECK((*router.Find("h", "/slots/2f/x", "GET"))->name == "late");
  CHECK((*router.Find("h", "/slots/2fx", "GET"))->name == "slots");
  CHECK(router.Find("h", "/slots", "GET").error() == ErrorKind::kNoRoute);
}

// Compares all routes one by one.
std::string FindPlainly(const Configuration& configuration,
                        const std::string& host,
                        const std::string& path) {
  const Route* best = nullptr;
  for (const std::string& wanted : {host, std::string()}) {
    for (const Route& route : configuration.routes) {
      const std::string& prefix = route.path_prefix;
      const bool takes_path =
          route.host == wanted && path.starts_with(prefix) &&
          (prefix.ends_with('/') || path.size() == prefix.size() ||
           path[prefix.size()] == '/');
      if (takes_path &&
          (best == nullptr || prefix.size() > best->path_prefix.size())) {
        best = &route;
      }
    }
    if (best != nullptr) {
      return best->name;
    }
  }
  return "";
}

TEST_CASE("the router finds the same routes as a plain comparison") {
  SeededRandom random(31);
  const std::vector<std::string> segments{"a", "b",  "aa", "%2f", "a%2Fb",
                                          ".", "..", "",   "a;b", "A"};
  const auto draw_path = [&](bool may_be_empty) {
    std::string path;
    const std::uint64_t count = random.Below(4) + (may_be_empty ? 0 : 1);
    for (std::uint64_t i = 0; i < count; ++i) {
      path += "/" + segments[random.Below(segments.size())];
    }
    return path.empty() || random.Below(2) == 0 ? path + "/" : path;
  };
  const std::vector<std::string> hosts{"", "h", "other"};
  for (int round = 0; round < 300; ++round) {
    Configuration configuration;
    for (int i = 0; i < 12; ++i) {
      configuration.routes.push_back(
          MakeRoute("r" + std::to_string(i), hosts[random.Below(hosts.size())],
                    draw_path(true)));
    }
    const Router router(configuration);
    for (int i = 0; i < 60; ++i) {
      const std::string host = hosts[1 + random.Below(2)];
      const std::string path = draw_path(false);
      INFO("round " << round << ", " << host << " " << path);
      const auto found = router.Find(host, path, "GET");
      CHECK((found ? (*found)->name : "") ==
            FindPlainly(configuration, host, path));
    }
  }
}

TEST_CASE("router tells a wrong method from a missing route") {
  Configuration configuration;
  configuration.routes = {MakeRoute("post", "", "/a")};
  configuration.routes[0].methods = {"POST"};
  const Router router(configuration);
  CHECK(router.Find("h", "/a", "GET").error() == ErrorKind::kMethodNotAllowed);
  CHECK(router.Find("h", "/b", "GET").error() == ErrorKind::kNoRoute);
  CHECK(router.Find("h", "/a/b", "POST").has_value());
}

}  // namespace
}  // namespace acacia
