// This entry's share of a fleet-wide bound on extra attempts at a service:
// within any window, a ratio of the requests plus a constant. Each entry
// applies the ratio to its own requests and takes a part of the constant, so
// the sum over all entries stays within the bound without coordination.
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
  // Charges one extra attempt; returns false if it would exceed the bound.
  bool Spend(TimePoint now);
  // Whether Spend would succeed.
  bool CanSpend(TimePoint now);
  // The most attempts that can be charged from now until `at`, if requests keep
  // arriving at a rate somewhat above the present one.
  std::size_t SpendableBy(TimePoint at, TimePoint now);
  // When an attempt can be charged if no further request arrives; `now` if one
  // can be charged now.
  TimePoint NextSpend(TimePoint now);
  // True while enough budget is left to risk an attempt that is more likely to
  // need a retry.
  bool HasSpare(TimePoint now);

 private:
  void RemoveExpired(TimePoint now);
  double Bound() const;

  RetryWindow window;
  std::deque<TimePoint> requests;
  std::deque<TimePoint> spent;
};

}  // namespace acacia

#endif  // SRC_WINDOWED_RETRY_BUDGET_H_
