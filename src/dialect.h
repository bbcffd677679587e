// The protocol between the entry, callers and backend servers: header names,
// and how a backend server states that it did not run a request or is leaving.
// The default uses the Acacia headers; a platform adapter may provide another.
#ifndef SRC_DIALECT_H_
#define SRC_DIALECT_H_

#include <boost/beast/http/message.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/clock.h"
#include "src/reported_load.h"

namespace acacia {

struct Dialect {
  // Header with the request id, which backend servers echo.
  std::string request_id;
  // Header with the time in milliseconds that the sender will wait.
  std::string deadline;
  // Header with the load that a backend server reports.
  std::string load;
  // Header with the requests per second that a backend server takes from all
  // entries together. Not read if empty.
  std::string rate_limit;
  // Header that names the intended backend server; any other refuses the
  // request. Not sent if empty.
  std::string expected_instance;
  // Header that every success must carry; one without it did not come from a
  // backend server. Not checked if empty.
  std::string required_success_header;
  // Header that names the caller's account to backend servers; not sent if
  // empty.
  std::string account;
  // The caller's request id is forwarded unchanged. Otherwise the entry
  // generates one for each attempt.
  bool forwards_request_id = false;
  // Callers accept a Retry-After with a fraction of a second.
  bool fractional_retry_after = false;
  // Headers that are removed from backend servers' answers.
  std::vector<std::string> hidden_from_callers;
  // True for an answer which states that the request was not run.
  std::function<bool(const boost::beast::http::response_header<>& head)>
      reports_not_run;
  // True for an answer which states that the backend server is leaving.
  std::function<bool(const boost::beast::http::response_header<>& head)>
      announces_leaving;
  // How long a backend server that turned a request away wants no further ones
  // from this entry; nullopt if the answer names no time. Optional.
  std::function<std::optional<Duration>(
      const boost::beast::http::response_header<>& head)>
      read_pause;
  std::function<std::optional<ReportedLoad>(std::string_view text)> parse_load;
  // Returns requests per second. Set if `rate_limit` is.
  std::function<std::optional<double>(std::string_view text)> parse_rate_limit;
};

// Returns the default dialect, documented in docs/CALLERS.md and
// docs/PROTOCOLS.md.
Dialect DefaultDialect();

}  // namespace acacia

#endif  // SRC_DIALECT_H_
