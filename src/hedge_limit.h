// Limits the hedges of one service at this entry to a share of the entry's own
// requests. As each entry keeps the limit for itself, the fleet keeps it too,
// without messages.
//
// Two rules hold together. Of the requests of any window up to now, at most the
// share is hedged. And a credit, which each request raises by the share, pays
// for each hedge, so that what a whole window allows is not spent within
// moments. The credit is kept small, but never below one hedge, so that an
// entry with few requests can send single hedges.
//
// In any period, the hedges therefore number at most the share of the period's
// requests plus the largest credit: one hedge, or the share of three seconds'
// requests if that is more.
#ifndef SRC_HEDGE_LIMIT_H_
#define SRC_HEDGE_LIMIT_H_

#include <array>
#include <cstdint>

#include "src/clock.h"

namespace acacia {

class HedgeLimit {
 public:
  // Long enough that an entry with one request a second can send a hedge under
  // a limit of 1 %.
  static constexpr Duration kWindow = std::chrono::seconds(120);

  // Sets the most hedges as a share of requests, from 0 to 1.
  void Configure(double share) { this->share = share; }

  void OnRequest(TimePoint now);
  // Whether one more hedge may be sent now.
  bool Allows(TimePoint now);
  // Charges one hedge.
  void Charge(TimePoint now);

 private:
  // Counts are kept in periods of this length. The oldest period may lie partly
  // outside the window: its hedges count and its requests do not.
  static constexpr Duration kPeriod = std::chrono::seconds(2);
  static constexpr std::int64_t kPeriods = kWindow / kPeriod;

  struct Counts {
    std::uint32_t requests = 0;
    std::uint32_t hedges = 0;
  };

  void MoveTo(TimePoint now);
  Counts& At(std::int64_t period) {
    return this->counts[static_cast<std::size_t>(period % (kPeriods + 1))];
  }

  double share = 0;
  double credit = 0;
  // The latest period; earlier ones follow it in the ring.
  std::int64_t latest = 0;
  std::array<Counts, kPeriods + 1> counts{};
  // Sums over the window.
  std::uint32_t requests = 0;
  std::uint32_t hedges = 0;
};

}  // namespace acacia

#endif  // SRC_HEDGE_LIMIT_H_
