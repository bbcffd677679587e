#include "src/operator_server.h"

#include <openssl/crypto.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

namespace acacia {
namespace {

namespace net = boost::asio;

// No request to an operator server needs a body.
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024;

// Compares in constant time for texts of equal length, so that timing does not
// reveal where they differ.
bool EqualsInConstantTime(const std::string& given,
                          const std::string& expected) {
  return given.size() == expected.size() &&
         CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

bool IsAuthorized(const HttpRequest& request, const std::string& token) {
  if (token.empty()) {
    return true;
  }
  const auto given = request.headers.find("authorization");
  return given != request.headers.end() &&
         EqualsInConstantTime(given->second, "Bearer " + token);
}

HttpReply TextReply(int status, const std::string& text) {
  HttpReply reply;
  reply.status = status;
  reply.headers["content-type"] = "text/plain";
  reply.body = text + "\n";
  return reply;
}

HttpReply HandleRequest(const HttpRequest& request,
                        const std::string& token,
                        const OperatorHandlers& handlers) {
  const auto target = ParseTarget(request.target);
  if (!target) {
    return TextReply(400, "bad target");
  }
  if (target->path != "/ready" && !IsAuthorized(request, token)) {
    HttpReply reply = TextReply(401, "this path needs the operator token");
    reply.headers["www-authenticate"] = "Bearer";
    return reply;
  }
  const auto handler = handlers.find(target->path);
  if (handler == handlers.end()) {
    return TextReply(404, "no such path");
  }
  if (request.method != "GET") {
    return TextReply(405, "only GET");
  }
  return handler->second(*target);
}

net::awaitable<HttpReply> HandleRequestAsync(HttpRequest request,
                                             const std::string* token,
                                             const OperatorHandlers* handlers) {
  co_return HandleRequest(request, *token, *handlers);
}

}  // namespace

HttpReply MetricsReply(const prometheus::Registry& registry) {
  HttpReply reply;
  reply.headers["content-type"] = "text/plain; version=0.0.4";
  reply.body = prometheus::TextSerializer().Serialize(registry.Collect());
  return reply;
}

HttpReply ReadyReply(bool ready) {
  return ready ? TextReply(200, "ready") : TextReply(503, "not ready");
}

HttpReply StringArrayReply(const std::vector<std::string>& lines) {
  boost::json::array array;
  for (const std::string& line : lines) {
    array.emplace_back(line);
  }
  HttpReply reply;
  reply.headers["content-type"] = "application/json";
  reply.body = boost::json::serialize(array) + "\n";
  return reply;
}

struct OperatorServer::State {
  State(const net::any_io_executor& executor,
        HttpHandler handler,
        std::uint32_t max_connections)
      : server(net::make_strand(executor),
               std::move(handler),
               {max_connections, kMaxBodyBytes}) {}

  HttpServer server;
};

OperatorServer::OperatorServer(const net::any_io_executor& executor,
                               std::string token,
                               OperatorHandlers handlers,
                               std::uint32_t max_connections) {
  // The handler shares ownership of the token and the paths, because
  // connections may outlive this object.
  auto shared_token = std::make_shared<const std::string>(std::move(token));
  auto shared_handlers =
      std::make_shared<const OperatorHandlers>(std::move(handlers));
  HttpHandler handler = [shared_token, shared_handlers](HttpRequest request) {
    return HandleRequestAsync(std::move(request), shared_token.get(),
                              shared_handlers.get());
  };
  this->state =
      std::make_unique<State>(executor, std::move(handler), max_connections);
}

OperatorServer::~OperatorServer() = default;

tl::expected<void, std::string> OperatorServer::Listen(
    const std::string& address,
    Availability availability) {
  return this->state->server.Listen(address, availability);
}

std::uint16_t OperatorServer::Port() const {
  return this->state->server.Port();
}

void OperatorServer::Stop() {
  this->state->server.Stop();
}

}  // namespace acacia
