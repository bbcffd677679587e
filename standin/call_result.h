// What one caller was told about one request.
#ifndef STANDIN_CALL_RESULT_H_
#define STANDIN_CALL_RESULT_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/clock.h"

namespace acacia {

enum class Told {
  // A whole answer with a status below 500.
  kAnswered,
  // A backend server's own 5xx: it ran and failed.
  kServerError,
  // Told, or certain from a failed connect, that it was not run.
  kNotRun,
  // Told that it may have run, or told nothing.
  kUnknown,
};
inline constexpr std::size_t kToldCount = 4;

struct CallResult {
  std::string work_id;
  std::size_t load_class = 0;
  bool idempotent = true;
  Told told = Told::kUnknown;
  int status = 0;
  // Acacia-Error, or "no_answer", "timeout", "no_entry".
  std::string error;
  // The answer was passed off as whole and good, but was not this request's or
  // not all of it.
  bool wrong = false;
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;
  // Since the start of the run: when it should have been sent.
  Duration intended{};
  // From the intended send time to the end of the answer.
  Duration latency{};
};

}  // namespace acacia

#endif  // STANDIN_CALL_RESULT_H_
