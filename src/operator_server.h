// The operators' listener of a program: a fixed set of paths, each answered by
// a handler, behind a bearer token. Callers never reach it: it has its own
// address. Entry and agent use it alike.
#ifndef SRC_OPERATOR_SERVER_H_
#define SRC_OPERATOR_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/http_message.h"
#include "src/query_string.h"

namespace prometheus {
class Registry;
}

namespace acacia {

// Called on the server's executor; must not block.
using OperatorHandler = std::function<HttpReply(const TargetParts& target)>;

// By path. "/ready" is answered without a token, everything else needs it.
using OperatorHandlers = std::map<std::string, OperatorHandler>;

HttpReply MetricsReply(const prometheus::Registry& registry);
// 200 or 503.
HttpReply ReadyReply(bool ready);
// A JSON array of lines.
HttpReply LinesReply(const std::vector<std::string>& lines);

// Runs on one strand of `executor`.
class OperatorServer {
 public:
  // An empty token lets everybody in.
  OperatorServer(const boost::asio::any_io_executor& executor,
                 std::string token,
                 OperatorHandlers handlers);
  ~OperatorServer();

  // Opens `address` ("ip:port") and serves. The error is the system's message.
  tl::expected<void, std::string> Listen(const std::string& address);

  std::uint16_t Port() const;

  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_OPERATOR_SERVER_H_
