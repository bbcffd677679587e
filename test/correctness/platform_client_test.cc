#include "src/platform_client.h"

#include <vector>

#include "src/content_hash.h"
#include "src/http_server.h"
#include "test/io_fixture.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr PlatformClientOptions kShort{std::chrono::milliseconds(200), 2};
constexpr PlatformClientOptions kPatient{std::chrono::seconds(60), 2};

TEST_CASE("rows, objects and lists go through") {
  PlatformFixture f;
  PlatformClient client(f.Address(), f.clock);
  const std::string key = "grants/kehto ä%";
  CHECK(RunAwaitable(f.context, client.ReadRow(key))->version == RowVersion());
  const auto written =
      RunAwaitable(f.context, client.WriteRow(key, RowVersion(), "v"));
  REQUIRE(written);
  const auto row = RunAwaitable(f.context, client.ReadRow(key));
  REQUIRE(row);
  CHECK(row->value == "v");
  CHECK(row->version == *written);
  const auto conflict =
      RunAwaitable(f.context, client.WriteRow(key, RowVersion(), "w"));
  CHECK(conflict.error() == PlatformError::kConflict);

  const std::string body(100000, 'x');
  const ObjectHash hash = HashContent(body);
  CHECK(RunAwaitable(f.context, client.ReadObject(hash)).error() ==
        PlatformError::kNotFound);
  CHECK(RunAwaitable(f.context, client.WriteObject(hash, body)));
  CHECK(RunAwaitable(f.context, client.ReadObject(hash)) == body);
}

TEST_CASE("an unchanged instance list is not sent again") {
  PlatformFixture f;
  PlatformClient client(f.Address(), f.clock);
  const ListedInstance one{"10.0.0.1:80", FailureDomain("a"), 5, true};
  f.platform.Store().Change({"kehto", one.address, one}, f.clock.Now());
  for (int i = 0; i < 3; ++i) {
    const auto list = RunAwaitable(f.context, client.ReadInstanceList("kehto"));
    REQUIRE(list);
    CHECK(*list == std::vector<ListedInstance>{one});
  }
  f.platform.Store().Change({"kehto", one.address, {}}, f.clock.Now());
  CHECK(RunAwaitable(f.context, client.ReadInstanceList("kehto"))->empty());
}

// The expected result of a write for a fault of the platform.
struct Case {
  const char* name;
  PlatformFaults faults;
  PlatformError write;
  // Whether the write took effect.
  bool effect;
};

TEST_CASE("each fault is reported as what is known about the write") {
  PlatformFaults outage;
  outage.outage = true;
  PlatformFaults lost_reply;
  lost_reply.lose_replies_permille = 1000;
  PlatformFaults lost_request;
  lost_request.lose_requests_permille = 1000;
  PlatformFaults slow;
  slow.delay_ms = 2000;
  const std::vector<Case> cases{
      {"outage", outage, PlatformError::kUnavailable, false},
      {"lost reply", lost_reply, PlatformError::kUnknown, true},
      {"lost request", lost_request, PlatformError::kUnknown, false},
      {"slow", slow, PlatformError::kUnknown, false},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    PlatformFixture f;
    PlatformClient client(f.Address(), f.clock,
                          c.faults.delay_ms > 0 ? kShort : kPatient);
    f.platform.Faults() = c.faults;
    const auto row =
        RunAwaitable(f.context, client.WriteRow("k", RowVersion(), "v"));
    CHECK(row.error() == c.write);
    CHECK((f.platform.Store().ReadRow("k").version == RowVersion(1)) ==
          c.effect);
    const std::string body = "body";
    const auto object =
        RunAwaitable(f.context, client.WriteObject(HashContent(body), body));
    CHECK(object.error() == c.write);
  }
}

