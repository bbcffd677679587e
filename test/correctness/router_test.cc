#include "src/router.h"

#include <catch2/catch.hpp>

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
