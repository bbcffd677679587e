// Sends one request through an entry as a well-behaved caller does, and tells
// what the caller was told.
#ifndef STANDIN_LOAD_CALLER_H_
#define STANDIN_LOAD_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "src/generated/settings_generated.h"
#include "standin/call_result.h"
#include "standin/load_plan.h"

namespace acacia {

// Keeps connections to entries. Not thread-safe. `settings` must outlive it.
class LoadCaller {
 public:
  explicit LoadCaller(const schema::LoadSettingsT& settings);
  ~LoadCaller();

  // Tries another entry when a connect fails, and sends idempotent work once
  // more when no answer came. `latency` is left to the caller.
  boost::asio::awaitable<CallResult> Call(PlannedRequest planned);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // STANDIN_LOAD_CALLER_H_
