#include "src/admission_queue.h"

#include <algorithm>

namespace acacia {

namespace {

// A queue of short work that has not been empty for this long is overloaded.
constexpr Duration kStandingQueue = std::chrono::milliseconds(100);

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
  if (this->requests.size() >= this->length) {
    return true;
  }
  const std::uint32_t long_length = std::max(this->length / 2, 1U);
  return work_class == WorkClass::kLong &&
         this->Size(WorkClass::kLong) >= long_length;
}

// The oldest request of the account that has most waiting; the new request
// when its own account would be the one with most.
std::optional<RequestId> AdmissionQueue::Victim(
    const WaitingRequest& waiting) const {
  const ClassQueue& queue = this->QueueOf(waiting.work_class);
  const AccountQueue* longest = nullptr;
  for (const auto& [account, requests] : queue.accounts) {
    if (longest == nullptr || requests.size() > longest->size()) {
      longest = &requests;
    }
  }
  if (longest == nullptr) {
    return std::nullopt;
  }
  const auto own = queue.accounts.find(waiting.account);
  if (own != queue.accounts.end() && own->second.size() == longest->size()) {
    longest = &own->second;
  }
  return longest->begin()->second;
}

std::optional<RequestId> AdmissionQueue::Push(const WaitingRequest& waiting,
                                              TimePoint now) {
  std::optional<RequestId> victim;
  if (this->IsFull(waiting.work_class)) {
    victim = this->Victim(waiting);
    if (!victim) {
      return waiting.request;
    }
    this->Remove(*victim);
  }
  ClassQueue& queue = this->QueueOf(waiting.work_class);
  if (queue.size == 0) {
    queue.standing_since = now;
  }
  const Sequence sequence = this->next_sequence++;
  queue.accounts[waiting.account].emplace(sequence, waiting.request);
  ++queue.size;
  this->by_start.emplace(waiting.start_by, waiting.request);
  this->requests.emplace(waiting.request, Entry{waiting, sequence});
  return victim;
}

void AdmissionQueue::Remove(RequestId request) {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return;
  }
  const WaitingRequest& waiting = found->second.waiting;
  ClassQueue& queue = this->QueueOf(waiting.work_class);
  const auto account = queue.accounts.find(waiting.account);
  account->second.erase(found->second.sequence);
  if (account->second.empty()) {
    queue.accounts.erase(account);
  }
  --queue.size;
  this->by_start.erase({waiting.start_by, request});
  this->requests.erase(found);
}

std::optional<RequestId> AdmissionQueue::Front(WorkClass work_class,
                                               TimePoint now) const {
  const ClassQueue& queue = this->QueueOf(work_class);
  if (queue.size == 0) {
    return std::nullopt;
  }
  auto turn = queue.accounts.upper_bound(queue.last_served);
  if (turn == queue.accounts.end()) {
    turn = queue.accounts.begin();
  }
  const bool newest_first = work_class == WorkClass::kShort &&
                            now - queue.standing_since >= kStandingQueue;
  return newest_first ? turn->second.rbegin()->second
                      : turn->second.begin()->second;
}

void AdmissionQueue::PopFront(RequestId request) {
  const WaitingRequest& waiting = this->requests.at(request).waiting;
  this->QueueOf(waiting.work_class).last_served = waiting.account;
  this->Remove(request);
}

std::vector<RequestId> AdmissionQueue::TakeExpired(TimePoint now) {
  std::vector<RequestId> expired;
  while (!this->by_start.empty() && this->by_start.begin()->first <= now) {
    expired.push_back(this->by_start.begin()->second);
    this->Remove(expired.back());
  }
  return expired;
}

std::optional<TimePoint> AdmissionQueue::NextExpiry() const {
  if (this->by_start.empty()) {
    return std::nullopt;
  }
  return this->by_start.begin()->first;
}

}  // namespace acacia
