#include "src/http_server.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <utility>

#include "src/listener.h"
#include "src/lower_case.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = net::ip::tcp;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::uint64_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr std::chrono::seconds kIdleTimeout{60};

HttpRequest FromBeast(http::request<http::string_body>& from) {
  HttpRequest request;
  request.method = std::string(from.method_string());
  request.target = std::string(from.target());
  for (const auto& field : from) {
    request.headers[LowerCase(field.name_string())] =
        std::string(field.value());
  }
  request.body = std::move(from.body());
  return request;
}

http::response<http::string_body> ToBeast(HttpReply& reply, bool keep_alive) {
  http::response<http::string_body> response;
  response.version(11);
  response.result(static_cast<unsigned>(reply.status));
  for (const auto& [name, value] : reply.headers) {
    response.set(name, value);
  }
  response.body() = std::move(reply.body);
  response.keep_alive(keep_alive);
  response.prepare_payload();
  return response;
}

net::awaitable<void> ServeConnection(Tcp::socket socket, HttpHandler handler) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    stream.expires_after(kIdleTimeout);
    const auto [read_error, read] =
        co_await http::async_read(stream, buffer, parser, kAwait);
    if (read_error) {
      co_return;
    }
    stream.expires_never();
    const bool keep_alive = parser.get().keep_alive();
    HttpReply reply = co_await handler(FromBeast(parser.get()));
    if (reply.close_without_reply) {
      co_return;
    }
    auto response = ToBeast(reply, keep_alive);
    stream.expires_after(kIdleTimeout);
    const auto [write_error, written] =
        co_await http::async_write(stream, response, kAwait);
    if (write_error || !keep_alive) {
      co_return;
    }
  }
}

}  // namespace

struct HttpServer::State {
  State(const net::any_io_executor& executor, HttpHandler handler)
      : acceptor(executor), handler(std::move(handler)) {}

  Tcp::acceptor acceptor;
  HttpHandler handler;
};

namespace {

template <typename State>
net::awaitable<void> Accept(std::shared_ptr<State> state) {
  while (state->acceptor.is_open()) {
    auto [error, socket] = co_await state->acceptor.async_accept(kAwait);
    if (error == net::error::operation_aborted || !state->acceptor.is_open()) {
      co_return;
    }
    if (error) {
      continue;
    }
    auto executor = socket.get_executor();
    net::co_spawn(executor, ServeConnection(std::move(socket), state->handler),
                  net::detached);
  }
}

}  // namespace

HttpServer::HttpServer(const net::any_io_executor& executor,
                       HttpHandler handler)
    : state(std::make_shared<State>(executor, std::move(handler))) {}

HttpServer::~HttpServer() {
  this->Stop();
}

tl::expected<void, std::string> HttpServer::Listen(const std::string& address) {
  Tcp::acceptor& acceptor = this->state->acceptor;
  auto opened = OpenListener(acceptor, address);
  if (!opened) {
    return opened;
  }
  net::co_spawn(acceptor.get_executor(), Accept(this->state), net::detached);
  return {};
}

std::uint16_t HttpServer::Port() const {
  return this->state->acceptor.local_endpoint().port();
}

void HttpServer::Stop() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

}  // namespace acacia
