// Validates request heads, reads the headers addressed to the entry, and
// removes hop-by-hop headers. To prevent request smuggling, every head that two
// HTTP implementations may interpret differently is refused; see RFC 9112
// sections 2.2, 5.2 and 6.1 to 6.3, and RFC 9110 section 7.6.1.
#ifndef SRC_CALLER_HEADERS_H_
#define SRC_CALLER_HEADERS_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/configuration.h"
#include "src/error_kind.h"

namespace acacia {

inline constexpr char kErrorHeader[] = "Acacia-Error";
inline constexpr char kOutcomeHeader[] = "Acacia-Outcome";
inline constexpr char kRequestIdHeader[] = "Acacia-Request-Id";
inline constexpr char kDeadlineHeader[] = "Acacia-Deadline-Ms";
inline constexpr char kAccountHeader[] = "Acacia-Account";
inline constexpr char kIdempotentHeader[] = "Acacia-Idempotent";
inline constexpr char kLeavingHeader[] = "Acacia-Leaving";
inline constexpr char kLoadHeader[] = "Acacia-Load";
inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kTraceHeader[] = "traceparent";
inline constexpr std::size_t kMaxKeyBytes = 256;

// Options that the caller sets by headers.
struct CallerOptions {
  AccountId account;
  std::optional<bool> idempotent;
  std::optional<Duration> deadline;
  std::string key;
  bool expects_continue = false;
};

// True if a complete or partial head contains bytes that the parser would
// accept but other implementations may interpret differently: NUL, a bare line
// feed or carriage return, or a folded line.
bool HasAmbiguousBytes(std::string_view head);

// Returns the error with which a parsed head must be refused, if any.
std::optional<ErrorKind> CheckRequestHead(
    const boost::beast::http::request_header<>& head);

// Reads the options from `head`; the deadline is in milliseconds. Returns
// kBadRequest if a value is invalid.
tl::expected<CallerOptions, ErrorKind> ReadCallerOptions(
    const boost::beast::http::request_header<>& head,
    const std::string& deadline_header = kDeadlineHeader);

// True if the request may run more than once. The route decides; if it leaves
// the decision to the method, the caller's Acacia-Idempotent header takes
// precedence over the method.
bool IsIdempotent(const Route& route,
                  std::string_view method,
                  const CallerOptions& options);

// Removes the hop-by-hop headers, including those named by Connection.
void StripHopByHop(boost::beast::http::fields& fields);

}  // namespace acacia

#endif  // SRC_CALLER_HEADERS_H_
