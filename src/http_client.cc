#include "src/http_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <optional>
#include <utility>

#include "src/backend_connection.h"
#include "src/lower_case.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = net::ip::tcp;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// These timeouts and probes detect a dead connection within seconds, even
// during a long poll.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(600);
constexpr Duration kUserTimeout = std::chrono::seconds(3);
constexpr KeepAliveProbes kShortProbes{1, 1, 2};

http::request<http::string_body> ToBeast(HttpRequest& request,
                                         const std::string& host) {
  http::request<http::string_body> out;
  out.version(11);
  out.method_string(request.method);
  out.target(request.target);
  out.set(http::field::host, host);
  for (const auto& [name, value] : request.headers) {
    out.set(name, value);
  }
  out.body() = std::move(request.body);
  out.prepare_payload();
  return out;
}

HttpReply FromBeast(http::response<http::string_body>& response) {
  HttpReply reply;
  reply.status = static_cast<int>(response.result_int());
  for (const auto& field : response) {
    reply.headers[LowerCase(field.name_string())] = std::string(field.value());
  }
  reply.body = std::move(response.body());
  return reply;
}

}  // namespace

struct HttpClient::State {
  std::string address;
  std::uint64_t max_body_bytes = 0;
  std::optional<beast::tcp_stream> stream;
  beast::flat_buffer buffer{kMaxUnparsedHttpBytes};

  net::awaitable<bool> Connect(Duration timeout);
};

net::awaitable<bool> HttpClient::State::Connect(Duration timeout) {
  const auto to = ParseSocketAddress(this->address);
  if (!to) {
    co_return false;
  }
  this->buffer.clear();
  this->stream.emplace(co_await net::this_coro::executor);
  this->stream->expires_after(std::min(timeout, kConnectTimeout));
  const Tcp::endpoint endpoint(to->address, to->port);
  const auto [error] = co_await this->stream->async_connect(endpoint, kAwait);
  if (error) {
    this->stream.reset();
  } else {
    SetStreamOptions(this->stream->socket(), kUserTimeout, kShortProbes);
  }
  co_return !error;
}

HttpClient::HttpClient(std::string address, std::uint64_t max_body_bytes)
    : state(std::make_unique<State>()) {
  this->state->address = std::move(address);
  this->state->max_body_bytes = max_body_bytes;
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

void HttpClient::Abort() {
  if (this->state->stream) {
    this->state->stream->close();
  }
}

net::awaitable<tl::expected<HttpReply, HttpClientError>> HttpClient::Send(
    HttpRequest request,
    Duration timeout,
    std::optional<std::uint64_t> max_body_bytes) {
  State& state = *this->state;
  const bool is_open = state.stream && state.stream->socket().is_open();
  if (!is_open && !co_await state.Connect(timeout)) {
    co_return tl::unexpected(HttpClientError::kNotSent);
  }
  auto out = ToBeast(request, state.address);
  state.stream->expires_after(timeout);
  const auto [write_error, written] =
      co_await http::async_write(*state.stream, out, kAwait);
  if (write_error) {
    state.stream.reset();
    co_return tl::unexpected(HttpClientError::kNoReply);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(max_body_bytes.value_or(state.max_body_bytes));
  const auto [read_error, read] =
      co_await http::async_read(*state.stream, state.buffer, parser, kAwait);
  const auto status = static_cast<int>(parser.get().result_int());
  // After an interim reply the connection holds another one, which must not be
  // taken for that of the next request.
  const bool broken = status < kFirstFinalStatus || status > kLastFinalStatus;
  // Without a length, an end of file may cut the reply off.
  const bool cut_off =
      parser.need_eof() && !EndedCleanly(state.stream->socket());
  if (read_error || broken || cut_off) {
    state.stream.reset();
    co_return tl::unexpected(HttpClientError::kNoReply);
  }
  // Bytes that follow the reply are no reply to the next request.
  if (!parser.get().keep_alive() || state.buffer.size() > 0) {
    state.stream.reset();
  }
  co_return FromBeast(parser.get());
}

}  // namespace acacia
