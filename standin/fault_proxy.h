// Stands between two processes and breaks the path on demand: cuts it in one
// direction, delays it, resets connections, loses datagrams, or lets the
// connections that are open go silent for good while new ones work.
//
// PUT /standin/faults on the operator listener, JSON, all optional:
//   cut_to_target, cut_to_caller  nothing passes in that direction until healed
//   delay_ms                      added to each piece in each direction
//   silence_existing              open connections pass nothing ever again
//   reset_existing                open connections are reset
//   refuse_new                    new connections are reset
//   drop_permille                 share of datagrams that are lost
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
