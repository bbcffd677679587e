// Tests the formats and header names of the host platform's adapter.
#include <catch2/catch.hpp>

#include "platform/configuration_decoder.h"
#include "platform/host_dialect.h"
#include "platform/registration_decoder.h"
#include "src/base64.h"
#include "src/router.h"

namespace acacia::platform {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr char kConfiguration[] = R"({"version":"r12","resources":[
  {"resourceKind":"routes","metadata":{"name":"book"},"spec":{"host":"h",
   "prefix":"/b/","kind":"unsafe","timeoutS":2.5,"targetLatencyS":1.5,
   "priority":1,"service":"kehto","maxAttempts":2}},
  {"resourceKind":"routes","metadata":{"name":"browse"},"spec":{"host":"h",
   "prefix":"/c/","kind":"safe","timeoutS":4,"maxAttempts":3,
   "trafficSplit":[{"service":"kehto","weight":90},
                   {"service":"uniikki","weight":10}]}},
  {"resourceKind":"services","metadata":{"name":"kehto"},
   "spec":{"healthPath":"/health","maxConns":330}},
  {"resourceKind":"services","metadata":{"name":"uniikki"},"spec":{}},
  {"resourceKind":"new","metadata":{"name":"x"},"spec":{}},
  {"resourceKind":"limits","metadata":{},"spec":{"maxBodyBytes":100}}]})";

TEST_CASE("a configuration is decoded into routes, services and limits") {
  const auto read = DecodeConfiguration(kConfiguration, {});
  REQUIRE(read);
  CHECK(read->generation == Generation(12));
  REQUIRE(read->routes.size() == 2);
  const Route& book = read->routes[0];
  CHECK(book.idempotency == Idempotency::kNever);
  CHECK(book.deadline == milliseconds(2500));
  CHECK(book.target_latency == milliseconds(1500));
  CHECK(book.max_attempts == 2);
  CHECK(book.max_body_bytes == 100);
  const Route& browse = read->routes[1];
  CHECK(browse.idempotency == Idempotency::kAlways);
  REQUIRE(browse.split.size() == 2);
  CHECK(browse.split[1].weight == 10);
  CHECK(read->services.at(ServiceName("kehto"))
            .policy.max_connections_per_backend_server == 330);
  const Router router(*read);
  CHECK((*router.Find("h:80", "/b/2f", "POST"))->name == "book");
}

TEST_CASE("a configuration that cannot be read is refused whole") {
  for (const std::string& text : std::vector<std::string>{
           "", "[]", "{", R"({"version":"12","resources":[]})",
           R"({"version":"r1x","resources":[]})", R"({"version":"r1"})",
           R"({"version":"r1","resources":[{"resourceKind":"routes"}]})",
           R"({"version":"r1","resources":[{"resourceKind":"routes",
              "metadata":{"name":"a"},"spec":{"host":"h","prefix":"/",
              "kind":"safe","service":"missing"}}]})"}) {
    INFO(text);
    CHECK_FALSE(DecodeConfiguration(text, {}));
  }
}

constexpr char kRegistration[] =
    R"({"service":"kehto","address":"10.1.0.9:8080","zone":"oulu","slots":6,
        "version":"v1","state":"ready","coldLeftS":1.5,"seq":4,"born":17})";

TEST_CASE("a registration is read, and its incarnation told from others") {
  const auto read = DecodeRegistration("i-1", kRegistration);
  REQUIRE(read);
  CHECK(read->id == BackendId("i-1@17"));
  CHECK(read->server.expected_instance == "i-1");
  CHECK(read->server.address == "10.1.0.9:8080");
  CHECK(read->server.failure_domain == FailureDomain("oulu"));
  CHECK(read->server.slots == 6);
  CHECK(read->cold_remaining == milliseconds(1500));
  CHECK_FALSE(read->leaving);
}

// Guards ROUTE and DRAIN: an entry of another writer without the fields that
// order reports was used as a backend server.
TEST_CASE("a registration with a missing or mistyped field is refused") {
  const std::string good = kRegistration;
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return DecodeRegistration("i-1", text);
  };
  CHECK(with("\"ready\"", "\"draining\"")->leaving);
  CHECK_FALSE(with("\"ready\"", "\"away\""));
  CHECK_FALSE(with("\"ready\"", "7"));
  CHECK_FALSE(with("6", "\"6\""));
  CHECK_FALSE(with("6", "0"));
  CHECK_FALSE(with("6", "-3"));
  CHECK_FALSE(with("10.1.0.9:8080", "somewhere"));
  CHECK_FALSE(with("\"zone\"", "\"zzz\""));
  CHECK_FALSE(with("\"kehto\"", "null"));
  CHECK_FALSE(DecodeRegistration("i-1", "\xff\x00"));
  CHECK_FALSE(with("\"v1\"", "1"));
  CHECK_FALSE(with("\"version\":\"v1\",", ""));
  CHECK_FALSE(with("\"seq\":4", "\"seq\":\"4\""));
  CHECK_FALSE(with("\"seq\":4,", ""));
  CHECK_FALSE(with("1.5", "-1"));
  CHECK_FALSE(with("1.5", "null"));
  CHECK_FALSE(with("\"coldLeftS\":1.5,", ""));
  CHECK_FALSE(with("17", "\"17\""));
  CHECK_FALSE(with("17", "1.5"));
  CHECK(with(",\"born\":17", "")->id == BackendId("i-1"));
}