TEST_CASE("an unreachable platform is unavailable, for writes too") {
  net::io_context context;
  const SystemClock clock;
  net::ip::tcp::acceptor unused_port(context,
                                     {net::ip::make_address("127.0.0.1"), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(unused_port.local_endpoint().port());
  unused_port.close();
  PlatformClient client(address, clock, kPatient);
  CHECK(RunAwaitable(context, client.WriteRow("k", RowVersion(), "")).error() ==
        PlatformError::kUnavailable);
  CHECK(RunAwaitable(context, client.ReadRow("k")).error() ==
        PlatformError::kUnavailable);
}

struct Answer {
  HttpReply reply;
  PlatformError read;
  PlatformError write;
};

TEST_CASE("unexpected answers of the platform are never taken for success") {
  const std::vector<Answer> answers{
      {{500, {}, ""}, PlatformError::kUnavailable, PlatformError::kUnknown},
      {{502, {}, ""}, PlatformError::kUnavailable, PlatformError::kUnknown},
      {{503, {}, ""}, PlatformError::kUnavailable, PlatformError::kUnavailable},
      {{413, {}, ""}, PlatformError::kUnavailable, PlatformError::kUnavailable},
      {{200, {}, "v"}, PlatformError::kUnavailable, PlatformError::kUnknown},
      {{200, {{"etag", "\"x\""}}, "v"},
       PlatformError::kUnavailable,
       PlatformError::kUnknown},
      {{302, {}, ""}, PlatformError::kUnavailable, PlatformError::kUnknown},
  };
  net::io_context context;
  const SystemClock clock;
  HttpReply next;
  HttpServer server(
      context.get_executor(),
      [&](const HttpRequest&) -> net::awaitable<HttpReply> { co_return next; });
  REQUIRE(server.Listen("127.0.0.1:0"));
  PlatformClient client("127.0.0.1:" + std::to_string(server.Port()), clock,
                        kPatient);
  for (const Answer& answer : answers) {
    INFO(answer.reply.status);
    next = answer.reply;
    CHECK(RunAwaitable(context, client.ReadRow("k")).error() == answer.read);
    CHECK(
        RunAwaitable(context, client.WriteRow("k", RowVersion(), "")).error() ==
        answer.write);
  }
  for (const char* body : {"", "{}", "[1]", "[{\"address\": \"x\"}]",
                           "[{\"address\": \"1.1.1.1:1\", \"slots\": -1}]"}) {
    next = {200, {{"etag", "\"1\""}}, body};
    INFO(body);
    CHECK(RunAwaitable(context, client.ReadInstanceList("s")).error() ==
          PlatformError::kUnavailable);
  }
}

TEST_CASE("a request that waits for a connection too long was not sent") {
  net::io_context context;
  const SystemClock clock;
  long seen = 0;
  bool answers = false;
  net::steady_timer never(context, net::steady_timer::time_point::max());
  HttpServer server(context.get_executor(),
                    [&](const HttpRequest&) -> net::awaitable<HttpReply> {
                      ++seen;
                      if (!answers) {
                        co_await never.async_wait(net::use_awaitable);
                      }
                      co_return HttpReply{404, {}, ""};
                    });
  REQUIRE(server.Listen("127.0.0.1:0"));
  PlatformClient client("127.0.0.1:" + std::to_string(server.Port()), clock,
                        kShort);
  std::vector<PlatformError> errors;
  for (int i = 0; i < 9; ++i) {
    net::co_spawn(context, client.WriteRow("k", RowVersion(), "v"),
                  [&](const std::exception_ptr&, const WriteResult& result) {
                    errors.push_back(result.error());
                  });
  }
  RunUntil(context, [&] { return errors.size() == 9; });
  const long unknown =
      std::count(errors.begin(), errors.end(), PlatformError::kUnknown);
  CHECK(seen <= unknown);
  CHECK(unknown < 9);
  answers = true;
  RunUntil(context, [&] {
    return RunAwaitable(context, client.ReadRow("k")).has_value();
  });
}

}  // namespace
}  // namespace acacia
