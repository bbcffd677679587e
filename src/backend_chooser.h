// Interface for choosing a backend server for each attempt and for learning
// from the outcomes. The dispatcher uses one chooser per service. BackendPool
// relies on this entry's own outcomes, FleetPool on those of the whole fleet.
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

// The outcome of an attempt, as evidence about its backend server.
struct AttemptOutcome {
  const Work& work;
  AttemptResult result = AttemptResult::kSuccess;
  TimePoint started;
  // OnOverdue was called for this attempt.
  bool was_overdue = false;
  // No slot was known to be free when it began.
  bool started_at_capacity = false;
};

// An attempt that is still running after SlowThreshold.
struct OverdueAttempt {
  const Work& work;
  TimePoint started;
  // No slot was known to be free when it began.
  bool started_at_capacity = false;
};

struct PickRequest {
  const Work& work;
  // Backend servers at which the request has already failed.
  const std::vector<BackendId>& excluded;
  // If the attempt fails, the request can be retried at another backend server.
  bool can_retry = true;
  // If not null, only these backend servers may be chosen, even excluded ones.
  const std::vector<BackendId>* only = nullptr;
  // Only backend servers with a recent good answer and a free slot may be
  // chosen.
  bool proven = false;
};

class BackendChooser {
 public:
  virtual ~BackendChooser() = default;

  virtual void Apply(const ServiceView& view, TimePoint now) = 0;

  // Returns null when no backend server has room.
  virtual PooledBackend* Pick(const PickRequest& request, TimePoint now) = 0;
  // True when at least one backend server in service is not excluded.
  virtual bool HasAlternative(const std::vector<BackendId>& excluded) const = 0;

  // True when attempts in flight, of any entry, may soon show that a backend
  // server that is not excluded answers well.
  virtual bool MayLearnSoon(const std::vector<BackendId>& /*excluded*/,
                            TimePoint /*now*/) const {
    return false;
  }
  // True while little is known of the health of the backend servers, because
  // the first good answer of any has arrived only lately or not at all.
  virtual bool IsLearning(TimePoint /*now*/) const { return false; }
  // How many requests may be sent to backend servers now, where they wait in
  // the entry rather than at backend servers.
  virtual double Room(TimePoint /*now*/) const { return 0; }
  // True when at least one of these backend servers is in service and does not
  // pause.
  virtual bool HasRoomAmong(const std::vector<BackendId>& /*ids*/,
                            TimePoint /*now*/) const {
    return false;
  }

  virtual void OnStart(PooledBackend& backend,
                       const Work& work,
                       TimePoint now) = 0;
  // Frees the attempt's slot. `backend` may be destroyed by this call.
  virtual void OnRelease(PooledBackend& backend,
                         const Work& work,
                         bool was_overdue) = 0;
  // Called when the service is full: for a short time, sends less to backend
  // servers that are not home ones.
  virtual void PauseSpillover(TimePoint now) = 0;
  virtual void OnOutcome(PooledBackend& backend,
                         const AttemptOutcome& outcome,
                         TimePoint now) = 0;
  // The backend server reported its load with an answer.
  virtual void OnReportedLoad(PooledBackend& backend,
                              const ReportedLoad& load,
                              TimePoint now) = 0;
  // An answer named the backend server's rate limit, or none. `result` is that
  // of the attempt, which began at `started`.
  virtual void OnRateLimit(PooledBackend& /*backend*/,
                           std::optional<double> /*requests_per_second*/,
                           AttemptResult /*result*/,
                           TimePoint /*started*/,
                           TimePoint /*now*/) {}
  // True when the rate limits and pauses that backend servers named leave none,
  // among those that are not excluded, to which a request may be sent now.
  virtual bool AllAtRateLimit(const std::vector<BackendId>& /*excluded*/,
                              TimePoint /*now*/) const {
    return false;
  }
  // The backend server turned a request away and wants no further ones for
  // `pause`.
  virtual void OnPause(PooledBackend& /*backend*/,
                       Duration /*pause*/,
                       TimePoint /*now*/) {}
  // How long until the first backend server that is not excluded takes requests
  // again; nullopt unless all of them are pausing.
  virtual std::optional<Duration> PauseLeft(
      const std::vector<BackendId>& /*excluded*/,
      TimePoint /*now*/) const {
    return std::nullopt;
  }
  virtual void OnOverdue(PooledBackend& backend,
                         const OverdueAttempt& attempt,
                         TimePoint now) = 0;
  // True when, by what is known, another attempt would have to wait at the
  // backend server.
  virtual bool IsFull(const PooledBackend& backend, TimePoint now) const = 0;
  // True when the backend server is in use although it is known to have done
  // badly.
  virtual bool IsSuspect(const PooledBackend& /*backend*/,
                         TimePoint /*now*/) const {
    return false;
  }
  // The age from which an attempt counts as overdue; nullopt while too little
  // is known.
  virtual std::optional<Duration> SlowThreshold(const Work& work) const = 0;
  // The load of the service, used to compute retry advice for refused requests.
  // Nullopt where only this entry's own requests are known.
  virtual std::optional<ServiceLoad> Load(const Work& /*work*/,
                                          TimePoint /*now*/) const {
    return std::nullopt;
  }
  // The median latency of such work; zero while unknown.
  virtual Duration MedianLatency(const Work& work) const = 0;
  virtual void OnLeavingReported(PooledBackend& backend, TimePoint now) = 0;

  // When the next backend server that is temporarily closed opens again;
  // nullopt when none is closed.
  virtual std::optional<TimePoint> NextReopenTime(TimePoint now) const = 0;

  // Evidence from the attempts of other entries. Ignored by choosers that use
  // only their own.
  virtual void OnFleetEvidence(
      const std::string& /*from*/,
      const std::vector<schema::BackendEvidenceT>& /*evidence*/,
      TimePoint /*now*/) {}
  virtual std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now) = 0;
  virtual std::vector<std::string> Explain(TimePoint now) const = 0;
  // Describes the load and health on which a choice of this backend server is
  // based now, in one word for the log.
  virtual std::string DescribePickInputs(const PooledBackend& /*backend*/,
                                         TimePoint /*now*/) const {
    return "";
  }
};

}  // namespace acacia

#endif  // SRC_BACKEND_CHOOSER_H_
