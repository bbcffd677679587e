// Bounds the extra attempts that an entry adds to a service's load. Every
// request earns a fraction of a retry, so that a full outage is met with at
// most 1 + fraction attempts per request (retry budgets as in Finagle). A
// refusal costs the backend server nothing, so retries after one may also be
// paid from what answers earned: while a service answers, a refused request
// may look for a free slot; when nothing answers any more, it may not.
#ifndef SRC_RETRY_BUDGET_H_
#define SRC_RETRY_BUDGET_H_

#include <cstdint>
#include <optional>

#include "src/clock.h"

namespace acacia {

class RetryBudget {
 public:
  // Extra attempts as a share of requests.
  void Configure(std::uint32_t percent);

  void OnRequest();
  void OnAnswer(TimePoint now);

  // Takes one retry or hedge; false when none is left.
  bool Spend();
  // Takes one retry of an attempt that provably did not run.
  bool SpendAfterRefusal();
  // The service has answered within the last moments: a request that was
  // refused may wait for a slot although no retry is left.
  bool HasAnswered(TimePoint now) const;

 private:
  double earned_per_request = 0;
  double retries = 1;
  double refusal_retries = 0;
  std::optional<TimePoint> last_answer;
};

}  // namespace acacia

#endif  // SRC_RETRY_BUDGET_H_
