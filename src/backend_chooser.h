// The choice of a backend server for each attempt, and what is learnt from how
// attempts went. The dispatcher drives one chooser per service. BackendPool
// judges by this entry's own outcomes; FleetPool by those of the whole fleet.
//
// Not thread-safe; part of the dispatcher.
#ifndef SRC_BACKEND_CHOOSER_H_
#define SRC_BACKEND_CHOOSER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/dispatcher.h"
#include "src/ids.h"
#include "src/pooled_backend.h"
#include "src/retry_after.h"

namespace acacia {

// How an attempt went, as far as its backend server is concerned.
struct AttemptOutcome {
  const Work& work;
  AttemptResult result = AttemptResult::kSuccess;
  TimePoint started;
  // It was reported as overdue before.
  bool was_overdue = false;
  // No slot was known to be free when it began.
  bool began_full = false;
};

// An attempt that has taken longer than SlowAfter and still runs.
struct OverdueAttempt {
  const Work& work;
  TimePoint started;
  // No slot was known to be free when it began.
  bool began_full = false;
};

struct PickRequest {
  const Work& work;
  // Where the request has failed before.
  const std::vector<BackendId>& excluded;
  // Should the attempt fail, the request can be tried again elsewhere.
  bool can_retry = true;
};

class BackendChooser {
 public:
  virtual ~BackendChooser() = default;

  virtual void Apply(const ServiceView& view, TimePoint now) = 0;

  // Null when no backend server has room.
  virtual PooledBackend* Pick(const PickRequest& request, TimePoint now) = 0;
  // True when a backend server in service is not excluded.
  virtual bool HasChoice(const std::vector<BackendId>& excluded) const = 0;

  virtual void OnStart(PooledBackend& backend,
                       const Work& work,
                       TimePoint now) = 0;
  // Frees the slot; the reference is invalid afterwards.
  virtual void OnRelease(PooledBackend& backend,
                         const Work& work,
                         bool was_overdue) = 0;
  // The service is full: spill less for a moment.
  virtual void PauseSpill(TimePoint now) = 0;
  virtual void OnOutcome(PooledBackend& backend,
                         const AttemptOutcome& outcome,
                         TimePoint now) = 0;
  // The backend server told its load with an answer.
  virtual void OnReportedLoad(PooledBackend& backend,
                              const ReportedLoad& load,
                              TimePoint now) = 0;
  virtual void OnOverdue(PooledBackend& backend,
                         const OverdueAttempt& attempt,
                         TimePoint now) = 0;
  // As far as is known, another attempt would have to wait there.
  virtual bool IsFull(const PooledBackend& backend, TimePoint now) const = 0;
  // From this age on an attempt counts as overdue; nothing while unknown.
  virtual std::optional<Duration> SlowAfter(const Work& work) const = 0;
  // How busy the service is, for those it refuses; nothing where only this
  // entry's own requests are known.
  virtual std::optional<RefusalLoad> Load(const Work& /*work*/,
                                          TimePoint /*now*/) const {
    return std::nullopt;
  }
  // What such work usually takes; zero while unknown.
  virtual Duration MedianLatency(const Work& work) const = 0;
  virtual void OnLeavingSeen(PooledBackend& backend, TimePoint now) = 0;

  // When a backend server that is closed for the moment opens again.
  virtual std::optional<TimePoint> NextOpening(TimePoint now) const = 0;

  // How other entries' attempts went. Ignored where each judges alone.
  virtual void OnFleetEvidence(
      const std::string& /*from*/,
      const std::vector<schema::BackendEvidenceT>& /*evidence*/,
      TimePoint /*now*/) {}
  virtual std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now) = 0;
  virtual std::vector<std::string> Explain(TimePoint now) const = 0;
  // What a choice of this backend server rests on now, in one word for the log.
  virtual std::string DescribeBelief(const PooledBackend& /*backend*/,
                                     TimePoint /*now*/) const {
    return "";
  }
};

}  // namespace acacia

#endif  // SRC_BACKEND_CHOOSER_H_
