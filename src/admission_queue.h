// Bounded queue of requests that wait for a slot. Each work class has its own
// queue, which serves higher ranks first, with a guaranteed part of the turns
// for lower ones, and the accounts of a rank round-robin. Each request has a
// time by which it must start. Short work is served oldest first; once its
// queue has been non-empty for a while, newest first, so that under overload
// the requests that are served have short waits (adaptive LIFO, after Maurer,
// "Fail at Scale", 2015). Requests that are shed have not run.
#ifndef SRC_ADMISSION_QUEUE_H_
#define SRC_ADMISSION_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/configuration.h"
#include "src/ids.h"
#include "src/rank_shares.h"
#include "src/waiting_reports.h"

namespace acacia {

struct WaitingRequest {
  RequestId request;
  AccountId account;
  WorkClass work_class = WorkClass::kShort;
  // 0 is the highest.
  std::uint32_t rank = 0;
  // A request that starts later is not expected to finish by its deadline.
  TimePoint start_deadline;
};

class AdmissionQueue {
 public:
  // Sets the maximum number of queued requests of both classes together. Long
  // work may take up half of it.
  void Configure(std::uint32_t max_length) { this->max_length = max_length; }

  // Adds a request. If the queue is full, returns the request that was shed,
  // which may be the one pushed.
  std::optional<RequestId> Push(const WaitingRequest& waiting, TimePoint now);
  // Does nothing if the request is not queued.
  void Remove(RequestId request);

  // The next request of the class to start; nullopt if none is queued.
  std::optional<RequestId> Front(WorkClass work_class, TimePoint now) const;
  // Removes a request that was started. The next turn goes to another account.
  void PopFront(RequestId request);

  // Requests that will not start in time at the rates of the last seconds:
  // those before them take longer, or newer ones will always be served first.
  std::vector<RequestId> FindTooLate(TimePoint now) const;

  // Removes and returns the requests whose start deadline has passed.
  std::vector<RequestId> TakeExpired(TimePoint now);
  std::optional<TimePoint> NextExpiry() const;

  std::uint32_t Size(WorkClass work_class) const;
  bool IsEmpty() const { return this->requests.empty(); }
  void CountByRank(WaitingCounts& counts) const;

  // Requests that arrived and were started, whether they were queued or not.
  RankShares& Shares() { return this->shares; }

 private:
  using Sequence = std::uint64_t;
  using AccountQueue = std::map<Sequence, RequestId>;
  struct QueuedRequest {
    WaitingRequest waiting;
    Sequence sequence = 0;
    TimePoint pushed_at;
  };
  struct RankQueue {
    std::map<AccountId, AccountQueue> accounts;
    AccountId last_served;
    TimePoint nonempty_since;
  };
  struct ClassQueue {
    // A rank stays listed when its last request leaves.
    std::map<std::uint32_t, RankQueue> ranks;
    std::uint32_t size = 0;
  };

  ClassQueue& QueueOf(WorkClass work_class);
  const ClassQueue& QueueOf(WorkClass work_class) const;
  void AddTooLate(std::uint32_t rank,
                  const RankQueue& queue,
                  std::size_t ahead,
                  std::vector<RequestId>& too_late,
                  TimePoint now) const;
  // The rank whose turn it is; null if the queue is empty.
  const RankQueue* NextRank(const ClassQueue& queue) const;
  bool IsFull(WorkClass work_class) const;
  std::optional<RequestId> FindVictim(const WaitingRequest& waiting) const;

  RankShares shares;
  std::uint32_t max_length = 0;
  Sequence next_sequence = 0;
  std::array<ClassQueue, kWorkClassCount> classes;
  std::unordered_map<RequestId, QueuedRequest> requests;
  std::set<std::pair<TimePoint, RequestId>> by_start_deadline;
};

}  // namespace acacia

#endif  // SRC_ADMISSION_QUEUE_H_
