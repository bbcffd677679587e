// Chooses backend servers using health evidence from the whole fleet. An entry
// that sees only a few requests a second cannot judge a backend server alone,
// so entries exchange the outcomes of their attempts. Non-idempotent requests
// go to backend servers with recent good answers. Suspects occasionally receive
// an idempotent request, which can be retried elsewhere, so that they can
// recover. Backend servers in the entry's own cell and failure domain are
// preferred while they have room.
//
// Meant for small fleets whose load fits the slots and queues of the backend
// servers. A service that is full as a whole refuses requests, and retries stay
// within their budget.
#ifndef SRC_FLEET_POOL_H_
#define SRC_FLEET_POOL_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/backend_chooser.h"
#include "src/latency_window.h"
#include "src/outstanding_bytes.h"
#include "src/peer_counts.h"
#include "src/random_source.h"
#include "src/shared_health.h"
#include "src/shared_rate_limit.h"

namespace acacia {

struct FleetBackend : PooledBackend {
  // Another entry's in-flight count expires after this time. Entries resend it
  // earlier while attempts are running.
  static constexpr Duration kPeerInFlightExpiry =
      std::chrono::milliseconds(1200);

  SharedHealth shared;
  bool is_cold = false;
  // In this entry's cell, or in its failure domain where cells are not in use.
  bool is_home = false;
  ReportedLoad reported;
  TimePoint reported_at{};
  // The backend server reported its load to this entry, which has not sent it
  // to the other entries yet.
  bool has_unsent_load = false;
  // The attempts in flight that other entries reported.
  PeerCounts peer_in_flight{kPeerInFlightExpiry};
  OutstandingBytes outstanding;
  // The in-flight count last sent to the other entries, and when it was sent.
  std::uint32_t sent_in_flight = 0;
  TimePoint in_flight_sent_at{};
  SharedRateLimit rate_limit;
  // The limit that it named to this entry and that has not been sent to the
  // other entries yet; negative when there is none.
  double unsent_rate_limit = -1;
  bool has_unsent_rate_limit_end = false;
  // It announced to this entry that it is leaving, which has not been sent to
  // the other entries yet.
  bool has_unsent_leaving = false;
  // Until this time it wants no requests from this entry.
  TimePoint paused_until{};
  // Attempts started since the last TakeEvidence.
  std::uint32_t started = 0;
  // The entry whose evidence made it a suspect.
  std::string suspected_by;
  // From this time on, while it is a suspect, an idempotent request may probe
  // it.
  TimePoint next_probe{};
  // This entry's outcomes since the last TakeEvidence.
  std::uint32_t good = 0;
  std::uint32_t broken = 0;
  std::uint32_t server_errors = 0;
  std::uint32_t late = 0;
  std::uint32_t silent = 0;
};

class FleetPool : public BackendChooser {
 public:
  // `domain` is this entry's own failure domain.
  FleetPool(ServiceName service, FailureDomain domain, RandomSource& random);

  void Apply(const ServiceView& view, TimePoint now) override;
  PooledBackend* Pick(const PickRequest& request, TimePoint now) override;
  bool HasAlternative(const std::vector<BackendId>& excluded) const override;
  bool MayLearnSoon(const std::vector<BackendId>& excluded,
                    TimePoint now) const override;
  bool IsLearning(TimePoint now) const override;
  double Room(TimePoint now) const override;
  bool HasRoomAmong(const std::vector<BackendId>& ids,
                    TimePoint now) const override;
  void OnStart(PooledBackend& backend,
               const Work& work,
               TimePoint now) override;
  void OnRelease(PooledBackend& backend,
                 const Work& work,
                 bool was_overdue) override;
  void PauseSpillover(TimePoint /*now*/) override {}
  void OnOutcome(PooledBackend& backend,
                 const AttemptOutcome& outcome,
                 TimePoint now) override;
  void OnReportedLoad(PooledBackend& backend,
                      const ReportedLoad& load,
                      TimePoint now) override;
  void OnRateLimit(PooledBackend& backend,
                   std::optional<double> requests_per_second,
                   AttemptResult result,
                   TimePoint started,
                   TimePoint now) override;
  bool AllAtRateLimit(const std::vector<BackendId>& excluded,
                      TimePoint now) const override;
  void OnOverdue(PooledBackend& backend,
                 const OverdueAttempt& attempt,
                 TimePoint now) override;
  bool IsFull(const PooledBackend& backend, TimePoint now) const override;
  bool IsSuspect(const PooledBackend& backend, TimePoint now) const override;
  std::optional<Duration> SlowThreshold(const Work& work) const override;
  std::optional<ServiceLoad> Load(const Work& work,
                                  TimePoint now) const override;
  Duration MedianLatency(const Work& work) const override;
  void OnLeavingReported(PooledBackend& backend, TimePoint now) override;
  void OnPause(PooledBackend& backend, Duration pause, TimePoint now) override;
  std::optional<Duration> PauseLeft(const std::vector<BackendId>& excluded,
                                    TimePoint now) const override;
  std::optional<TimePoint> NextReopenTime(TimePoint /*now*/) const override {
    return std::nullopt;
  }
  void OnFleetEvidence(const std::string& from,
                       const std::vector<schema::BackendEvidenceT>& evidence,
                       TimePoint now) override;
  std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now) override;
  std::vector<std::string> Explain(TimePoint now) const override;
  std::string DescribePickInputs(const PooledBackend& backend,
                                 TimePoint now) const override;