// Guards LOST: one odd registration stopped the entries that read it.
TEST_CASE("an odd registration by another writer names no backend server") {
  const std::string good = kRegistration;
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  constexpr std::size_t kDepth = 200000;
  const std::string arrays =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string objects;
  for (std::size_t i = 0; i < kDepth / 10; ++i) {
    objects += R"({"a":)";
  }
  objects += "1" + std::string(kDepth / 10, '}');
  const std::vector<std::string> odd{
      arrays,
      objects,
      std::string(kDepth, '['),
      with("\"v1\"", arrays),
      with("\"kehto\"", objects),
      with("6", "1e400"),
      with("6", "1e300"),
      with("6", "18446744073709551616"),
      with("6", "18446744073709551615"),
      with("6", "9007199254740993.5"),
      with("6", "-1e300"),
      with("6", std::string(1000, '9')),
      with("8080", "65536"),
      with("8080", "99999999999999999999"),
      with("8080", "-1"),
      with("8080", "0"),
      with("8080", ""),
      with("10.1.0.9", "10.1.0.256"),
      with("10.1.0.9", ""),
  };
  for (const std::string& text : odd) {
    INFO(text.substr(0, 200));
    CHECK_FALSE(DecodeRegistration("i-1", text));
  }
  for (const std::string number :
       {"1e400", "1e300", "-1e300", "18446744073709551616"}) {
    INFO(number);
    DecodeRegistration("i-1", with("1.5", number));
    DecodeRegistration("i-1", with("\"seq\":4", "\"seq\":" + number));
    DecodeRegistration("i-1", with("17", number));
  }
}

TEST_CASE("how a backend server says that it did not run a request") {
  const Dialect dialect = HostDialect();
  http::response_header<> head;
  head.result(503);
  CHECK_FALSE(dialect.reports_not_run(head));
  head.set("X-Acaciaswitch-Not-Executed", "1");
  CHECK(dialect.reports_not_run(head));
  http::response_header<> moved;
  moved.result(421);
  CHECK(dialect.reports_not_run(moved));
}

TEST_CASE("reported load") {
  const Dialect dialect = HostDialect();
  const auto load = dialect.parse_load("3,1,8");
  REQUIRE(load);
  CHECK(load->running == 3);
  CHECK(load->waiting == 1);
  CHECK(load->slots == 8);
  for (const char* text :
       {"", "3", "3,1", "3,1,", "3,1,8,", "a,b,c", "3;1;8"}) {
    INFO(text);
    CHECK_FALSE(dialect.parse_load(text));
  }
}

TEST_CASE("named rate limits") {
  const Dialect dialect = HostDialect();
  CHECK(dialect.parse_rate_limit("7.8") == 7.8);
  CHECK(dialect.parse_rate_limit("12") == 12.0);
  CHECK(dialect.parse_rate_limit("0") == 0.0);
  for (const char* text : {"", "-1", "1,5", "1e3", "nan", "inf", "4 a"}) {
    INFO(text);
    CHECK_FALSE(dialect.parse_rate_limit(text));
  }
}

TEST_CASE("how a backend server says that it is leaving") {
  const Dialect dialect = HostDialect();
  http::response_header<> head;
  CHECK_FALSE(dialect.announces_leaving(head));
  head.set("Server-Leaving", "0");
  CHECK_FALSE(dialect.announces_leaving(head));
  head.set("server-leaving", "1");
  CHECK(dialect.announces_leaving(head));
}

TEST_CASE("how long a backend server that turns work away wants none") {
  const Dialect dialect = HostDialect();
  const auto pause = [&](const std::vector<std::string>& values,
                         unsigned status = 503) {
    http::response_header<> head;
    head.result(status);
    for (const std::string& value : values) {
      head.insert(http::field::retry_after, value);
    }
    return dialect.read_pause(head);
  };
  CHECK(pause({"5"}) == milliseconds(5000));
  CHECK(pause({"0.25"}) == milliseconds(250));
  CHECK(pause({"1", "3", "2"}) == milliseconds(3000));
  CHECK(pause({"x", "3"}) == milliseconds(3000));
  CHECK(pause({"99999"}) == std::chrono::minutes(10));
  CHECK(pause({"1" + std::string(300, '0')}) == std::chrono::minutes(10));
  const std::vector<std::string> none{"0",
                                      "-1",
                                      "",
                                      "1,2",
                                      "3s",
                                      "+3",
                                      "1e3",
                                      "nan",
                                      "inf",
                                      "0x10",
                                      "Sat, 05 Dec 2026 04:00:00 GMT"};
  for (const std::string& text : none) {
    INFO(text);
    CHECK_FALSE(pause({text}));
  }
  CHECK_FALSE(pause({}));
  CHECK_FALSE(pause({"5"}, 429));
  CHECK_FALSE(pause({"5"}, 200));
}

TEST_CASE("base64 both ways") {
  for (const std::string& text :
       std::vector<std::string>{"", "a", "ab", "abc", std::string("\0x", 2)}) {
    CHECK(DecodeBase64(EncodeBase64(text)) == text);
  }
  CHECK_FALSE(DecodeBase64("abc"));
  CHECK_FALSE(DecodeBase64("a*=="));
}

}  // namespace
}  // namespace acacia::platform
