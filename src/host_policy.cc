#include "src/host_policy.h"

namespace acacia {
namespace {

// Long enough that a backend server that makes no progress never ends a request
// before the request's deadline does.
constexpr Duration kUnboundedProgressTimeout = std::chrono::hours(1);

}  // namespace

ServicePolicy MakeServicePolicy(const schema::HostPlatformSettingsT& settings) {
  constexpr double kPercent = 100;
  ServicePolicy policy;
  policy.floor_percent =
      static_cast<std::uint32_t>(settings.floor_share * kPercent);
  policy.progress_timeout = kUnboundedProgressTimeout;
  RetryWindow window;
  window.ratio = settings.retry_budget_ratio;
  window.extra = settings.retry_budget_extra;
  window.window = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(settings.retry_budget_window_s));
  policy.retry_window = window;
  policy.hedge_percent = settings.hedge_percent;
  policy.order_by_rank = settings.order_by_rank;
  return policy;
}

schema::MemberUpdateT DescribeSelf(const schema::EntrySettingsT& settings,
                                   const Clock& clock) {
  schema::MemberUpdateT self;
  self.instance = settings.instance;
  self.incarnation = static_cast<std::uint64_t>(clock.UnixNow().count());
  self.started = self.incarnation;
  self.state = schema::MemberState::Alive;
  self.peer_address = settings.host_platform->peer_listen;
  self.caller_address = settings.caller_advertise.empty()
                            ? settings.caller_listen
                            : settings.caller_advertise;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  return self;
}

}  // namespace acacia
