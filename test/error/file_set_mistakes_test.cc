#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/file_set.h"

namespace acacia {
namespace {

// A valid file set with the given text inserted into the service, the route and
// the top level.
std::string Set(const std::string& service,
                const std::string& route,
                const std::string& more) {
  return "{\n\"services\": [\n{\"name\": \"kehto\"" + service +
         "},\n{\"name\": \"uniikki\", \"discovery\": \"uniikki\"}],\n"
         "\"routes\": [\n{\"name\": \"all\", \"path_prefix\": \"/\"" +
         route + "}]\n" + more + "}";
}

constexpr char kBackends[] =
    ", \"backend_servers\": [{\"address\": \"10.0.0.1:80\", "
    "\"failure_domain\": \"a\"}]";
constexpr char kToKehto[] = ", \"service\": \"kehto\"";

struct Case {
  const char* field;
  const char* message;
  std::string service;
  std::string route;
  std::string more;
};

std::vector<Case> ServiceCases() {
  return {
      {"services[0].floor_percent", "101 is out of range",
       ", \"floor_percent\": 101", "", ""},
      {"services[0].slots_per_backend_server", "0 is out of range",
       ", \"slots_per_backend_server\": 0", "", ""},
      {"services[0].max_connections_per_backend_server", "0 is out of range",
       ", \"max_connections_per_backend_server\": 0", "", ""},
      {"services[0].progress_timeout_ms", "0 is out of range",
       ", \"progress_timeout_ms\": 0", "", ""},
      {"services[0].long_slots_percent", "101 is out of range",
       ", \"long_slots_percent\": 101", "", ""},
      {"services[0].long_slots_percent", "long work may hold every slot",
       ", \"slots_per_backend_server\": 2, \"long_slots_percent\": 100", "",
       ""},
      {"services[0].retry_budget_percent", "101 is out of range",
       ", \"retry_budget_percent\": 101", "", ""},
      {"services[0].floor_percent", "expected a whole number",
       ", \"floor_percent\": -1", "", ""},
      {"services[0].floor_percent", "expected a whole number",
       ", \"floor_percent\": \"50\"", "", ""},
      {"services[0].queue_length", "expected a whole number",
       ", \"queue_length\": 4294967296", "", ""},
      {"services[0].flor_percent", "unknown field", ", \"flor_percent\": 50",
       "", ""},
      {"services[0].backend_servers", "both backend_servers and discovery",
       ", \"discovery\": \"kehto\"", "", ""},
      {"services[0].name", "stands twice", ", \"name\": \"kehto\"", "", ""},
  };
}

std::vector<Case> OtherCases() {
  return {
      {"routes[0].deadline_ms", "0 is out of range", "", ", \"deadline_ms\": 0",
       ""},
      {"routes[0].host", "is not a host name", "",
       ", \"host\": \"http://kehto\"", ""},
      {"routes[0].methods[1]", "is not a method", "",
       ", \"methods\": [\"GET\", \"post\"]", ""},
      {"routes[0].methods[1]", "stands twice", "",
       ", \"methods\": [\"GET\", \"GET\"]", ""},
      {"routes[0].work_class", "not one of the known names", "",
       ", \"work_class\": \"Medium\"", ""},
      {"routes[0].claim_keys", "expected true or false", "",
       ", \"claim_keys\": 1", ""},
      {"accounts[1].name", "stands twice", "", "",
       R"(, "accounts": [{"name": "a"}, {"name": "a"}])"},
      {"accounts[0].name", "is not an account name", "", "",
       R"(, "accounts": [{"name": "a b"}])"},
      {"drain_rules[0].service", "no service is named", "", "",
       R"(, "drain_rules": [{"name": "d", "service": "x",
           "failure_domain": "a"}])"},
      {"drain_rules[0].addresses", "drains nothing", "", "",
       R"(, "drain_rules": [{"name": "d", "service": "kehto"}])"},
      {"drain_rules[0].addresses[0]", "is no backend server of", "", "",
       R"(, "drain_rules": [{"name": "d", "service": "kehto",
           "addresses": ["10.0.0.2:80"]}])"},
      {"drain_rules[0].failure_domain", "is in \"b\"", "", "",
       R"(, "drain_rules": [{"name": "d", "service": "kehto",
           "failure_domain": "b"}])"},
      {"stop_plans[0].instances", "stops nothing", "", "",
       R"(, "stop_plans": [{"name": "s"}])"},
      {"stop_plans[0].instances[1]", "stands twice", "", "",
       R"(, "stop_plans": [{"name": "s", "instances": ["e", "e"]}])"},
      {"stop_plans[0].max_stopping_percent", "0 is out of range", "", "",
       R"(, "stop_plans": [{"name": "s", "failure_domain": "a",
           "max_stopping_percent": 0}])"},
      {"stop_plans[0].name", "is not a name", "", "",
       R"(, "stop_plans": [{"name": "a plan", "failure_domain": "a"}])"},
  };
}

