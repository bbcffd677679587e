// Chooses backend servers for an entry that sees only a few requests a second
// and hears from the other entries how theirs went. Work that may run only once
// goes where the fleet has had good answers lately; suspects get idempotent
// requests now and then, which can be tried again elsewhere, as their way back.
// Near backend servers go before distant ones while they have room.
//
// For small fleets under load that fits the backend servers' slots and queues;
// a service that is full as a whole refuses, and retries stay in their budget.
#ifndef SRC_FLEET_POOL_H_
#define SRC_FLEET_POOL_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/backend_chooser.h"
#include "src/latency_window.h"
#include "src/random_source.h"
#include "src/shared_health.h"

namespace acacia {

// How many attempts another entry said it has in flight.
struct ToldInFlight {
  std::string entry;
  std::uint32_t count = 0;
  TimePoint at;
};

struct FleetBackend : PooledBackend {
  SharedHealth shared;
  bool is_cold = false;
  // In this entry's own cell.
  bool is_home = false;
  ReportedLoad reported;
  TimePoint reported_at{};
  // It told this entry its load since the load was last passed on.
  bool has_news = false;
  std::vector<ToldInFlight> told_in_flight;
  // What the other entries know of this one's attempts there, and since when.
  std::uint32_t passed_in_flight = 0;
  TimePoint passed_at{};
  // Which entry made it a suspect.
  std::string suspected_by;
  // The next idempotent request that shows whether a suspect is well again.
  TimePoint next_probe{};
  // This entry's outcomes since they were last taken.
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
  bool HasChoice(const std::vector<BackendId>& excluded) const override;
  void OnStart(PooledBackend& backend,
               const Work& work,
               TimePoint now) override;
  void OnRelease(PooledBackend& backend,
                 const Work& work,
                 bool was_overdue) override;
  void PauseSpill(TimePoint /*now*/) override {}
  void OnOutcome(PooledBackend& backend,
                 const AttemptOutcome& outcome,
                 TimePoint now) override;
  void OnReportedLoad(PooledBackend& backend,
                      const ReportedLoad& load,
                      TimePoint now) override;
  void OnOverdue(PooledBackend& backend,
                 const OverdueAttempt& attempt,
                 TimePoint now) override;
  bool IsFull(const PooledBackend& backend, TimePoint now) const override;
  std::optional<Duration> SlowAfter(const Work& work) const override;
  std::optional<RefusalLoad> Load(const Work& work,
                                  TimePoint now) const override;
  Duration MedianLatency(const Work& work) const override;
  void OnLeavingSeen(PooledBackend& /*backend*/, TimePoint /*now*/) override {}
  std::optional<TimePoint> NextOpening(TimePoint /*now*/) const override {
    return std::nullopt;
  }
  void OnFleetEvidence(const std::string& from,
                       const std::vector<schema::BackendEvidenceT>& evidence,
                       TimePoint now) override;
  std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now) override;
  std::vector<std::string> Explain(TimePoint now) const override;
  std::string DescribeBelief(const PooledBackend& backend,
                             TimePoint now) const override;

 private:
  using Candidates = std::vector<FleetBackend*>;

  Candidates Usable(const PickRequest& request) const;
  FleetBackend* PickProbe(const Candidates& usable, TimePoint now);
  // Fewer are trusted than the service's floor asks for.
  bool IsBelowFloor(const Candidates& usable, TimePoint now) const;
  Candidates Trusted(Candidates usable, TimePoint now) const;
  FleetBackend* PickLeastLoaded(const Candidates& among,
                                const PickRequest& request,
                                TimePoint now);
  double Cost(const FleetBackend& backend,
              const PickRequest& request,
              TimePoint now) const;
  // `source` says who saw it, for the log.
  void AddBad(FleetBackend& backend,
              double weight,
              const std::string& source,
              TimePoint now);
  void AddGood(FleetBackend& backend, const std::string& source, TimePoint now);
  void ScheduleProbe(FleetBackend& backend, TimePoint now);
  static bool IsQueueing(const FleetBackend& backend, TimePoint now);
  // Attempts there, as far as this entry knows.
  static double KnownLoad(const FleetBackend& backend, TimePoint now);
  static void NoteInFlight(FleetBackend& backend,
                           const std::string& entry,
                           std::uint32_t count,
                           TimePoint now);
  FleetBackend* Find(const BackendId& id) const;

  ServiceName service;
  FailureDomain domain;
  RandomSource& random;
  std::size_t floor_percent = 0;
  std::uint32_t cell_size = 1;
  std::unordered_map<BackendId, std::unique_ptr<FleetBackend>> backends;
  // Those in the view.
  Candidates listed;
  // By Work.latency_key.
  std::unordered_map<std::string, LatencyWindow> latencies;
};

}  // namespace acacia

#endif  // SRC_FLEET_POOL_H_
