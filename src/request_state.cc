#include "src/request_state.h"

#include <algorithm>

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

void RequestState::RecordEnd(const BackendId& backend, AttemptResult result) {
  const auto add = [&backend](std::vector<BackendId>& ids) {
    if (std::find(ids.begin(), ids.end(), backend) == ids.end()) {
      ids.push_back(backend);
    }
  };
  std::erase(this->refused_by, backend);
  add(this->failed);
  if (result != AttemptResult::kNotSent) {
    add(this->sent_to);
  }
  if (result == AttemptResult::kRefused) {
    add(this->refused_by);
  }
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
