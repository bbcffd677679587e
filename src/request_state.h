// The dispatcher's state of one request: its attempts, and whether any of them
// may have run.
#ifndef SRC_REQUEST_STATE_H_
#define SRC_REQUEST_STATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/dispatcher.h"
#include "src/pooled_backend.h"

namespace acacia {

struct RunningAttempt {
  AttemptId id;
  PooledBackend* backend = nullptr;
  TimePoint started;
  // When the attempt becomes overdue; nullopt if unknown or already passed.
  std::optional<TimePoint> overdue_at;
  bool was_overdue = false;
  // The backend server had no slot known to be free when the attempt started.
  bool started_at_capacity = false;
  // Sent beside a slow attempt, under HedgePolicy.
  bool is_hedge = false;
};

struct RequestState {
  Work work;
  TimePoint arrived;
  bool account_limited = false;
  AttemptId last_attempt;
  std::vector<RunningAttempt> running;
  // The attempt whose answer is being relayed.
  std::optional<AttemptId> relayed;
  // The error to report because the request may have run: that of the last
  // attempt which may have run. nullopt if no attempt may have run.
  std::optional<ErrorKind> unknown_outcome;
  std::uint32_t unknown_outcome_attempts = 0;
  // Backend servers to which ended attempts sent at least one byte. Where
  // refused attempts may be repeated, each is listed once.
  std::vector<BackendId> sent_to;
  // Those of them whose last answer was a refusal; only where a refused attempt
  // may be repeated at the same backend server.
  std::vector<BackendId> refused_by;
  // Backend servers where an attempt of this request failed.
  std::vector<BackendId> failed;

  // Returns null if the attempt has ended.
  RunningAttempt* FindAttempt(AttemptId attempt);
  // Records that an attempt may have run. From then on the caller is never told
  // that the request did not run.
  void MarkOutcomeUnknown(ErrorKind kind);
  // Records the end of an attempt where refused attempts may be repeated.
  void RecordEnd(const BackendId& backend, AttemptResult result);
};

// The error to report if an attempt with this result may have run and was the
// last one; nullopt if it provably did not run, or succeeded.
std::optional<ErrorKind> UnknownOutcomeKind(AttemptResult result);

}  // namespace acacia

#endif  // SRC_REQUEST_STATE_H_
