// The state of one emulated backend server without its sockets: slots, leaving,
// cold start, load report, faults and ledger.
#ifndef STANDIN_BACKEND_STATE_H_
#define STANDIN_BACKEND_STATE_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/generated/settings_generated.h"
#include "src/random_source.h"
#include "standin/gray_faults.h"
#include "standin/work_ledger.h"

namespace acacia {

enum class Admission { kAdmitted, kShed, kRefusedLeaving };

// Not thread-safe.
class BackendState {
 public:
  BackendState(schema::BackendStandinSettingsT settings, TimePoint now);

  // Takes a slot for new work if it is admitted. Each admitted work must be
  // followed by one Release.
  Admission Admit(TimePoint now);
  void Release(TimePoint now);

  // Includes the slowdown of a cold start and of the faults.
  Duration ServiceTime(bool is_long,
                       const RequestOrigin& origin,
                       TimePoint now) const;
  // How one request ends, drawn at random when the faults apply to it.
  FaultKind Fault(const RequestOrigin& origin, TimePoint now);
  // True when faults apply and are set to show in health checks.
  bool ShouldFailHealthCheck(TimePoint now) const;
  // The share of slots in use, 0 to 1000 thousandths. Updated at most once per
  // load_lag_ms, so it lags behind the actual load.
  std::uint32_t ReportedLoad(TimePoint now);

  // Both read an operator's JSON. The error says what is wrong with it; nothing
  // is changed then.
  tl::expected<void, std::string> SetFaults(const std::string& json,
                                            TimePoint now);
  tl::expected<void, std::string> SetState(const std::string& json,
                                           TimePoint now);
  // Announces leaving; new work is refused after `refuse_after`. Has no effect
  // when already leaving.
  void Leave(Duration refuse_after, TimePoint now);
  bool IsLeaving() const { return this->leaving; }

  const schema::BackendStandinSettingsT settings;
  WorkLedger ledger;
  std::uint32_t connections = 0;

 private:
  // Falls linearly to 1 during the cold start.
  double ColdStartFactor(TimePoint now) const;

  TimePoint started;
  SeededRandom random;
  std::uint32_t running = 0;
  bool leaving = false;
  TimePoint leaving_since;
  TimePoint refuse_from;
  GrayFaults faults;
  TimePoint faults_since;
  std::uint32_t reported_load = 0;
  TimePoint reported_at;
};

}  // namespace acacia

#endif  // STANDIN_BACKEND_STATE_H_
