#include "src/request_state.h"

namespace acacia {

RunningAttempt* RequestState::FindAttempt(AttemptId attempt) {
  for (RunningAttempt& each : this->running) {
    if (each.id == attempt) {
      return &each;
    }
  }
  return nullptr;
}

void RequestState::MarkOutcomeUnknown(ErrorKind kind) {
  this->unknown_outcome = kind;
  ++this->unknown_outcome_attempts;
}

std::optional<ErrorKind> UnknownOutcomeKind(AttemptResult result) {
  switch (result) {
    case AttemptResult::kSuccess:
    case AttemptResult::kNotSent:
    case AttemptResult::kRefused:
      return std::nullopt;
    case AttemptResult::kServerError:
    case AttemptResult::kBroken:
      return ErrorKind::kBackendBroken;
    case AttemptResult::kTimedOut:
      return ErrorKind::kBackendTimeout;
    case AttemptResult::kTruncated:
      return ErrorKind::kTruncatedAnswer;
    case AttemptResult::kMismatched:
      return ErrorKind::kWrongAnswer;
    case AttemptResult::kCancelled:
      return ErrorKind::kCallerLeft;
  }
  return ErrorKind::kInternal;
}

}  // namespace acacia