 private:
  using Candidates = std::vector<FleetBackend*>;

  Candidates SelectInService(const std::vector<BackendId>& excluded) const;
  // Whether this entry may send it a request under the limit that it named.
  bool IsWithinRateLimit(const FleetBackend& backend, TimePoint now) const;
  // Records that the backend server, which need not be in the view, announced
  // its leaving. `source` is the instance that it told, or kSelf.
  void MarkLeaving(const BackendId& id,
                   const std::string& source,
                   TimePoint now);
  // Logs when a limit begins or ends by an answer to this entry.
  void LogRateLimit(const FleetBackend& backend, double rate) const;
  FleetBackend* PickProbe(const Candidates& usable, TimePoint now);
  // True when the share of usable backend servers that are not suspects is
  // below the service's floor.
  bool IsBelowFloor(const Candidates& usable, TimePoint now) const;
  Candidates SelectTrusted(Candidates usable, TimePoint now) const;
  Candidates SelectWithinRateLimits(Candidates trusted, TimePoint now) const;
  // The load up to which it gets requests.
  double MaxLoad(const FleetBackend& backend) const;
  // Whether a request may be sent to it rather than wait in the entry.
  bool HasRoom(const FleetBackend& backend,
               const Work& work,
               TimePoint now) const;
  Candidates SelectReceptive(Candidates in_service, TimePoint now) const;
  FleetBackend* PickCheapest(const Candidates& among,
                             const PickRequest& request,
                             TimePoint now);
  double Cost(const FleetBackend& backend,
              const PickRequest& request,
              TimePoint now) const;
  // `source` is the instance that observed the outcome, or kSelf. It is kept
  // for the log.
  void AddBad(FleetBackend& backend,
              double weight,
              const std::string& source,
              TimePoint now);
  void AddGood(FleetBackend& backend, const std::string& source, TimePoint now);
  void ScheduleProbe(FleetBackend& backend, TimePoint now);
  static bool HasReportedQueue(const FleetBackend& backend, TimePoint now);
  // Estimated number of attempts at the backend server, from all entries.
  static double EstimateLoad(const FleetBackend& backend, TimePoint now);
  FleetBackend* Find(const BackendId& id) const;

  ServiceName service;
  FailureDomain domain;
  RandomSource& random;
  // When the first good answer of any backend server was known.
  std::optional<TimePoint> first_good;
  std::size_t floor_percent = 0;
  std::uint32_t cell_size = 1;
  // Requests wait in the entry, which orders them by rank, rather than at
  // backend servers.
  bool is_ordered = false;
  // Failure domains are divided into cells. Entries of other cells than a
  // backend server's do not hear of all attempts there.
  bool is_divided = false;
  std::unordered_map<BackendId, std::unique_ptr<FleetBackend>> backends;
  // The backend servers in the current view.
  Candidates listed;
  // Backend servers that announced in an answer that they are leaving, and
  // when. The store may not know it, or no longer.
  std::unordered_map<BackendId, TimePoint> announced_leaving;
  // Keyed by Work.latency_key.
  std::unordered_map<std::string, LatencyWindow> latencies;
  // Of all latency keys together.
  LatencyWindow service_latencies;
};

}  // namespace acacia

#endif  // SRC_FLEET_POOL_H_
