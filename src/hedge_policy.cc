#include "src/hedge_policy.h"

#include <algorithm>
#include <utility>

#include "src/dispatcher.h"

namespace acacia {
namespace {

constexpr double kPercent = 100;
// Hedging the faster nine tenths would mostly repeat work that is about to
// finish, whatever limit the operator sets.
constexpr double kMaxEligibleShare = 0.1;
// The delay is known once this many observations are expected above it, and is
// computed from up to four times as many. Fewer give delays that vary by more
// than a fifth; more adapt slowly at entries with a few requests a second.
constexpr double kMinSlowObservations = 5;
constexpr double kMaxSlowObservations = 4 * kMinSlowObservations;
// Above this load per slot a hedge would take a slot that a request may need
// within moments. Known loads are some 40 ms old.
constexpr double kMaxRequestsPerSlot = 0.75;
// A hedge that was not sent is considered again when the attempt is older by
// one of this many parts of its age, and after this pause.
constexpr int kAgeParts = 4;
constexpr Duration kMinPause = std::chrono::milliseconds(1);
// Measurement starts again when there are more routes than this, so that those
// of removed routes do not accumulate.
constexpr std::size_t kMaxRoutes = 1024;

bool MayBeHedged(const Work& work) {
  return work.hedgeable && work.idempotent &&
         work.work_class == WorkClass::kShort && work.max_attempts != 1;
}

double EligibleShare(double limit) {
  return std::min(limit, kMaxEligibleShare);
}

}  // namespace

HedgePolicy::HedgePolicy(HedgeHook on_event) : on_event(std::move(on_event)) {}

void HedgePolicy::Configure(double percent) {
  this->share = std::clamp(percent / kPercent, 0.0, 1.0);
  this->limit.Configure(this->share);
  if (!this->IsEnabled()) {
    this->latencies.clear();
    this->schedules.clear();
    this->by_due_time.clear();
  }
}

void HedgePolicy::OnRequest(TimePoint now) {
  if (this->IsEnabled()) {
    this->limit.OnRequest(now);
  }
}

std::optional<Duration> HedgePolicy::Delay(const Work& work) const {
  const auto found = this->latencies.find(work.latency_key);
  const double eligible = EligibleShare(this->share);
  if (!this->IsEnabled() || found == this->latencies.end() ||
      found->second.Count() * eligible < kMinSlowObservations) {
    return std::nullopt;
  }
  return found->second.Quantile(1 - eligible);
}

void HedgePolicy::OnStart(const Work& work, AttemptId attempt, TimePoint now) {
  const auto delay =
      MayBeHedged(work) ? this->Delay(work) : std::optional<Duration>();
  if (delay && now + *delay < work.deadline) {
    const TimePoint due = now + *delay;
    this->schedules[work.request] = {attempt, now, due, work.deadline};
    this->by_due_time.emplace(due, work.request);
  }
}

void HedgePolicy::OnEnd(RequestId request, AttemptId attempt) {
  const auto found = this->schedules.find(request);
  if (found != this->schedules.end() && found->second.attempt == attempt) {
    this->by_due_time.erase({found->second.due, request});
    this->schedules.erase(found);
  }
}

void HedgePolicy::OnAnswer(const Work& work, Duration latency) {
  if (!this->IsEnabled() || !MayBeHedged(work)) {
    return;
  }
  if (this->latencies.size() >= kMaxRoutes &&
      !this->latencies.contains(work.latency_key)) {
    this->latencies.clear();
  }
  this->latencies[work.latency_key].Add(
      latency, kMaxSlowObservations / EligibleShare(this->share));
}

// The rank of an observation that ended early is only known if it already is
// above the delay. Without these, a hedge that wins would remove a slow attempt
// from the measurement, and the delay would sink with every hedge.
void HedgePolicy::OnAbandoned(const Work& work, Duration age) {
  const std::optional<Duration> delay = this->Delay(work);
  if (delay && age >= *delay) {
    this->OnAnswer(work, age);
  }
}

std::optional<TimePoint> HedgePolicy::NextTimer() const {
  return this->by_due_time.empty()
             ? std::nullopt
             : std::optional(this->by_due_time.begin()->first);
}

std::vector<std::pair<RequestId, AttemptId>> HedgePolicy::TakeDue(
    TimePoint now) {
  std::vector<std::pair<RequestId, AttemptId>> due;
  while (!this->by_due_time.empty() &&
         this->by_due_time.begin()->first <= now) {
    const RequestId request = this->by_due_time.begin()->second;
    Schedule& schedule = this->schedules.at(request);
    due.emplace_back(request, schedule.attempt);
    const TimePoint next =
        now + std::max((now - schedule.started) / kAgeParts, kMinPause);
    if (next >= schedule.deadline) {
      this->OnEnd(request, schedule.attempt);
      continue;
    }
    this->by_due_time.erase(this->by_due_time.begin());
    schedule.due = next;
    this->by_due_time.emplace(next, request);
  }
  return due;
}

bool HedgePolicy::Allows(const Work& work,
                         const std::optional<ServiceLoad>& load,
                         TimePoint now) const {
  const auto found = this->latencies.find(work.latency_key);
  if (!this->IsEnabled() || !MayBeHedged(work) ||
      found == this->latencies.end()) {
    return false;
  }
  constexpr double kMedian = 0.5;
  const bool has_room =
      !load ||
      (load->requests_per_slot < kMaxRequestsPerSlot &&
       load->rate_limit_wait == Duration{} && load->pause_wait == Duration{});
  return has_room && now + found->second.Quantile(kMedian) < work.deadline;
}

bool HedgePolicy::HasCredit(RequestId request, TimePoint now) {
  const bool has_credit = this->limit.Allows(now);
  const auto found = this->schedules.find(request);
  const bool is_first = found == this->schedules.end() ||
                        !std::exchange(found->second.was_refused, !has_credit);
  if (!has_credit && is_first) {
    this->Report(HedgeEvent::kRefusedByLimit);
  }
  return has_credit;
}

void HedgePolicy::OnSent(TimePoint now) {
  this->limit.Charge(now);
  this->Report(HedgeEvent::kSent);
}

void HedgePolicy::Report(HedgeEvent event) const {
  if (this->on_event) {
    this->on_event(event);
  }
}

}  // namespace acacia
