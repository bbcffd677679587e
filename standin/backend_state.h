// The state of one emulated backend server, without sockets: slots, leaving,
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

  // New work: takes a slot when it is admitted; give it back by Release.
  Admission Admit(TimePoint now);
  void Release(TimePoint now);

  Duration ServiceTime(bool is_long,
                       const FaultSubject& subject,
                       TimePoint now) const;
  FaultKind Fault(const FaultSubject& subject, TimePoint now);
  bool AreFaultsShown(TimePoint now) const;
  // 0 to 1000; lags behind reality.
  std::uint32_t ReportedLoad(TimePoint now);

  tl::expected<void, std::string> SetFaults(const std::string& json,
                                            TimePoint now);
  tl::expected<void, std::string> SetState(const std::string& json,
                                           TimePoint now);
  void Leave(Duration refuse_after, TimePoint now);
  bool IsLeaving() const { return this->leaving; }

  const schema::BackendStandinSettingsT settings;
  WorkLedger ledger;
  std::uint32_t connections = 0;

 private:
  double ColdFactor(TimePoint now) const;

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
