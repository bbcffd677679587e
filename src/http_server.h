// Serves small whole HTTP messages on one listener, with keep-alive. Each
// request is given to an asynchronous handler.
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

namespace acacia {

using HttpHandler =
    std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

// Thread-safe where its executor is a strand or is run by one thread.
// Connections keep the handler alive after the server is gone.
class HttpServer {
 public:
  HttpServer(const boost::asio::any_io_executor& executor, HttpHandler handler);
  ~HttpServer();

  // Opens `address` ("ip:port", port 0: any) and starts to serve. The error is
  // the system's message.
  tl::expected<void, std::string> Listen(const std::string& address);
  std::uint16_t Port() const;
  // Closes the listener; connections that are open go on.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_HTTP_SERVER_H_
