#include "src/backend_health.h"

#include <algorithm>
#include <cmath>

namespace acacia {

namespace {

// The log-odds (natural logarithm) at which a backend server becomes a suspect.
// Half as much is needed for one that has just returned.
constexpr double kLogOddsThreshold = 12;
constexpr double kLogOddsThresholdAfterReturn = 6;
// Rates of bad outcomes assumed at a faulty backend server, and lower bounds
// for the usual rates.
constexpr double kFaultyFailureRate = 0.45;
constexpr double kFaultySlowRate = 0.6;
constexpr double kMinUsualFailureRate = 0.01;
constexpr double kMinUsualSlowRate = 0.03;
// Factor on the usual rates, which are only rough estimates.
constexpr double kUsualMargin = 1.5;
constexpr double kBadRateSmoothing = 0.2;

constexpr Duration kMinAvoidance = std::chrono::seconds(2);
constexpr Duration kMaxAvoidance = std::chrono::seconds(60);
constexpr std::uint32_t kMaxRelapses = 5;
constexpr std::uint32_t kGoodOutcomesToReturn = 3;
constexpr std::uint32_t kExtraGoodPerRelapse = 2;
constexpr Duration kRamp = std::chrono::seconds(4);
constexpr double kMinRampWeight = 0.1;
constexpr Duration kRelapseWindow = std::chrono::minutes(5);

// The share of the request rate before avoidance that is sent as probes.
constexpr double kProbeShare = 0.03;
constexpr std::chrono::duration<double> kRateDecayTime =
    std::chrono::seconds(20);
constexpr std::chrono::duration<double> kMinProbeInterval(0.5);
constexpr std::chrono::duration<double> kMaxProbeInterval(60);

// Returns the log-likelihood ratio of one outcome for a faulty against a usual
// backend server.
double LogLikelihoodRatio(bool bad, double usual, double faulty) {
  if (usual >= faulty) {
    return 0;
  }
  return bad ? std::log(faulty / usual) : std::log((1 - faulty) / (1 - usual));
}

double UsualWithMargin(double rate, double minimum) {
  return std::max(minimum, rate * kUsualMargin);
}

}  // namespace

bool BackendHealth::Add(const AttemptEvidence& outcome,
                        const UsualRates& usual,
                        TimePoint now) {
  this->RecordRecent(outcome);
  const double sample = outcome.failed ? 1 : (outcome.slow ? 0.5 : 0);
  this->bad_outcome_rate +=
      kBadRateSmoothing * (sample - this->bad_outcome_rate);
  if (this->IsAvoided()) {
    this->AddProbeOutcome(outcome, now);
    return false;
  }
  const double failure = LogLikelihoodRatio(
      outcome.failed, UsualWithMargin(usual.failed, kMinUsualFailureRate),
      kFaultyFailureRate);
  const double slow = LogLikelihoodRatio(
      outcome.slow, UsualWithMargin(usual.slow, kMinUsualSlowRate),
      kFaultySlowRate);
  this->failure_sum =
      std::max(0.0, this->failure_sum + failure * (outcome.corrupt ? 2 : 1));
  // A failure carries no information about speed.
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
  if (this->bad_starts.size() > kTrackedBadStarts) {
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

void BackendHealth::RecordRecent(const AttemptEvidence& outcome) {
  this->recent[this->recent_next] = outcome;
  this->recent_next = (this->recent_next + 1) % kRecentOutcomes;
  this->recent_count = std::min(this->recent_count + 1, kRecentOutcomes);
}

// Outcomes of probes decide when an avoided backend server returns. Attempts
// that started before it was avoided are ignored.
void BackendHealth::AddProbeOutcome(const AttemptEvidence& outcome,
                                    TimePoint now) {
  if (outcome.started < this->avoided_at) {
    return;
  }
  if (outcome.IsBad()) {
    this->consecutive_good = 0;
    return;
  }
  ++this->consecutive_good;
  const std::uint32_t needed =
      kGoodOutcomesToReturn + kExtraGoodPerRelapse * this->relapses;
  if (this->consecutive_good >= needed && now >= this->avoided_until) {
    this->StartReturn(now);
  }
}

bool BackendHealth::IsNearSuspect(TimePoint now) const {
  return this->failure_sum + this->slow_sum >= this->Threshold(now) / 2;
}

double BackendHealth::Threshold(TimePoint now) const {
  return this->State(now) == Condition::kReturning
             ? kLogOddsThresholdAfterReturn
             : kLogOddsThreshold;
}

void BackendHealth::OnStart(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->sent_at;
  this->decayed_sent =
      this->decayed_sent * std::exp(-(passed / kRateDecayTime)) + 1;
  this->sent_at = now;
  if (this->IsAvoided()) {
    this->next_probe =
        now + std::chrono::duration_cast<Duration>(this->probe_interval);
  }
}

void BackendHealth::Avoid(TimePoint now) {
  const bool relapse =
      this->has_returned && now - this->returned_at < kRelapseWindow;
  this->relapses = relapse ? std::min(this->relapses + 1, kMaxRelapses) : 0;
  const std::chrono::duration<double> passed = now - this->sent_at;
  const double rate = this->decayed_sent *
                      std::exp(-(passed / kRateDecayTime)) /
                      kRateDecayTime.count();
  const std::chrono::duration<double> interval(
      1 / std::max(rate * kProbeShare, 1e-6));
  if (!relapse || this->probe_interval == Duration{}) {
    this->probe_interval = std::chrono::duration_cast<Duration>(
        std::clamp(interval, kMinProbeInterval, kMaxProbeInterval));
  }
  this->condition = Condition::kAvoided;
  this->avoided_at = now;
  this->avoided_until =
      now + std::min(kMaxAvoidance, kMinAvoidance * (1U << this->relapses));
  this->next_probe = now + this->probe_interval;
  this->consecutive_good = 0;
  this->ResetEvidence();
}

void BackendHealth::RestoreForFloor(TimePoint now) {
  this->condition = Condition::kReturning;
  this->returned_at = now - kRamp * (1U + this->relapses);
  this->has_returned = true;
  this->ResetEvidence();
}

void BackendHealth::ClearSuspicion() {
  this->ResetEvidence();
}

void BackendHealth::StartReturn(TimePoint now) {
  this->condition = Condition::kReturning;
  this->returned_at = now;
  this->has_returned = true;
  this->ResetEvidence();
}

void BackendHealth::ResetEvidence() {
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
  return kMinRampWeight + (1 - kMinRampWeight) * done;
}

bool BackendHealth::IsProbeDue(TimePoint now) const {
  return this->IsAvoided() && now >= this->next_probe;
}

}  // namespace acacia
