// One backend server in an entry's pool: what the fleet says of it, what this
// entry has in flight there and has learnt about it.
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

// Counts since the last evidence was taken.
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
  // By the view, and by its own word.
  bool leaving = false;
  bool said_leaving = false;
  // The view has confirmed that it is leaving.
  bool leaving_confirmed = false;
  TimePoint said_leaving_at{};
  bool home = false;
  bool long_host = false;
  std::array<std::uint32_t, kWorkClassCount> in_flight{};
  // Attempts in flight that have taken longer than SlowAfter.
  std::uint32_t overdue = 0;
  ConcurrencyLimit limit;
  SlowStart slow_start;
  BackendHealth health;
  EvidenceCounts counts;

  std::uint32_t InFlight() const;
  bool IsInService() const;
  // Share of its usual requests that it should get now.
  double Weight(TimePoint now) const;
  // Share of its slots that this entry uses.
  double Load() const;

  // What the agent is told; the counts start again.
  schema::BackendEvidenceT TakeEvidence();
  // One line for operators: state, reason, figures.
  std::string Explain(TimePoint now) const;
};

}  // namespace acacia

#endif  // SRC_POOLED_BACKEND_H_
