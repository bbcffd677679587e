#include "standin/backend_state.h"

#include <algorithm>
#include <boost/json.hpp>
#include <exception>
#include <utility>

namespace acacia {
namespace {

using std::chrono::milliseconds;

constexpr double kMaxColdStartFactor = 10;
constexpr milliseconds kDefaultRefuseAfter{3000};
constexpr std::uint32_t kPermille = 1000;

}  // namespace

BackendState::BackendState(schema::BackendStandinSettingsT settings,
                           TimePoint now)
    : settings(std::move(settings)),
      started(now),
      random(this->settings.seed),
      faults_since(now),
      reported_at(now) {}

Admission BackendState::Admit(TimePoint now) {
  if (this->leaving) {
    LedgerTotals& totals = this->ledger.totals;
    ++totals.arrived_leaving;
    totals.last_arrival_leaving_ms =
        std::chrono::duration_cast<milliseconds>(now - this->leaving_since)
            .count();
    if (now >= this->refuse_from) {
      ++totals.refused_leaving;
      return Admission::kRefusedLeaving;
    }
  }
  if (this->running >= this->settings.slots) {
    ++this->ledger.totals.shed;
    return Admission::kShed;
  }
  ++this->running;
  this->ledger.totals.max_running =
      std::max<std::uint64_t>(this->ledger.totals.max_running, this->running);
  return Admission::kAdmitted;
}

void BackendState::Release(TimePoint now) {
  this->ReportedLoad(now);
  --this->running;
}

double BackendState::ColdStartFactor(TimePoint now) const {
  const milliseconds cold_start(this->settings.cold_start_ms);
  const Duration age = now - this->started;
  if (age >= cold_start) {
    return 1;
  }
  const double remaining = 1 - std::chrono::duration<double>(age) / cold_start;
  return 1 + (kMaxColdStartFactor - 1) * remaining;
}

Duration BackendState::ServiceTime(bool is_long,
                                   const RequestOrigin& origin,
                                   TimePoint now) const {
  const std::uint32_t base = is_long ? this->settings.long_service_time_ms
                                     : this->settings.service_time_ms;
  double factor = this->ColdStartFactor(now);
  if (FaultsApply(this->faults, origin, this->faults_since, now)) {
    factor *= this->faults.slow_factor;
  }
  const auto time = std::chrono::duration<double, std::milli>(base * factor);
  return std::chrono::duration_cast<Duration>(time);
}

FaultKind BackendState::Fault(const RequestOrigin& origin, TimePoint now) {
  if (!FaultsApply(this->faults, origin, this->faults_since, now)) {
    return FaultKind::kNone;
  }
  return DrawFault(this->faults, this->random);
}

bool BackendState::ShouldFailHealthCheck(TimePoint now) const {
  return !this->faults.health_lies &&
         FaultsApply(this->faults, {}, this->faults_since, now);
}

std::uint32_t BackendState::ReportedLoad(TimePoint now) {
  if (now - this->reported_at >= milliseconds(this->settings.load_lag_ms)) {
    const std::uint32_t slots = std::max(this->settings.slots, 1U);
    this->reported_load =
        std::min(kPermille, this->running * kPermille / slots);
    this->reported_at = now;
  }
  return this->reported_load;
}

tl::expected<void, std::string> BackendState::SetFaults(const std::string& json,
                                                        TimePoint now) {
  auto parsed = ParseGrayFaults(json);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  this->faults = *std::move(parsed);
  this->faults_since = now;
  return {};
}

tl::expected<void, std::string> BackendState::SetState(const std::string& text,
                                                       TimePoint now) {
  try {
    const boost::json::value value = boost::json::parse(text);
    const boost::json::object& state = value.as_object();
    if (!state.at("leaving").as_bool()) {
      this->leaving = false;
      return {};
    }
    const auto* refuse_after = state.if_contains("refuse_after_ms");
    this->Leave(refuse_after
                    ? milliseconds(refuse_after->to_number<std::uint32_t>())
                    : kDefaultRefuseAfter,
                now);
    return {};
  } catch (const std::exception& error) {
    return tl::unexpected(std::string("state: ") + error.what());
  }
}

void BackendState::Leave(Duration refuse_after, TimePoint now) {
  if (this->leaving) {
    return;
  }
  this->leaving = true;
  this->leaving_since = now;
  this->refuse_from = now + refuse_after;
}

}  // namespace acacia
