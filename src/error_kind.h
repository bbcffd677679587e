// The closed list of errors that a caller can be told, and the one table from
// kind to answer. What the caller is told about its request ("not-run" or
// "unknown") is part of the table, so that no code path can claim more than the
// table does.
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
  kAccountLimited,
  kQueueFull,
  kDeadlineTooShort,
  kNoBackend,
  kNotReady,
  kStopping,
  kDuplicateKey,
  kKeyUnverifiable,
  kRetryBudgetSpent,
  // Every attempt provably did not run.
  kConnectFailed,
  kBackendRefused,
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

// What is known about a request that got no answer of its own.
enum class Outcome { kNotRun, kUnknown };

struct ErrorAnswer {
  ErrorKind kind;
  // Stable snake_case name, used in logs, metrics and the answer's body.
  std::string_view name;
  int http_status;
  Outcome outcome;
  // True when the caller may send the request again at once to another entry.
  bool retry_elsewhere;
  std::string_view message;
};

const ErrorAnswer& AnswerFor(ErrorKind kind);

// "not-run" or "unknown": the value of the Acacia-Outcome header.
std::string_view OutcomeName(Outcome outcome);

}  // namespace acacia

#endif  // SRC_ERROR_KIND_H_