TEST_CASE("each mistake in a file set is named by field and message") {
  REQUIRE(ParseFileSet({{"f", Set(kBackends, kToKehto, "")}}));
  std::vector<Case> cases = ServiceCases();
  for (const Case& c : OtherCases()) {
    cases.push_back(c);
  }
  for (const Case& c : cases) {
    const auto set = ParseFileSet(
        {{"f", Set(kBackends + c.service, kToKehto + c.route, c.more)}});
    INFO(c.field << " " << c.message);
    REQUIRE_FALSE(set);
    INFO(DescribeAll(set.error()));
    REQUIRE(set.error().size() == 1);
    CHECK(set.error()[0].field == c.field);
    CHECK(set.error()[0].message.find(c.message) != std::string::npos);
    CHECK(set.error()[0].line >= 3);
    CHECK_FALSE(set.error()[0].Describe().empty());
  }
}

struct WholeTextCase {
  const char* field;
  const char* message;
  std::string text;
};

TEST_CASE("mistakes that concern what a field holds or lacks") {
  const std::string backend = R"({"services": [{"name": "s",
      "backend_servers": [{"address": ")";
  const std::string routes = R"({"services": [{"name": "s",
      "discovery": "s"}], "routes": [)";
  const std::vector<WholeTextCase> cases{
      {"services", "holds no service", "{}"},
      {"services[0].name", "is required",
       R"({"services": [{"discovery": "s"}]})"},
      {"services[0].name", "is not a name",
       R"({"services": [{"name": "a/b", "discovery": "s"}]})"},
      {"services[0].discovery", "is not a name",
       R"({"services": [{"name": "s", "discovery": "a b"}]})"},
      {"services[0].backend_servers", "neither",
       R"({"services": [{"name": "s"}]})"},
      {"services[0].backend_servers[0].address", "is not an address",
       backend + "localhost:80\"}]}]}"},
      {"services[0].backend_servers[0].address", "is not an address",
       backend + "10.0.0.1\"}]}]}"},
      {"services[0].backend_servers[0].address", "is not an address",
       backend + "10.0.0.1:0\"}]}]}"},
      {"services[0].backend_servers[1].address", "stands twice",
       backend + "10.0.0.1:1\"}, {\"address\": \"10.0.0.1:1\"}]}]}"},
      {"services", "expected a list", R"({"services": {}})"},
      {"services[0]", "expected an object", R"({"services": [7]})"},
      {"routes[0].service", "no service is named \"t\"",
       routes + R"({"name": "r", "path_prefix": "/", "service": "t"}]})"},
      {"routes[0].path_prefix", "is not a path",
       routes + R"({"name": "r", "path_prefix": "a", "service": "s"}]})"},
      {"routes[0].path_prefix", "is not a path",
       routes + R"({"name": "r", "path_prefix": "/a?b", "service": "s"}]})"},
      {"", "not JSON", R"({"services": [})"},
      {"", "not JSON", "{} {}"},
      {"", "not JSON", ""},
      {"", "not JSON", std::string("{}\0{}", 5)},
  };
  for (const WholeTextCase& c : cases) {
    const auto set = ParseFileSet({{"f", c.text}});
    INFO(c.field << " " << c.message << " " << c.text);
    REQUIRE_FALSE(set);
    CHECK(set.error()[0].field == c.field);
    CHECK(set.error()[0].message.find(c.message) != std::string::npos);
  }
}

