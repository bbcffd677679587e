// Forwards traffic between two processes and injects faults on demand: it cuts
// one direction, adds delay, resets connections, drops datagrams, or silences
// the open connections permanently while new ones work.
//
// PUT /standin/faults on the operator listener, JSON, all optional:
//   cut_to_target, cut_to_caller  nothing is forwarded in that direction until
//                                 the fault is removed
//   delay_ms                      added to each chunk of TCP data in each
//                                 direction
//   silence_existing              open connections forward nothing any more
//   reset_existing                open connections are reset
//   refuse_new                    new connections are reset
//   drop_permille                 share of datagrams that are dropped
// GET /standin/faults answers {"connections": OPEN, "accepted": EVER}.
#ifndef STANDIN_FAULT_PROXY_H_
#define STANDIN_FAULT_PROXY_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/generated/settings_generated.h"

namespace acacia {

// Not thread-safe: its executor is run by one thread.
class FaultProxy {
 public:
  FaultProxy(const boost::asio::any_io_executor& executor,
             schema::FaultProxySettingsT settings);
  ~FaultProxy();

  // Opens the listeners and serves. The error is the system's message.
  tl::expected<void, std::string> Listen();

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // STANDIN_FAULT_PROXY_H_
