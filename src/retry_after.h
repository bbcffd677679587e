// Computes when a refused caller should retry. Meant for services that are
// overloaded briefly (peaks of two or three times the usual load): callers
// return once the queue ahead of them should have drained, with jitter so that
// callers refused together do not return together.
#ifndef SRC_RETRY_AFTER_H_
#define SRC_RETRY_AFTER_H_

#include <cstdint>
#include <string>

#include "src/clock.h"

namespace acacia {

// The load of a service at the time of a refusal.
struct ServiceLoad {
  // Requests per slot, including waiting ones.
  double requests_per_slot = 0;
  // Typical latency of a request; zero while unknown.
  Duration typical_latency{};
  // Time until a backend server may get a request again when all are at the
  // rate limits that they named; otherwise zero.
  Duration rate_limit_wait{};
  // Time until the first backend server takes requests again when all have
  // asked for a pause; otherwise zero.
  Duration pause_wait{};
  double slots = 0;
  // The rank of the refused request, if ranks differ. Callers of lower ranks
  // return later.
  std::uint32_t rank = 0;
};

// Used while the load of the service is unknown.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

// Returns how long the caller should wait. `draw` is a random number in [0, 1).
Duration RetryAfter(const ServiceLoad& load, double draw);

// Formats the value of a Retry-After header: whole seconds, rounded up, as HTTP
// specifies, or seconds with milliseconds for callers that accept fractions.
std::string FormatRetryAfter(Duration wait, bool with_fraction);

}  // namespace acacia

#endif  // SRC_RETRY_AFTER_H_
