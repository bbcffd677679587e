#include "standin/load_plan.h"

#include <algorithm>
#include <cmath>

namespace acacia {

using std::chrono::milliseconds;

LoadPlan::LoadPlan(const schema::LoadSettingsT& settings)
    : settings(settings), random(settings.seed) {}

double LoadPlan::RateAt(Duration at) const {
  double rate = 0;
  for (const auto& point : this->settings.rate) {
    if (milliseconds(point->at_ms) <= at) {
      rate = point->requests_per_second;
    }
  }
  return rate;
}

Duration LoadPlan::NextPoint(Duration at) const {
  Duration next = milliseconds(this->settings.duration_ms);
  for (const auto& point : this->settings.rate) {
    if (milliseconds(point->at_ms) > at) {
      next = std::min<Duration>(next, milliseconds(point->at_ms));
    }
  }
  return next;
}

std::size_t LoadPlan::DrawClass() {
  std::uint64_t total = 0;
  for (const auto& each : this->settings.classes) {
    total += each->share;
  }
  std::uint64_t drawn = this->random.Below(std::max<std::uint64_t>(total, 1));
  for (std::size_t i = 0; i < this->settings.classes.size(); ++i) {
    const std::uint32_t share = this->settings.classes[i]->share;
    if (drawn < share) {
      return i;
    }
    drawn -= share;
  }
  return 0;
}

std::optional<PlannedRequest> LoadPlan::Next() {
  const Duration end = milliseconds(this->settings.duration_ms);
  while (this->at < end) {
    const double rate = this->RateAt(this->at);
    const Duration next_point = this->NextPoint(this->at);
    const double gap_s =
        rate > 0 ? -std::log(1 - this->random.Fraction()) / rate : HUGE_VAL;
    const double remaining_s =
        std::chrono::duration<double>(next_point - this->at).count();
    if (gap_s >= remaining_s) {
      this->at = next_point;
      continue;
    }
    this->at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap_s));
    PlannedRequest request;
    request.at = this->at;
    request.load_class = this->DrawClass();
    request.work_id = "w" + std::to_string(this->settings.seed) + "-" +
                      std::to_string(this->count);
    if (!this->settings.accounts.empty()) {
      const std::size_t index = this->count % this->settings.accounts.size();
      request.account = this->settings.accounts[index];
    }
    ++this->count;
    return request;
  }
  return std::nullopt;
}

}  // namespace acacia
