// How many requests this entry keeps at one backend server at once. Entries
// cannot see each other's use of a backend server's few slots, so each learns
// from refusals: a refusal lowers the limit to what was in flight and closes
// the backend server for a moment that grows on each further refusal; answers
// raise the limit again while it is used up (additive increase, after Chiu and
// Jain 1989).
#ifndef SRC_CONCURRENCY_LIMIT_H_
#define SRC_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "src/clock.h"
#include "src/random_source.h"

namespace acacia {

class ConcurrencyLimit {
 public:
  // `slots` bounds the limit; `share` is what this entry may use from the
  // start and is quick to win back: its part of the slots.
  void Configure(std::uint32_t slots, std::uint32_t share);

  bool Allows(std::uint32_t in_flight, TimePoint now) const;

  // `in_flight` counts the request that was answered.
  void OnAnswer(std::uint32_t in_flight, TimePoint now);
  // `in_flight` leaves out the request that was refused.
  void OnRefused(std::uint32_t in_flight, TimePoint now, RandomSource& random);

  // Nothing is sent before this time.
  TimePoint ClosedUntil() const { return this->closed_until; }
  double Limit() const { return this->limit; }

 private:
  double Increase(TimePoint now) const;

  double limit = 1;
  std::uint32_t slots = 1;
  std::uint32_t share = 0;
  std::uint32_t refusals_in_a_row = 0;
  TimePoint closed_until{};
  TimePoint last_refusal{};
};

}  // namespace acacia

#endif  // SRC_CONCURRENCY_LIMIT_H_
