#include "src/admission_queue.h"

#include <algorithm>

namespace acacia {

namespace {

// A queue of short work that has been non-empty for this long is overloaded and
// is served newest first.
constexpr Duration kNewestFirstThreshold = std::chrono::milliseconds(100);

// Rates change within seconds, so a request whose turn would not come by them
// still waits for this part of its time.
constexpr int kWaitPart = 3;

}  // namespace

AdmissionQueue::ClassQueue& AdmissionQueue::QueueOf(WorkClass work_class) {
  return this->classes[static_cast<std::size_t>(work_class)];
}

const AdmissionQueue::ClassQueue& AdmissionQueue::QueueOf(
    WorkClass work_class) const {
  return this->classes[static_cast<std::size_t>(work_class)];
}

std::uint32_t AdmissionQueue::Size(WorkClass work_class) const {
  return this->QueueOf(work_class).size;
}

bool AdmissionQueue::IsFull(WorkClass work_class) const {
  if (this->requests.size() >= this->max_length) {
    return true;
  }
  const std::uint32_t max_long_length = std::max(this->max_length / 2, 1U);
  return work_class == WorkClass::kLong &&
         this->Size(WorkClass::kLong) >= max_long_length;
}

// Of the lowest rank, the oldest request of the account with the most queued
// requests; on a tie, of the new request's account. Returns nullopt if the new
// request is the lowest, or no request of this class is queued.
std::optional<RequestId> AdmissionQueue::FindVictim(
    const WaitingRequest& waiting) const {
  const ClassQueue& queue = this->QueueOf(waiting.work_class);
  const auto lowest = std::find_if(
      queue.ranks.rbegin(), queue.ranks.rend(),
      [](const auto& item) { return !item.second.accounts.empty(); });
  if (lowest == queue.ranks.rend() || waiting.rank > lowest->first) {
    return std::nullopt;
  }
  const std::map<AccountId, AccountQueue>& accounts = lowest->second.accounts;
  const AccountQueue* longest = nullptr;
  for (const auto& [account, requests] : accounts) {
    if (longest == nullptr || requests.size() > longest->size()) {
      longest = &requests;
    }
  }
  const auto own = accounts.find(waiting.account);
  if (own != accounts.end() && own->second.size() == longest->size()) {
    longest = &own->second;
  }
  return longest->begin()->second;
}

std::optional<RequestId> AdmissionQueue::Push(const WaitingRequest& waiting,
                                              TimePoint now) {
  std::optional<RequestId> victim;
  if (this->IsFull(waiting.work_class)) {
    victim = this->FindVictim(waiting);
    if (!victim) {
      return waiting.request;
    }
    this->Remove(*victim);
  }
  ClassQueue& queue = this->QueueOf(waiting.work_class);
  RankQueue& rank = queue.ranks[waiting.rank];
  if (rank.accounts.empty()) {
    rank.nonempty_since = now;
  }
  const Sequence sequence = this->next_sequence++;
  rank.accounts[waiting.account].emplace(sequence, waiting.request);
  ++queue.size;
  this->by_start_deadline.emplace(waiting.start_deadline, waiting.request);
  this->requests.emplace(waiting.request,
                         QueuedRequest{waiting, sequence, now});
  return victim;
}

void AdmissionQueue::Remove(RequestId request) {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return;
  }
  const WaitingRequest& waiting = found->second.waiting;
  ClassQueue& queue = this->QueueOf(waiting.work_class);
  RankQueue& rank = queue.ranks[waiting.rank];
  const auto account = rank.accounts.find(waiting.account);
  account->second.erase(found->second.sequence);
  if (account->second.empty()) {
    rank.accounts.erase(account);
  }
  --queue.size;
  this->by_start_deadline.erase({waiting.start_deadline, request});
  this->requests.erase(found);
}

void AdmissionQueue::CountByRank(WaitingCounts& counts) const {
  for (const auto& [id, queued] : this->requests) {
    AddWaiting(counts, queued.waiting.rank);
  }
}

const AdmissionQueue::RankQueue* AdmissionQueue::NextRank(
    const ClassQueue& queue) const {
  const RankQueue* next = nullptr;
  for (const auto& [rank, rank_queue] : queue.ranks) {
    const bool has_turn =
        next == nullptr ||
        this->shares.IsOwed(rank, this->shares.StartedShare());
    if (!rank_queue.accounts.empty() && has_turn) {
      next = &rank_queue;
    }
  }
  return next;
}

std::optional<RequestId> AdmissionQueue::Front(WorkClass work_class,
                                               TimePoint now) const {
  const RankQueue* queue = this->NextRank(this->QueueOf(work_class));
  if (queue == nullptr) {
    return std::nullopt;
  }
  auto next_account = queue->accounts.upper_bound(queue->last_served);
  if (next_account == queue->accounts.end()) {
    next_account = queue->accounts.begin();
  }
  const bool newest_first =
      work_class == WorkClass::kShort &&
      now - queue->nonempty_since >= kNewestFirstThreshold;
  return newest_first ? next_account->second.rbegin()->second
                      : next_account->second.begin()->second;
}

void AdmissionQueue::PopFront(RequestId request) {
  const WaitingRequest& waiting = this->requests.at(request).waiting;
  this->QueueOf(waiting.work_class).ranks[waiting.rank].last_served =
      waiting.account;
  this->Remove(request);
}

std::vector<RequestId> AdmissionQueue::FindTooLate(TimePoint now) const {
  std::vector<RequestId> too_late;
  for (const ClassQueue& queue : this->classes) {
    std::size_t ahead = 0;
    for (const auto& [rank, rank_queue] : queue.ranks) {
      this->AddTooLate(rank, rank_queue, ahead, too_late, now);
      for (const auto& [account, requests] : rank_queue.accounts) {
        ahead += requests.size();
      }
    }
  }
  return too_late;
}

void AdmissionQueue::AddTooLate(std::uint32_t rank,
                                const RankQueue& queue,
                                std::size_t ahead,
                                std::vector<RequestId>& too_late,
                                TimePoint now) const {
  // Newer requests of the rank go first, so they count like higher ranks.
  const double drain_rate =
      this->shares.StartRate(now) - this->shares.ArrivalRate(rank, now);
  for (const auto& [account, requests] : queue.accounts) {
    std::size_t position = ahead;
    for (auto each = requests.rbegin(); each != requests.rend(); ++each) {
      // One of each other account goes before the next of this one.
      position += queue.accounts.size();
      const QueuedRequest& queued = this->requests.at(each->second);
      const Duration min_wait =
          (queued.waiting.start_deadline - queued.pushed_at) / kWaitPart;
      const std::chrono::duration<double> left =
          queued.waiting.start_deadline - now;
      const bool is_in_time = drain_rate > 0 && static_cast<double>(position) <=
                                                    drain_rate * left.count();
      if (!is_in_time && now - queued.pushed_at >= min_wait) {
        too_late.push_back(each->second);
      }
    }
  }
}

std::vector<RequestId> AdmissionQueue::TakeExpired(TimePoint now) {
  std::vector<RequestId> expired;
  while (!this->by_start_deadline.empty() &&
         this->by_start_deadline.begin()->first <= now) {
    expired.push_back(this->by_start_deadline.begin()->second);
    this->Remove(expired.back());
  }
  return expired;
}

std::optional<TimePoint> AdmissionQueue::NextExpiry() const {
  if (this->by_start_deadline.empty()) {
    return std::nullopt;
  }
  return this->by_start_deadline.begin()->first;
}

}  // namespace acacia
