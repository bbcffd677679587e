// When a refused caller is told to come back. For services that are full for a
// moment (crests of two or three times the usual load): as soon as the queue
// ahead has drained, spread so that callers refused together do not return
// together.
#ifndef SRC_RETRY_AFTER_H_
#define SRC_RETRY_AFTER_H_

#include <string>

#include "src/clock.h"

namespace acacia {

// What is known of a service when it refuses.
struct RefusalLoad {
  // Requests for each slot, waiting ones included.
  double per_slot = 0;
  // What a request usually takes, zero while unknown.
  Duration usual_time{};
};

// Told when nothing is known of the load.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

// `draw` is a random number from 0 to below 1.
Duration RetryAfter(const RefusalLoad& load, double draw);

// The value of a Retry-After header, in seconds: whole ones, rounded up, as
// HTTP has them, or with milliseconds where callers understand fractions.
std::string FormatRetryAfter(Duration wait, bool with_fraction);

}  // namespace acacia

#endif  // SRC_RETRY_AFTER_H_
