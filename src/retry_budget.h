// Bounds the extra load that an entry's retries and hedges put on a service.
// Every request adds a fraction of a retry to the budget, so a full outage sees
// at most 1 + fraction attempts per request (retry budgets as in Finagle). A
// refusal costs the backend server nothing, so a retry after one may also use
// the credit that answers add: a refused request may look for a free slot while
// the service answers, but not once nothing answers any more.
#ifndef SRC_RETRY_BUDGET_H_
#define SRC_RETRY_BUDGET_H_

#include <cstdint>
#include <optional>

#include "src/clock.h"

namespace acacia {

class RetryBudget {
 public:
  // Sets the extra attempts allowed, as a percentage of requests.
  void Configure(std::uint32_t percent);

  void OnRequest();
  void OnAnswer(TimePoint now);

  // Charges one retry or hedge; returns false if none is left.
  bool Spend();
  // Charges one retry of an attempt that the backend server refused; returns
  // false if none is left.
  bool SpendAfterRefusal();
  // True if the service answered recently. A refused request may then wait for
  // a slot although no retry is left.
  bool HasRecentAnswer(TimePoint now) const;

 private:
  double earned_per_request = 0;
  double retries = 1;
  double refusal_retries = 0;
  std::optional<TimePoint> last_answer;
};

}  // namespace acacia

#endif  // SRC_RETRY_BUDGET_H_
