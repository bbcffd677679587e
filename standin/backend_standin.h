// Emulates one backend server: slots, a connection limit, service times, cold
// start, leaving, load shedding, deadlines, cancellation, lagging load reports,
// gray failures, and a ledger of the work that ran.
//
// A caller sends X-Work-Id, and may send X-Answer-Bytes, X-Answer-Chunked: true
// and X-Work-Class: long. The answer's body is WorkBody(X-Work-Id).
//
// Operator requests: PUT /standin/faults (gray_faults.h), PUT /standin/state
// ({"leaving": true, "refuse_after_ms": 3000}), GET /standin/ledger,
// GET /standin/totals.
#ifndef STANDIN_BACKEND_STANDIN_H_
#define STANDIN_BACKEND_STANDIN_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/generated/settings_generated.h"

namespace acacia {

// Not thread-safe: its executor is run by one thread.
class BackendStandin {
 public:
  BackendStandin(const boost::asio::any_io_executor& executor,
                 schema::BackendStandinSettingsT settings);
  ~BackendStandin();

  // Opens the listener and serves. The error is the system's message.
  tl::expected<void, std::string> Listen();
  std::uint16_t Port() const;

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // STANDIN_BACKEND_STANDIN_H_
