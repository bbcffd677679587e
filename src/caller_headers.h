// What a request's head says to the entry itself, which heads are refused, and
// which headers stop here. Refused is all that two HTTP implementations may
// read differently (request smuggling); sources: RFC 9112 sections 2.2, 5.2,
// 6.1 to 6.3 and RFC 9110 section 7.6.1.
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

// What the caller asks of the entry.
struct CallerOptions {
  AccountId account;
  std::optional<bool> idempotent;
  std::optional<Duration> deadline;
  std::string key;
  bool expects_continue = false;
};

// True when the bytes of a head, complete or not, hold what the parser would
// tolerate and others may read differently: NUL, a line feed or carriage return
// on its own, a folded line.
bool HasAmbiguousBytes(std::string_view head);

// The reason to refuse a parsed head, if any.
std::optional<ErrorKind> CheckRequestHead(
    const boost::beast::http::request_header<>& head);

// Error: kBadRequest.
tl::expected<CallerOptions, ErrorKind> ReadCallerOptions(
    const boost::beast::http::request_header<>& head,
    const std::string& deadline_header = kDeadlineHeader);

bool IsIdempotent(const Route& route,
                  std::string_view method,
                  const CallerOptions& options);

// Removes the hop-by-hop headers, also those that Connection names.
void StripHopByHop(boost::beast::http::fields& fields);

}  // namespace acacia

#endif  // SRC_CALLER_HEADERS_H_
