// Requests that wait for a slot: bounded, separate for each work class, fair
// between accounts (round robin), each with the time by which it must start.
// Short work is served oldest first until its queue has stood for a while, then
// newest first, so that under overload the served are served fast (adaptive
// LIFO, after Maurer, "Fail at Scale", 2015). What is shed has not run.
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

namespace acacia {

struct WaitingRequest {
  RequestId request;
  AccountId account;
  WorkClass work_class = WorkClass::kShort;
  // After this time the request cannot be answered within its deadline.
  TimePoint start_by;
};

class AdmissionQueue {
 public:
  // The most requests that wait, both classes together; long work may take half
  // of them.
  void Configure(std::uint32_t length) { this->length = length; }

  // Returns the request that had to go, which may be the one pushed.
  std::optional<RequestId> Push(const WaitingRequest& waiting, TimePoint now);
  // Does nothing when the request does not wait.
  void Remove(RequestId request);

  // The next to start.
  std::optional<RequestId> Front(WorkClass work_class, TimePoint now) const;
  // Start something of this account: the next turn is another account's.
  void PopFront(RequestId request);

  // Requests that can no longer start in time; they are removed.
  std::vector<RequestId> TakeExpired(TimePoint now);
  std::optional<TimePoint> NextExpiry() const;

  std::uint32_t Size(WorkClass work_class) const;
  bool IsEmpty() const { return this->requests.empty(); }

 private:
  using Sequence = std::uint64_t;
  using AccountQueue = std::map<Sequence, RequestId>;
  struct Entry {
    WaitingRequest waiting;
    Sequence sequence = 0;
  };
  struct ClassQueue {
    std::map<AccountId, AccountQueue> accounts;
    // The account served last.
    AccountId last_served;
    std::uint32_t size = 0;
    TimePoint standing_since;
  };

  ClassQueue& QueueOf(WorkClass work_class);
  const ClassQueue& QueueOf(WorkClass work_class) const;
  bool IsFull(WorkClass work_class) const;
  std::optional<RequestId> Victim(const WaitingRequest& waiting) const;

  std::uint32_t length = 0;
  Sequence next_sequence = 0;
  std::array<ClassQueue, kWorkClassCount> classes;
  std::unordered_map<RequestId, Entry> requests;
  std::set<std::pair<TimePoint, RequestId>> by_start;
};

}  // namespace acacia

#endif  // SRC_ADMISSION_QUEUE_H_
