#include "src/windowed_retry_budget.h"

namespace acacia {
namespace {

// Share of the bound that is used. The rest covers attempts and requests that
// other parties count in different windows.
constexpr double kUsableShare = 0.85;

// Share of the usable bound up to which risky attempts are allowed. The rest is
// kept for requests that fail unexpectedly.
constexpr double kRiskedRetryShare = 0.6;

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

bool WindowedRetryBudget::Spend(TimePoint now) {
  this->RemoveExpired(now);
  if (static_cast<double>(this->spent.size() + 1) > this->Bound()) {
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
