// Requests of one service that wait at this entry before an attempt: for the
// retry budget, or for a backend server with a recent good answer. They go in
// the order of rank, then of the time by which they must start.
//
// Not thread-safe; part of the dispatcher.
#ifndef SRC_HELD_REQUESTS_H_
#define SRC_HELD_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"
#include "src/waiting_reports.h"
#include "src/windowed_retry_budget.h"

namespace acacia {

struct HeldRequest {
  RequestId request;
  // 0 is the highest.
  std::uint32_t rank = 0;
  // A request that starts later is not expected to finish by its deadline.
  TimePoint start_deadline;
  // Its next attempt is charged to the retry budget.
  bool needs_budget = true;
  // The next attempt starts no sooner.
  TimePoint not_before{};
  // Until this time the next attempt goes only to a backend server with a
  // recent good answer.
  TimePoint proven_until{};
  TimePoint held_since{};
};

class HeldRequests {
 public:
  void Add(const HeldRequest& held);
  // Does nothing if the request is not held.
  void Remove(RequestId request);
  bool Contains(RequestId request) const {
    return this->keys.contains(request);
  }
  std::size_t Size() const { return this->keys.size(); }
  bool IsEmpty() const { return this->keys.empty(); }

  std::vector<HeldRequest> InOrder() const;
  // The request that is shed when there are too many; nullopt if there is none.
  std::optional<RequestId> Last() const;
  void CountByRank(WaitingCounts& counts) const;
  // True if a request of this rank or a higher one waits for the budget.
  bool HasBudgetClaim(std::uint32_t rank) const;

  // Requests that will not start in time: their start deadline has passed, or
  // the budget that can become free until then belongs to those before them.
  std::vector<HeldRequest> FindTooLate(WindowedRetryBudget& budget,
                                       TimePoint now) const;
  // The next time at which a request could start or becomes too late to start.
  // `retry_interval` is the time between attempts to find a backend server
  // while the budget allows one.
  std::optional<TimePoint> NextTime(WindowedRetryBudget& budget,
                                    Duration retry_interval,
                                    TimePoint now) const;

 private:
  // Rank, start deadline, request.
  using Key = std::tuple<std::uint32_t, TimePoint, RequestId>;

  std::map<Key, HeldRequest> ordered;
  std::unordered_map<RequestId, Key> keys;
};

// How long a request waits before it is sent again to a backend server that
// refused it. `time_left` is the time until it must start.
Duration RepeatDelay(Duration time_left);

// How long a request waits for a backend server with a recent good answer.
// `target_left` is the time until it must start to meet its target latency;
// nullopt if it has none.
Duration ProvenWait(Duration time_left, std::optional<Duration> target_left);

}  // namespace acacia

#endif  // SRC_HELD_REQUESTS_H_
