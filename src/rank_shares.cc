#include "src/rank_shares.h"

#include <algorithm>
#include <cmath>

namespace acacia {
namespace {

// A lower rank is to be served at least a quarter as often as all requests.
// Some of the requests that are started are not served.
constexpr double kGuaranteedPart = 0.3;
// Load peaks last some seconds.
constexpr std::chrono::duration<double> kDecayTime(5);
// Counts decay in steps of this time.
constexpr Duration kDecayStep = std::chrono::milliseconds(100);

// Rates are not measured over less than this, in seconds.
constexpr double kMinSpan = 0.5;

}  // namespace

void RankShares::Decay(TimePoint now) {
  if (now - this->decayed_at < kDecayStep) {
    return;
  }
  const std::chrono::duration<double> age = now - this->decayed_at;
  const double factor = std::exp(-(age / kDecayTime));
  const auto decay = [factor](Counts& counts) {
    counts.arrived *= factor;
    counts.started *= factor;
  };
  decay(this->all);
  for (auto& [rank, counts] : this->by_rank) {
    decay(counts);
  }
  this->decayed_at = now;
}

double RankShares::Span(TimePoint now) const {
  const std::chrono::duration<double> age = now - this->began.value_or(now);
  return kDecayTime.count() * (1 - std::exp(-(age / kDecayTime)));
}

double RankShares::ArrivalRate(std::uint32_t rank, TimePoint now) const {
  double arrived = 0;
  for (const auto& [each, counts] : this->by_rank) {
    arrived += each <= rank ? counts.arrived : 0;
  }
  return arrived / std::max(this->Span(now), kMinSpan);
}

double RankShares::StartRate(TimePoint now) const {
  return this->all.started / std::max(this->Span(now), kMinSpan);
}

void RankShares::OnArrival(std::uint32_t rank, TimePoint now) {
  this->Decay(now);
  this->began = this->began.value_or(now);
  ++this->all.arrived;
  ++this->by_rank[rank].arrived;
}

void RankShares::OnStart(std::uint32_t rank, TimePoint now) {
  this->Decay(now);
  ++this->all.started;
  ++this->by_rank[rank].started;
}

double RankShares::StartedShare() const {
  return this->all.arrived > 0
             ? std::min(1.0, this->all.started / this->all.arrived)
             : 1.0;
}

bool RankShares::IsOwed(std::uint32_t rank, double share) const {
  const auto found = this->by_rank.find(rank);
  return found != this->by_rank.end() &&
         found->second.started <
             kGuaranteedPart * share * found->second.arrived;
}

}  // namespace acacia
