// The result of one request as its caller saw it.
#ifndef STANDIN_CALL_RESULT_H_
#define STANDIN_CALL_RESULT_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/clock.h"

namespace acacia {

enum class CallOutcome {
  // A complete answer with a status below 500.
  kAnswered,
  // A 5xx answer of a backend server: the request ran and failed.
  kServerError,
  // The answer said that the request was not run, or every connect failed.
  kNotRun,
  // The answer said that the request may have run, or no answer came.
  kUnknown,
};
inline constexpr std::size_t kCallOutcomeCount = 4;

struct CallResult {
  std::string work_id;
  std::size_t load_class = 0;
  bool idempotent = true;
  CallOutcome outcome = CallOutcome::kUnknown;
  int status = 0;
  // The Acacia-Error header, or "no_answer", "timeout", "cut_short" or
  // "no_entry".
  std::string error;
  // The answer was delivered as complete and successful, but belongs to another
  // request, is incomplete or has a wrong body.
  bool wrong = false;
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;
  // The planned send time, since the start of the run.
  Duration intended{};
  // From the planned send time to the end of the answer.
  Duration latency{};
};

}  // namespace acacia

#endif  // STANDIN_CALL_RESULT_H_
