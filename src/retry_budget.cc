#include "src/retry_budget.h"

#include <algorithm>

namespace acacia {

namespace {

constexpr double kMaxSavedRetries = 10;
constexpr double kRefusalRetriesPerAnswer = 1;
constexpr double kMaxSavedRefusalRetries = 10;
constexpr Duration kRecentAnswerWindow = std::chrono::milliseconds(200);

bool Take(double& saved) {
  if (saved < 1) {
    return false;
  }
  saved -= 1;
  return true;
}

}  // namespace

void RetryBudget::Configure(std::uint32_t percent) {
  this->earned_per_request = percent / 100.0;
}

void RetryBudget::OnRequest() {
  this->retries =
      std::min(this->retries + this->earned_per_request, kMaxSavedRetries);
}

void RetryBudget::OnAnswer(TimePoint now) {
  this->last_answer = now;
  this->refusal_retries =
      std::min(this->refusal_retries + kRefusalRetriesPerAnswer,
               kMaxSavedRefusalRetries);
}

bool RetryBudget::Spend() {
  return Take(this->retries);
}

bool RetryBudget::HasRecentAnswer(TimePoint now) const {
  return this->last_answer && now - *this->last_answer < kRecentAnswerWindow;
}

bool RetryBudget::SpendAfterRefusal() {
  return Take(this->refusal_retries) || Take(this->retries);
}

}  // namespace acacia
