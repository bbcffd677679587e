// How callers and backend servers say what the proxy must know: header names,
// and how a backend server tells that it did not run a request. The product's
// own dialect is the default; an adapter to a platform brings another.
#ifndef SRC_DIALECT_H_
#define SRC_DIALECT_H_

#include <boost/beast/http/message.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/reported_load.h"

namespace acacia {

struct Dialect {
  // Identifies a request to backend servers, which echo it.
  std::string request_id;
  // Milliseconds that the sender will wait.
  std::string deadline;
  std::string load;
  // Names the backend server that is meant; any other refuses the request.
  // Empty: not sent.
  std::string expected_instance;
  // A success without this header is not a backend server's answer. Empty: not
  // checked.
  std::string answer_proof;
  // The caller's request id goes on unchanged; otherwise each attempt gets one
  // of ours.
  bool passes_request_id = false;
  // Callers understand a Retry-After with a fraction of a second.
  bool fractional_retry_after = false;
  // Headers of backend servers' answers that callers do not get.
  std::vector<std::string> hidden_from_callers;
  // True for an answer that says that the request was not run.
  std::function<bool(const boost::beast::http::response_header<>& head)>
      says_not_run;
  // True when the backend server says that it is leaving.
  std::function<bool(const boost::beast::http::response_header<>& head)>
      says_leaving;
  std::function<std::optional<ReportedLoad>(std::string_view text)> parse_load;
};

// The headers of docs/CALLERS.md and docs/PROTOCOLS.md.
Dialect ProductDialect();

}  // namespace acacia

#endif  // SRC_DIALECT_H_
