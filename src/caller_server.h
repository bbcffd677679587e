// The listener for callers. Accepts connections up to a limit and starts a
// CallerSession for each, on its own strand.
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

  // Listens on `address` ("ip:port") and serves connections. The error names
  // the address and the reason.
  tl::expected<void, std::string> Listen(const std::string& address);

  std::uint16_t Port() const;

  void StopAccepting();

  // Closes the idle connections.
  void CloseIdle();

  // Refuses the requests that have not been passed on and may no longer be; see
  // EntryContext::MayPassOn.
  void EndAdmission();

  // Gives all open requests their final answer: not run, or unknown.
  void EndRequests();

  // Closes all connections at once and aborts their requests.
  void CloseAll();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_CALLER_SERVER_H_
