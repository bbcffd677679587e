// One backend server in an entry's pool: its state in the fleet's view, this
// entry's attempts there, and what this entry has learned about it.
#ifndef SRC_POOLED_BACKEND_H_
#define SRC_POOLED_BACKEND_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/backend_health.h"
#include "src/clock.h"
#include "src/concurrency_limit.h"
#include "src/configuration.h"
#include "src/generated/entry_link_generated.h"
#include "src/slow_start.h"

namespace acacia {

// Counts since the last TakeEvidence.
struct EvidenceCounts {
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  std::uint32_t slow = 0;
  std::uint32_t refused = 0;
};

struct PooledBackend {
  BackendServer server;
  bool in_view = false;
  bool ejected = false;
  // The view lists it as leaving.
  bool leaving = false;
  // The backend server announced in an answer that it is leaving.
  bool reported_leaving = false;
  // The view has listed it as leaving.
  bool leaving_confirmed = false;
  TimePoint reported_leaving_at{};
  bool home = false;
  bool takes_long_work = false;
  std::array<std::uint32_t, kWorkClassCount> in_flight{};
  // Attempts in flight that are older than BackendChooser::SlowThreshold.
  std::uint32_t overdue = 0;
  ConcurrencyLimit limit;
  SlowStart slow_start;
  BackendHealth health;
  EvidenceCounts counts;

  std::uint32_t InFlight() const;
  bool IsInService() const;
  // The share of its normal requests that it should get now, from 0 to 1.
  double Weight(TimePoint now) const;
  // The share of its slots that this entry's attempts occupy.
  double Load() const;

  // Returns the evidence for the agent and resets the counts.
  schema::BackendEvidenceT TakeEvidence();
  // Returns one line for operators with its state, the reason for it, and
  // figures.
  std::string Explain(TimePoint now) const;
};

}  // namespace acacia

#endif  // SRC_POOLED_BACKEND_H_
