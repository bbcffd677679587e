// The callers' listener: accepts connections, bounds their number, and starts a
// CallerSession on a strand of its own for each.
#ifndef SRC_CALLER_SERVER_H_
#define SRC_CALLER_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/entry_context.h"

namespace acacia {

// Thread-safe.
class CallerServer {
 public:
  // The context must outlive the server and all sessions.
  CallerServer(const boost::asio::any_io_executor& executor,
               EntryContext& context);
  ~CallerServer();

  // Opens `address` ("ip:port") and serves. The error is the system's message.
  tl::expected<void, std::string> Listen(const std::string& address);

  std::uint16_t Port() const;

  void StopAccepting();

  // Closes connections on which no request has begun.
  void CloseIdle();

  // Cuts all connections off.
  void CloseAll();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_CALLER_SERVER_H_
