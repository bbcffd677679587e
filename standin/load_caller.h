// Sends requests through entries as a well-behaved caller does, and returns the
// result that the caller saw.
#ifndef STANDIN_LOAD_CALLER_H_
#define STANDIN_LOAD_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "src/generated/settings_generated.h"
#include "standin/call_result.h"
#include "standin/load_plan.h"

namespace acacia {

// Keeps idle connections to entries for reuse. Not thread-safe. `settings` must
// outlive it.
class LoadCaller {
 public:
  explicit LoadCaller(const schema::LoadSettingsT& settings);
  ~LoadCaller();

  // Tries another entry when a connect fails, and sends idempotent work once
  // more when no answer came. Does not set `latency`.
  boost::asio::awaitable<CallResult> Call(PlannedRequest planned);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // STANDIN_LOAD_CALLER_H_
