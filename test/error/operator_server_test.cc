#include "src/operator_server.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "src/http_client.h"

namespace acacia {
namespace {

namespace net = boost::asio;

struct Case {
  std::string method;
  std::string target;
  std::string authorization;
  int status;
};

net::awaitable<void> Check(std::string address, std::vector<Case> cases) {
  HttpClient client(address);
  for (const Case& each : cases) {
    HttpRequest request;
    request.method = each.method;
    request.target = each.target;
    if (!each.authorization.empty()) {
      request.headers["authorization"] = each.authorization;
    }
    const auto reply =
        co_await client.Send(std::move(request), std::chrono::seconds(30));
    INFO(each.method << " " << each.target << " " << each.authorization);
    REQUIRE(reply);
    CHECK(reply->status == each.status);
    if (each.status == 200 && each.target.starts_with("/explain")) {
      CHECK(reply->body == "[\"a b\"]\n");
    }
  }
}

TEST_CASE("an operator server requires its token on all paths but /ready") {
  net::io_context context;
  OperatorHandlers handlers;
  handlers["/ready"] = [](const TargetParts&) { return ReadyReply(false); };
  handlers["/explain"] = [](const TargetParts& target) {
    return StringArrayReply({target.Parameter("service")});
  };
  OperatorServer server(context.get_executor(), "secret", handlers);
  REQUIRE(server.Listen("127.0.0.1:0"));
  std::vector<Case> cases{
      {"GET", "/ready", "", 503},
      {"GET", "/explain?service=a%20b", "", 401},
      {"GET", "/explain?service=a%20b", "Bearer secreT", 401},
      {"GET", "/explain?service=a%20b", "Bearer secret", 200},
      {"PUT", "/explain", "Bearer secret", 405},
      {"GET", "/other", "Bearer secret", 404},
      {"GET", "http://x/ready", "", 400}};
  std::exception_ptr failure;
  net::co_spawn(
      context,
      Check("127.0.0.1:" + std::to_string(server.Port()), std::move(cases)),
      [&](std::exception_ptr error) {
        failure = std::move(error);
        context.stop();
      });
  context.run();
  CHECK_FALSE(failure);
}

}  // namespace
}  // namespace acacia
