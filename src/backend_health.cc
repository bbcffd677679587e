#include "src/backend_health.h"

#include <algorithm>
#include <cmath>

namespace acacia {

namespace {

// Natural logarithm of the odds that the evidence must reach; half of it for
// one that has just returned.
constexpr double kThreshold = 12;
constexpr double kThresholdAfterReturn = 6;
// Rates at a sick backend server, and the least that counts as usual.
constexpr double kSickFailureRate = 0.45;
constexpr double kSickSlowRate = 0.6;
constexpr double kLeastUsualFailureRate = 0.01;
constexpr double kLeastUsualSlowRate = 0.03;
// What is usual is known only roughly.
constexpr double kUsualMargin = 1.5;
constexpr double kBadnessStep = 0.2;

constexpr Duration kFirstAvoidance = std::chrono::seconds(2);
constexpr Duration kLongestAvoidance = std::chrono::seconds(60);
constexpr std::uint32_t kMostRelapses = 5;
constexpr std::uint32_t kGoodToReturn = 3;
constexpr std::uint32_t kMoreGoodPerRelapse = 2;
constexpr Duration kRamp = std::chrono::seconds(4);
constexpr double kFirstRampWeight = 0.1;
constexpr Duration kRelapseMemory = std::chrono::minutes(5);

// The trickle is this part of the requests sent before.
constexpr double kTricklePart = 0.03;
constexpr std::chrono::duration<double> kRateMemory = std::chrono::seconds(20);
constexpr std::chrono::duration<double> kShortestTrickle(0.5);
constexpr std::chrono::duration<double> kLongestTrickle(60);

// Log-likelihood ratio of one outcome, sick against usual.
double Evidence(bool bad, double usual, double sick) {
  if (usual >= sick) {
    return 0;
  }
  return bad ? std::log(sick / usual) : std::log((1 - sick) / (1 - usual));
}

double Usual(double rate, double least) {
  return std::max(least, rate * kUsualMargin);
}

}  // namespace

bool BackendHealth::Add(const AttemptEvidence& outcome,
                        const UsualRates& usual,
                        TimePoint now) {
  this->Remember(outcome);
  const double harm = outcome.failed ? 1 : (outcome.slow ? 0.5 : 0);
  this->badness += kBadnessStep * (harm - this->badness);
  if (this->IsAvoided()) {
    this->Judge(outcome, now);
    return false;
  }
  const double failure =
      Evidence(outcome.failed, Usual(usual.failed, kLeastUsualFailureRate),
               kSickFailureRate);
  const double slow = Evidence(
      outcome.slow, Usual(usual.slow, kLeastUsualSlowRate), kSickSlowRate);
  this->failure_sum =
      std::max(0.0, this->failure_sum + failure * (outcome.corrupt ? 2 : 1));
  // A failure says nothing of speed.
  if (!outcome.failed) {
    this->slow_sum = std::max(0.0, this->slow_sum + slow);
  }
  if (this->failure_sum + this->slow_sum < this->Threshold(now)) {
    this->suspect_since.reset();
  }
  if (!outcome.IsBad()) {
    return false;
  }
  this->mostly_slow = this->slow_sum > this->failure_sum;
  this->bad_starts.push_back(outcome.started);
  if (this->bad_starts.size() > kSuspectOutcomes) {
    this->bad_starts.pop_front();
  }
  const bool suspect =
      this->failure_sum + this->slow_sum >= this->Threshold(now);
  if (suspect && !this->suspect_since) {
    this->suspect_since =
        *std::min_element(this->bad_starts.begin(), this->bad_starts.end());
  }
  return suspect;
}

void BackendHealth::Remember(const AttemptEvidence& outcome) {
  this->recent[this->recent_next] = outcome;
  this->recent_next = (this->recent_next + 1) % kRecent;
  this->recent_count = std::min(this->recent_count + 1, kRecent);
}

// Outcomes of the trickle decide when an avoided one returns.
void BackendHealth::Judge(const AttemptEvidence& outcome, TimePoint now) {
  if (outcome.started < this->avoided_at) {
    return;
  }
  if (outcome.IsBad()) {
    this->good_in_a_row = 0;
    return;
  }
  ++this->good_in_a_row;
  const std::uint32_t needed =
      kGoodToReturn + kMoreGoodPerRelapse * this->relapses;
  if (this->good_in_a_row >= needed && now >= this->avoided_until) {
    this->Return(now);
  }
}

bool BackendHealth::IsDoubtful(TimePoint now) const {
  return this->failure_sum + this->slow_sum >= this->Threshold(now) / 2;
}

double BackendHealth::Threshold(TimePoint now) const {
  return this->State(now) == Condition::kReturning ? kThresholdAfterReturn
                                                   : kThreshold;
}

void BackendHealth::OnStart(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->sent_at;
  this->sent = this->sent * std::exp(-(passed / kRateMemory)) + 1;
  this->sent_at = now;
  if (this->IsAvoided()) {
    this->next_trickle =
        now + std::chrono::duration_cast<Duration>(this->trickle_interval);
  }
}

void BackendHealth::Avoid(TimePoint now) {
  const bool relapse =
      this->has_returned && now - this->returned_at < kRelapseMemory;
  this->relapses = relapse ? std::min(this->relapses + 1, kMostRelapses) : 0;
  const std::chrono::duration<double> passed = now - this->sent_at;
  const double rate =
      this->sent * std::exp(-(passed / kRateMemory)) / kRateMemory.count();
  const std::chrono::duration<double> interval(
      1 / std::max(rate * kTricklePart, 1e-6));
  if (!relapse || this->trickle_interval == Duration{}) {
    this->trickle_interval = std::chrono::duration_cast<Duration>(
        std::clamp(interval, kShortestTrickle, kLongestTrickle));
  }
  this->condition = Condition::kAvoided;
  this->avoided_at = now;
  this->avoided_until =
      now +
      std::min(kLongestAvoidance, kFirstAvoidance * (1U << this->relapses));
  this->next_trickle = now + this->trickle_interval;
  this->good_in_a_row = 0;
  this->Forget();
}

void BackendHealth::Spare(TimePoint now) {
  this->condition = Condition::kReturning;
  this->returned_at = now - kRamp * (1U + this->relapses);
  this->has_returned = true;
  this->Forget();
}

void BackendHealth::Acquit() {
  this->Forget();
}

void BackendHealth::Return(TimePoint now) {
  this->condition = Condition::kReturning;
  this->returned_at = now;
  this->has_returned = true;
  this->Forget();
}

void BackendHealth::Forget() {
  this->failure_sum = 0;
  this->slow_sum = 0;
  this->suspect_since.reset();
  this->bad_starts.clear();
}

BackendHealth::Condition BackendHealth::State(TimePoint now) const {
  const Duration ramp = kRamp * (1U + this->relapses);
  const bool ramped = this->condition == Condition::kReturning &&
                      now - this->returned_at >= ramp;
  return ramped ? Condition::kHealthy : this->condition;
}

double BackendHealth::Weight(TimePoint now) const {
  switch (this->State(now)) {
    case Condition::kHealthy:
      return 1;
    case Condition::kAvoided:
      return 0;
    case Condition::kReturning:
      break;
  }
  const Duration ramp = kRamp * (1U + this->relapses);
  const double done = static_cast<double>((now - this->returned_at).count()) /
                      static_cast<double>(ramp.count());
  return kFirstRampWeight + (1 - kFirstRampWeight) * done;
}

bool BackendHealth::IsTrickleDue(TimePoint now) const {
  return this->IsAvoided() && now >= this->next_trickle;
}

}  // namespace acacia
