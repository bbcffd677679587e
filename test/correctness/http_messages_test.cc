#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "src/http_client.h"
#include "src/http_server.h"

namespace acacia {
namespace {

namespace net = boost::asio;

net::awaitable<HttpReply> Echo(HttpRequest request) {
  HttpReply reply;
  reply.close_without_reply = request.target == "/drop";
  reply.headers["x-method"] = request.method;
  reply.body = request.body;
  co_return reply;
}

net::awaitable<void> Exchange(std::string address, bool* done) {
  HttpClient client(address);
  HttpRequest put{"PUT", "/a", {}, "body"};
  const auto reply =
      co_await client.Send(std::move(put), std::chrono::seconds(30));
  REQUIRE(reply);
  CHECK(reply->headers.at("x-method") == "PUT");
  CHECK(reply->body == "body");
  HttpRequest drop{"PUT", "/drop", {}, "body"};
  const auto dropped =
      co_await client.Send(std::move(drop), std::chrono::seconds(30));
  REQUIRE_FALSE(dropped);
  CHECK(dropped.error() == HttpClientError::kNoReply);
  *done = true;
}

// Returns true if the exchange came to its end.
bool RunExchange(net::io_context& context, const HttpServer& server) {
  bool done = false;
  net::co_spawn(context,
                Exchange("127.0.0.1:" + std::to_string(server.Port()), &done),
                [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  return done;
}

TEST_CASE(
    "small HTTP messages go through and a lost reply is distinguished from an "
    "unsent request") {
  net::io_context context;
  HttpServer server(context.get_executor(), Echo);
  REQUIRE(server.Listen("127.0.0.1:0"));
  CHECK(RunExchange(context, server));
}

// Guards FAULT: connections that nobody used kept a listener from answering
// those that ask whether the entry is ready.
TEST_CASE("idle HTTP connections make room for those that ask") {
  net::io_context context;
  HttpServer server(context.get_executor(), Echo, {2});
  REQUIRE(server.Listen("127.0.0.1:0"));
  const net::ip::tcp::endpoint address(net::ip::address_v4::loopback(),
                                       server.Port());
  std::vector<net::ip::tcp::socket> idle;
  for (int i = 0; i < 10; ++i) {
    idle.emplace_back(context);
    idle.back().connect(address);
  }
  CHECK(RunExchange(context, server));
  int closed = 0;
  for (net::ip::tcp::socket& socket : idle) {
    socket.non_blocking(true);
    char byte = 0;
    boost::system::error_code error;
    socket.read_some(net::buffer(&byte, 1), error);
    closed += error == net::error::eof ? 1 : 0;
  }
  CHECK(closed >= 8);
}

}  // namespace
}  // namespace acacia
