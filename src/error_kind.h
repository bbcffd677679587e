// The complete list of errors that can be reported to a caller, and the table
// that maps each to its answer. The table also holds what the caller is told
// about its request ("not-run" or "unknown"), so that no code path can claim
// more than is known.
#ifndef SRC_ERROR_KIND_H_
#define SRC_ERROR_KIND_H_

#include <string_view>

namespace acacia {

enum class ErrorKind {
  // Refused before any attempt.
  kBadRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kNotImplemented,
  kNoRoute,
  kMethodNotAllowed,
  kUnknownKey,
  kConfigurationOutdated,
  kAccountLimited,
  kQueueFull,
  kDeadlineTooShort,
  kNoBackend,
  kNotReady,
  kStopping,
  kBuffersFull,
  kEntryFailed,
  kDuplicateKey,
  kKeyUnverifiable,
  kRetryBudgetSpent,
  // Every attempt provably did not run, or there was none.
  kConnectFailed,
  kBackendRefused,
  kRateLimited,
  kQuarantined,
  // The request may have run.
  kBackendBroken,
  kBackendTimeout,
  kTruncatedAnswer,
  kWrongAnswer,
  kBodyBroken,
  kCallerLeft,
  kInternal,
};

inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kInternal) + 1;

// Whether a request that got no answer from a backend server is known not to
// have run.
enum class Outcome { kNotRun, kUnknown };

struct ErrorAnswer {
  ErrorKind kind;
  // Stable snake_case name, used in logs, metrics and the answer's body.
  std::string_view name;
  int http_status;
  Outcome outcome;
  // True if the caller may resend the request to another entry immediately.
  bool retry_elsewhere;
  std::string_view message;
};

const ErrorAnswer& AnswerFor(ErrorKind kind);

// Returns the value of the Acacia-Outcome header: "not-run" or "unknown".
std::string_view OutcomeName(Outcome outcome);

}  // namespace acacia

#endif  // SRC_ERROR_KIND_H_
