// This entry's share of a bound on the fleet's extra attempts at a service:
// within any window, a ratio of the requests and a constant. Each entry keeps
// the ratio for its own requests and its part of the constant, so the sum keeps
// the bound without any agreement.
#ifndef SRC_WINDOWED_RETRY_BUDGET_H_
#define SRC_WINDOWED_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>

#include "src/clock.h"
#include "src/configuration.h"

namespace acacia {

class WindowedRetryBudget {
 public:
  // `window.extra` is this entry's part of the constant.
  void Configure(const RetryWindow& window) { this->window = window; }

  void OnRequest(TimePoint now);
  // Takes one extra attempt; false when the bound would be broken.
  bool Spend(TimePoint now);
  // True while enough is left that a retry more may be provoked.
  bool HasSpare(TimePoint now);

 private:
  void Forget(TimePoint now);
  double Bound() const;

  RetryWindow window;
  std::deque<TimePoint> requests;
  std::deque<TimePoint> spent;
};

}  // namespace acacia

#endif  // SRC_WINDOWED_RETRY_BUDGET_H_
