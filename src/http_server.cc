#include "src/http_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <limits>
#include <list>
#include <optional>
#include <utility>

#include "src/keep_running.h"
#include "src/listener.h"
#include "src/log_event.h"
#include "src/lower_case.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = net::ip::tcp;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::chrono::seconds kIdleTimeout{60};
// Sorts after the sequence numbers of idle connections.
constexpr auto kBusy = std::numeric_limits<std::uint64_t>::max();

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

struct Connection {
  explicit Connection(Tcp::socket socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  // Grows with each connection that becomes idle; nullopt while a request is
  // handled.
  std::optional<std::uint64_t> idle_sequence;
};

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<State> {
  State(const net::any_io_executor& executor,
        HttpHandler handler,
        const HttpServerLimits& limits)
      : acceptor(executor), handler(std::move(handler)), limits(limits) {}

  net::awaitable<void> Accept();
  void Serve(Tcp::socket socket);
  net::awaitable<void> AnswerRequests(std::shared_ptr<Connection> connection);
  bool MakeRoom();

  Tcp::acceptor acceptor;
  HttpHandler handler;
  const HttpServerLimits limits;
  std::list<std::shared_ptr<Connection>> connections;
  std::uint64_t last_idle_sequence = 0;
};

net::awaitable<void> HttpServer::State::Accept() {
  while (this->acceptor.is_open()) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (error == net::error::operation_aborted || !this->acceptor.is_open()) {
      co_return;
    }
    if (error) {
      co_await AwaitAcceptRetry();
      continue;
    }
    if (this->MakeRoom()) {
      this->Serve(std::move(socket));
    }
  }
}

void HttpServer::State::Serve(Tcp::socket socket) {
  const auto executor = socket.get_executor();
  const auto at = this->connections.insert(
      this->connections.end(), std::make_shared<Connection>(std::move(socket)));
  net::co_spawn(
      executor, this->AnswerRequests(*at),
      [self = this->shared_from_this(), at](const std::exception_ptr& error) {
        if (error) {
          LogEvent("http_connection_failed", LogSeverity::kError)
              .With("reason", DescribeException(error));
        }
        (*at)->stream.close();
        self->connections.erase(at);
      });
}

net::awaitable<void> HttpServer::State::AnswerRequests(
    std::shared_ptr<Connection> connection) {
  beast::tcp_stream& stream = connection->stream;
  beast::flat_buffer buffer(kMaxUnparsedHttpBytes);
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(this->limits.max_body_bytes);
    stream.expires_after(kIdleTimeout);
    connection->idle_sequence = ++this->last_idle_sequence;
    const auto [read_error, read] =
        co_await http::async_read(stream, buffer, parser, kAwait);
    connection->idle_sequence.reset();
    if (read_error) {
      co_return;
    }
    stream.expires_never();
    const bool keep_alive = parser.get().keep_alive();
    HttpReply reply = co_await this->handler(FromBeast(parser.get()));
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

// Closes the connection that has been idle for longest if there are too many.
// Returns false if there is no room for another one.
bool HttpServer::State::MakeRoom() {
  if (this->connections.size() < this->limits.max_connections) {
    return true;
  }
  const auto longest_idle =
      std::min_element(this->connections.begin(), this->connections.end(),
                       [](const auto& one, const auto& other) {
                         return one->idle_sequence.value_or(kBusy) <
                                other->idle_sequence.value_or(kBusy);
                       });
  if (longest_idle == this->connections.end() ||
      !(*longest_idle)->idle_sequence) {
    return false;
  }
  // Its coroutine ends and removes it.
  (*longest_idle)->idle_sequence.reset();
  (*longest_idle)->stream.close();
  return true;
}

HttpServer::HttpServer(const net::any_io_executor& executor,
                       HttpHandler handler,
                       const HttpServerLimits& limits)
    : state(std::make_shared<State>(executor, std::move(handler), limits)) {}

HttpServer::~HttpServer() {
  this->Stop();
}

tl::expected<void, std::string> HttpServer::Listen(const std::string& address,
                                                   Availability availability) {
  Tcp::acceptor& acceptor = this->state->acceptor;
  auto opened = OpenListener(acceptor, address, availability);
  if (!opened) {
    return opened;
  }
  SpawnLoop(acceptor.get_executor(), "accept_http",
            [shared_state = this->state] { return shared_state->Accept(); });
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
