#include "src/windowed_retry_budget.h"

#include <algorithm>

namespace acacia {
namespace {

// Share of the bound that is used. The rest covers attempts and requests that
// other parties count in different windows.
constexpr double kUsableShare = 0.85;

// Share of the usable bound up to which risky attempts are allowed. The rest is
// kept for requests that fail unexpectedly.
constexpr double kRiskedRetryShare = 0.6;

// The present rate of requests is measured over this time, and a higher one by
// this factor is expected at most.
constexpr Duration kRateWindow = std::chrono::seconds(1);
constexpr double kMaxRateGrowth = 1.25;

void DropBefore(std::deque<TimePoint>& times, TimePoint oldest) {
  while (!times.empty() && times.front() <= oldest) {
    times.pop_front();
  }
}

}  // namespace

void WindowedRetryBudget::RemoveExpired(TimePoint now) {
  DropBefore(this->requests, now - this->window.window);
  DropBefore(this->spent, now - this->window.window);
}

void WindowedRetryBudget::OnRequest(TimePoint now) {
  this->RemoveExpired(now);
  this->requests.push_back(now);
}

double WindowedRetryBudget::Bound() const {
  return kUsableShare *
         (this->window.ratio * static_cast<double>(this->requests.size()) +
          this->window.extra);
}

bool WindowedRetryBudget::CanSpend(TimePoint now) {
  this->RemoveExpired(now);
  return static_cast<double>(this->spent.size() + 1) <= this->Bound();
}

std::size_t WindowedRetryBudget::SpendableBy(TimePoint at, TimePoint now) {
  this->RemoveExpired(now);
  const TimePoint oldest = at - this->window.window;
  const auto left = [oldest](const std::deque<TimePoint>& times) {
    return static_cast<double>(
        times.end() - std::upper_bound(times.begin(), times.end(), oldest));
  };
  const auto recent = static_cast<double>(
      this->requests.end() - std::upper_bound(this->requests.begin(),
                                              this->requests.end(),
                                              now - kRateWindow));
  const std::chrono::duration<double> ahead =
      std::min(at - now, this->window.window);
  const double later =
      left(this->requests) + recent * kMaxRateGrowth * (ahead / kRateWindow);
  // Budget that is free now can be spent now, even if fewer requests arrive
  // later.
  const double free_now =
      this->Bound() - static_cast<double>(this->spent.size());
  const double free_later =
      kUsableShare * (this->window.ratio * later + this->window.extra) -
      left(this->spent);
  return static_cast<std::size_t>(std::max({free_now, free_later, 0.0}));
}

TimePoint WindowedRetryBudget::NextSpend(TimePoint now) {
  if (this->CanSpend(now) || this->spent.empty()) {
    return now;
  }
  return this->spent.front() + this->window.window;
}

bool WindowedRetryBudget::Spend(TimePoint now) {
  if (!this->CanSpend(now)) {
    return false;
  }
  this->spent.push_back(now);
  return true;
}

bool WindowedRetryBudget::HasSpare(TimePoint now) {
  this->RemoveExpired(now);
  return static_cast<double>(this->spent.size() + 1) <=
         kRiskedRetryShare * this->Bound();
}

}  // namespace acacia
