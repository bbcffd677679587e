#include "src/windowed_retry_budget.h"

namespace acacia {
namespace {

// Part of the bound that is used; the rest covers attempts and requests that
// others count in different windows.
constexpr double kUsedPart = 0.85;

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

bool WindowedRetryBudget::Spend(TimePoint now) {
  this->Forget(now);
  const double bound =
      kUsedPart *
      (this->window.ratio * static_cast<double>(this->requests.size()) +
       this->window.extra);
  if (static_cast<double>(this->spent.size() + 1) > bound) {
    return false;
  }
  this->spent.push_back(now);
  return true;
}

}  // namespace acacia
