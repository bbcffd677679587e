// An HTTP server for small messages with one listener and keep-alive. Each
// request is passed to an asynchronous handler.
#ifndef SRC_HTTP_SERVER_H_
#define SRC_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/http_message.h"
#include "src/listener.h"

namespace acacia {

using HttpHandler =
    std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

inline constexpr std::uint32_t kDefaultMaxConnections = 1024;

struct HttpServerLimits {
  // Open connections. A further one takes the place of the one that has been
  // idle for longest; if none is idle, it is closed.
  std::uint32_t max_connections = kDefaultMaxConnections;
  // Of one request; a longer one ends the connection.
  std::uint64_t max_body_bytes = 64 * 1024 * 1024;
};

// Thread-safe if its executor is a strand or is run by one thread. Connections
// keep the handler alive after the server is destroyed.
class HttpServer {
 public:
  HttpServer(const boost::asio::any_io_executor& executor,
             HttpHandler handler,
             const HttpServerLimits& limits = {});
  ~HttpServer();

  // Listens on `address` ("ip:port"; port 0 selects a free port) and serves.
  // The error names the address and the reason.
  tl::expected<void, std::string> Listen(
      const std::string& address,
      Availability availability = Availability::kAwaited);
  std::uint16_t Port() const;
  // Closes the listener. Open connections continue to be served.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_HTTP_SERVER_H_
