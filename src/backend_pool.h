// What one entry knows of a service's backend servers, and the choice among
// them: first home backend servers, then the less loaded of two others. It
// combines modules that each answer one question about a backend server
// (concurrency_limit.h, service_health.h, slow_start.h, work_split.h,
// home_assignment.h).
//
// Not thread-safe; part of the dispatcher.
#ifndef SRC_BACKEND_POOL_H_
#define SRC_BACKEND_POOL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/backend_chooser.h"
#include "src/clock.h"
#include "src/dispatcher.h"
#include "src/ids.h"
#include "src/pooled_backend.h"
#include "src/random_source.h"
#include "src/service_health.h"

namespace acacia {

// The backend servers that one class of work may use, in order of preference.
struct CandidateTiers {
  std::vector<PooledBackend*> homes;
  std::vector<PooledBackend*> nearby;
  std::vector<PooledBackend*> all;
  std::size_t entries_per_home = 1;
};

// The inputs to the assignment of home and long-work backend servers. Most
// views leave them unchanged, so the assignment is kept.
struct RoleInputs {
  std::vector<BackendServer> servers;
  std::vector<InstanceId> entries;
  std::uint32_t long_slots_percent = 0;
  bool operator==(const RoleInputs&) const = default;
};

class BackendPool : public BackendChooser {
 public:
  BackendPool(ServiceName service, InstanceId self, RandomSource& random);

  void Apply(const ServiceView& view, TimePoint now) override;
  PooledBackend* Pick(const PickRequest& request, TimePoint now) override;
  bool HasAlternative(const std::vector<BackendId>& excluded) const override;
  void OnStart(PooledBackend& backend,
               const Work& work,
               TimePoint now) override;
  void OnRelease(PooledBackend& backend,
                 const Work& work,
                 bool was_overdue) override;
  // Sends requests only to home backend servers for a short time.
  void PauseSpillover(TimePoint now) override;
  void OnOutcome(PooledBackend& backend,
                 const AttemptOutcome& attempt,
                 TimePoint now) override;
  // Ignored: reported loads lag behind and may be wrong.
  void OnReportedLoad(PooledBackend& /*backend*/,
                      const ReportedLoad& /*load*/,
                      TimePoint /*now*/) override {}
  void OnOverdue(PooledBackend& backend,
                 const OverdueAttempt& attempt,
                 TimePoint now) override;
  // Pick never returns a full backend server.
  bool IsFull(const PooledBackend& /*backend*/,
              TimePoint /*now*/) const override {
    return false;
  }
  bool IsSuspect(const PooledBackend& backend,
                 TimePoint /*now*/) const override {
    return backend.health.IsAvoided();
  }
  std::optional<Duration> SlowThreshold(const Work& work) const override;
  Duration MedianLatency(const Work& work) const override;
  void OnLeavingReported(PooledBackend& backend, TimePoint now) override;
  std::optional<TimePoint> NextReopenTime(TimePoint now) const override;
  std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now) override;
  std::vector<std::string> Explain(TimePoint now) const override;

 private:
  PooledBackend* PickProbe(const PickRequest& request, TimePoint now);
  PooledBackend* PickAvoided(const PickRequest& request, TimePoint now);
  bool AcceptsNow(const PooledBackend& backend, TimePoint now);
  PooledBackend* PickFrom(const CandidateTiers& tiers,
                          const PickRequest& request,
                          TimePoint now);
  PooledBackend* PickHome(const CandidateTiers& tiers,
                          const PickRequest& request,
                          TimePoint now);
  PooledBackend* PickLessLoaded(const std::vector<PooledBackend*>& among,
                                const PickRequest& request,
                                TimePoint now);
  PooledBackend* PickSpillover(const CandidateTiers& tiers,
                               const PickRequest& request,
                               TimePoint now);
  bool HasAnyNotAvoided() const;
  // True when the backend server may take the request, health and weight aside.
  bool HasSlot(const PooledBackend& backend,
               const PickRequest& request,
               TimePoint now) const;
  bool HasRoom(const PooledBackend& backend,
               const PickRequest& request,
               TimePoint now) const;
  void ApplyOne(const BackendServer& server,
                const ServiceView& view,
                TimePoint now);
  void RemoveUnused();
  // Assigns the home backend servers and those that take long work.
  void AssignRoles(TimePoint now);
  void AssignLongWork();
  CandidateTiers MakeCandidateTiers(std::vector<PooledBackend*> backends) const;
  void AssignLimits();
  // Separates short from long work while there is long work.
  void UpdateSplit(bool long_work, TimePoint now);
  void AddEvidence(PooledBackend& backend,
                   const AttemptEvidence& evidence,
                   TimePoint now);

  ServiceName service;
  InstanceId self;
  RandomSource& random;
  ServicePolicy policy;
  std::vector<InstanceId> entries;
  ServiceHealth health;
  bool has_view = false;
  std::unordered_map<BackendId, std::unique_ptr<PooledBackend>> backends;
  // The backend servers in the current view.
  std::vector<PooledBackend*> listed;
  RoleInputs role_inputs;
  // For any short work.
  CandidateTiers all_tiers;
  // Tried first for short work while the service is split.
  CandidateTiers short_only_tiers;
  CandidateTiers long_work_tiers;
  bool is_split = false;
  TimePoint split_until{};
  std::size_t next_home = 0;
  TimePoint spill_paused_until{};
};

}  // namespace acacia

#endif  // SRC_BACKEND_POOL_H_
