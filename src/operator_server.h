// The HTTP server for operators, used by the entry and the agent. It serves a
// fixed set of paths, each with a handler, and requires a bearer token. It has
// its own listening address, separate from that for callers.
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
#include "src/http_server.h"
#include "src/query_string.h"

namespace prometheus {
class Registry;
}

namespace acacia {

// Called on the server's executor; must not block.
using OperatorHandler = std::function<HttpReply(const TargetParts& target)>;

// Handlers by path. "/ready" needs no token; every other path does.
using OperatorHandlers = std::map<std::string, OperatorHandler>;

HttpReply MetricsReply(const prometheus::Registry& registry);
// Returns a reply with status 200 or 503.
HttpReply ReadyReply(bool ready);
// Returns a reply with the lines as a JSON array of strings.
HttpReply StringArrayReply(const std::vector<std::string>& lines);

// Runs on one strand of `executor`.
class OperatorServer {
 public:
  // An empty token disables the check.
  OperatorServer(const boost::asio::any_io_executor& executor,
                 std::string token,
                 OperatorHandlers handlers,
                 std::uint32_t max_connections = kDefaultMaxConnections);
  ~OperatorServer();

  // Listens on `address` ("ip:port") and serves. The error names the address
  // and the reason.
  tl::expected<void, std::string> Listen(
      const std::string& address,
      Availability availability = Availability::kAwaited);

  std::uint16_t Port() const;

  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_OPERATOR_SERVER_H_
