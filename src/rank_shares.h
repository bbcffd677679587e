// Counts the requests of one service that arrived and that were sent on, by
// rank, over the last seconds, so that lower ranks are not starved.
#ifndef SRC_RANK_SHARES_H_
#define SRC_RANK_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "src/clock.h"

namespace acacia {

class RankShares {
 public:
  void OnArrival(std::uint32_t rank, TimePoint now);
  void OnStart(std::uint32_t rank, TimePoint now);

  // Requests of this rank and those above that arrived per second.
  double ArrivalRate(std::uint32_t rank, TimePoint now) const;
  // Requests of all ranks that were started per second.
  double StartRate(TimePoint now) const;
  // The share of all requests that were started.
  double StartedShare() const;
  // True when less than the guaranteed part of `share` of the rank's requests
  // were started.
  bool IsOwed(std::uint32_t rank, double share) const;

 private:
  struct Counts {
    double arrived = 0;
    double started = 0;
  };

  void Decay(TimePoint now);
  // The time that the counts stand for, in seconds.
  double Span(TimePoint now) const;

  std::map<std::uint32_t, Counts> by_rank;
  Counts all;
  TimePoint decayed_at{};
  std::optional<TimePoint> began;
};

}  // namespace acacia

#endif  // SRC_RANK_SHARES_H_
