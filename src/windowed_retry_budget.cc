#include "src/windowed_retry_budget.h"

namespace acacia {
namespace {

// Part of the bound that is used; the rest covers attempts and requests that
// others count in different windows.
constexpr double kUsedPart = 0.85;

// Part of that which may be provoked; the rest is kept for requests that fail
// where nobody expected it.
constexpr double kProvokedPart = 0.6;

void DropBefore(std::deque<TimePoint>& times, TimePoint oldest) {
  while (!times.empty() && times.front() <= oldest) {
    times.pop_front();
  }
}

}  // namespace

void WindowedRetryBudget::Forget(TimePoint now) {
  DropBefore(this->requests, now - this->window.window);
  DropBefore(this->spent, now - this->window.window);
}

void WindowedRetryBudget::OnRequest(TimePoint now) {
  this->Forget(now);
  this->requests.push_back(now);
}

double WindowedRetryBudget::Bound() const {
  return kUsedPart *
         (this->window.ratio * static_cast<double>(this->requests.size()) +
          this->window.extra);
}

bool WindowedRetryBudget::Spend(TimePoint now) {
  this->Forget(now);
  if (static_cast<double>(this->spent.size() + 1) > this->Bound()) {
    return false;
  }
  this->spent.push_back(now);
  return true;
}

bool WindowedRetryBudget::HasSpare(TimePoint now) {
  this->Forget(now);
  return static_cast<double>(this->spent.size() + 1) <=
         kProvokedPart * this->Bound();
}

}  // namespace acacia
