// Limits how many requests this entry has in flight at one backend server.
// Entries cannot see each other's use of a backend server's few slots, so each
// learns from refusals. A refusal lowers the limit to what was in flight and
// closes the backend server for a pause that grows with each further refusal.
// Answers raise the limit again while it is fully used (additive increase,
// after Chiu and Jain 1989).
#ifndef SRC_CONCURRENCY_LIMIT_H_
#define SRC_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "src/clock.h"
#include "src/random_source.h"

namespace acacia {

class ConcurrencyLimit {
 public:
  // `slots` bounds the limit. `share` is this entry's part of the slots: the
  // limit starts there, and returns to it quickly after refusals.
  void Configure(std::uint32_t slots, std::uint32_t share);

  bool Allows(std::uint32_t in_flight, TimePoint now) const;

  // `in_flight` includes the request that was answered.
  void OnAnswer(std::uint32_t in_flight, TimePoint now);
  // `in_flight` excludes the request that was refused.
  void OnRefused(std::uint32_t in_flight, TimePoint now, RandomSource& random);

  // Allows returns false before this time.
  TimePoint ClosedUntil() const { return this->closed_until; }
  double Limit() const { return this->limit; }

 private:
  double Increase(TimePoint now) const;

  double limit = 1;
  std::uint32_t slots = 1;
  std::uint32_t share = 0;
  std::uint32_t consecutive_refusals = 0;
  TimePoint closed_until{};
  TimePoint last_refusal{};
};

}  // namespace acacia

#endif  // SRC_CONCURRENCY_LIMIT_H_