TEST_CASE("routes overlap by host, path and method, over all files") {
  const std::string services =
      R"({"services": [{"name": "s", "discovery": "s"}]})";
  const auto overlaps = [&](const std::string& one, const std::string& other) {
    const auto file = [](const std::string& name, const std::string& rest) {
      return NamedText{name, R"({"routes": [{"service": "s", "name": ")" +
                                 name + "\"," + rest + "}]}"};
    };
    const auto set =
        ParseFileSet({{"s", services}, file("one", one), file("two", other)});
    return !set && set.error()[0].file == "two" &&
           set.error()[0].hint.find("one:1") != std::string::npos;
  };
  const std::string get = R"("path_prefix": "/a", "methods": ["GET"])";
  const std::string put = R"("path_prefix": "/a/", "methods": ["GET", "PUT"])";
  CHECK(overlaps(get, put));
  CHECK(overlaps(get, R"("path_prefix": "/a")"));
  CHECK(overlaps(R"("path_prefix": "/a")", get));
  CHECK(overlaps(R"("host": "H.x", "path_prefix": "/")",
                 R"("host": "h.X", "path_prefix": "/")"));
  CHECK_FALSE(overlaps(get, R"("path_prefix": "/a", "methods": ["PUT"])"));
  CHECK_FALSE(overlaps(get, R"("path_prefix": "/b")"));
  CHECK_FALSE(overlaps(get, R"("host": "h", "path_prefix": "/a")"));
}

TEST_CASE("every mistake of every file is listed at once, in order") {
  const auto set = ParseFileSet(
      {{"a",
        "{\"services\": [\n{\"name\": \"s\", \"floor_percent\": 200,\n"
        "\"flor\": 1}],\n\"rutes\": []}"},
       {"b", "{\n\"routes\": [{\"name\": \"r\", \"service\": \"x\"}]}"}});
  REQUIRE_FALSE(set);
  std::vector<std::string> found;
  for (const UserError& error : set.error()) {
    found.push_back(error.file + ":" + std::to_string(error.line) + " " +
                    error.field);
  }
  CHECK(found == std::vector<std::string>{"a:2 services[0].floor_percent",
                                          "a:2 services[0].backend_servers",
                                          "a:3 services[0].flor", "a:4 rutes",
                                          "b:2 routes[0].path_prefix",
                                          "b:2 routes[0].service"});
}

TEST_CASE("references are not checked while a file cannot be read") {
  const auto set = ParseFileSet(
      {{"a", "{"}, {"b", R"({"routes": [{"name": "r", "service": "s",
                             "path_prefix": "/"}]})"}});
  REQUIRE_FALSE(set);
  REQUIRE(set.error().size() == 1);
  CHECK(set.error()[0].file == "a");
  CHECK(set.error()[0].line == 1);
}

TEST_CASE("an account without a name limits callers that name none") {
  CHECK(ParseFileSet(
      {{"f", Set(kBackends, kToKehto, R"(, "accounts": [{"name": ""}])")}}));
}

TEST_CASE("a folder that is missing or empty is a mistake") {
  const auto set = ReadFileSet(std::string(ACACIA_BINARY_DIR) + "/nowhere");
  REQUIRE_FALSE(set);
  CHECK(set.error()[0].message.find("cannot be read") != std::string::npos);
  const auto none = ReadFileSet(std::string(ACACIA_SOURCE_DIR) + "/scripts");
  REQUIRE_FALSE(none);
  CHECK(none.error()[0].message == "holds no *.json file");
}

}  // namespace
}  // namespace acacia
