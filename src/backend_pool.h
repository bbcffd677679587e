// What one entry knows of a service's backend servers, and the choice among
// them: home backend servers first, then the less loaded of two others. It
// joins the small modules that each answer one question about a backend server
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

#include "src/clock.h"
#include "src/dispatcher.h"
#include "src/ids.h"
#include "src/pooled_backend.h"
#include "src/random_source.h"
#include "src/service_health.h"

namespace acacia {

// How an attempt went, as far as its backend server is concerned.
struct AttemptOutcome {
  WorkClass work_class = WorkClass::kShort;
  AttemptResult result = AttemptResult::kSuccess;
  TimePoint started;
  // It was reported as overdue before.
  bool was_overdue = false;
};

struct PickRequest {
  WorkClass work_class = WorkClass::kShort;
  bool idempotent = false;
  // Where the request has failed before.
  const std::vector<BackendId>& excluded;
};

// The backend servers that one kind of work may use, in order of preference.
struct Neighbourhood {
  std::vector<PooledBackend*> homes;
  std::vector<PooledBackend*> nearby;
  std::vector<PooledBackend*> all;
  std::size_t entries_per_home = 1;
};

// What homes and the split follow from; most views change nothing of it.
struct RoleInputs {
  std::vector<BackendServer> servers;
  std::vector<InstanceId> entries;
  std::uint32_t long_slots_percent = 0;
  bool operator==(const RoleInputs&) const = default;
};

class BackendPool {
 public:
  BackendPool(ServiceName service, InstanceId self, RandomSource& random);

  void Apply(const ServiceView& view, TimePoint now);

  // Null when no backend server has room.
  PooledBackend* Pick(const PickRequest& request, TimePoint now);
  // True when a backend server in service is not excluded.
  bool HasChoice(const std::vector<BackendId>& excluded) const;

  void OnStart(PooledBackend& backend, WorkClass work_class, TimePoint now);
  // Frees the slot; the reference is invalid afterwards.
  void OnRelease(PooledBackend& backend,
                 WorkClass work_class,
                 bool was_overdue);
  // The service is full: only home backend servers get work for a moment.
  void PauseSpill(TimePoint now);
  void OnOutcome(PooledBackend& backend,
                 const AttemptOutcome& outcome,
                 TimePoint now);
  // An attempt has taken longer than SlowAfter and still runs.
  void OnOverdue(PooledBackend& backend, TimePoint started, TimePoint now);
  std::optional<Duration> SlowAfter(WorkClass work_class) const;
  Duration MedianLatency(WorkClass work_class) const;
  void OnLeavingSeen(PooledBackend& backend, TimePoint now);

  // When a backend server that is closed for the moment opens again.
  std::optional<TimePoint> NextOpening(TimePoint now) const;

  std::vector<schema::BackendEvidenceT> TakeEvidence();
  std::vector<std::string> Explain(TimePoint now) const;

 private:
  PooledBackend* PickTrickle(const PickRequest& request, TimePoint now);
  PooledBackend* PickAvoided(const PickRequest& request, TimePoint now);
  bool TakesTurn(const PooledBackend& backend, TimePoint now);
  PooledBackend* PickIn(const Neighbourhood& area,
                        const PickRequest& request,
                        TimePoint now);
  PooledBackend* PickHome(const Neighbourhood& area,
                          const PickRequest& request,
                          TimePoint now);
  PooledBackend* PickLessLoaded(const std::vector<PooledBackend*>& among,
                                const PickRequest& request,
                                TimePoint now);
  PooledBackend* PickOther(const Neighbourhood& area,
                           const PickRequest& request,
                           TimePoint now);
  bool HasAnyUnavoided() const;
  // Apart from health.
  bool HasSlot(const PooledBackend& backend,
               const PickRequest& request,
               TimePoint now) const;
  bool HasRoom(const PooledBackend& backend,
               const PickRequest& request,
               TimePoint now) const;
  void ApplyOne(const BackendServer& server,
                const ServiceView& view,
                TimePoint now);
  void DropGone();
  // Chooses homes and the backend servers that take long work.
  void AssignRoles(TimePoint now);
  void AssignHosts();
  Neighbourhood MakeNeighbourhood(std::vector<PooledBackend*> backends) const;
  void AssignLimits();
  // Splits the service while long work is about.
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
  // Those in the view.
  std::vector<PooledBackend*> listed;
  // Where any short work may go; where it goes first while there is long work;
  // where long work goes.
  RoleInputs role_inputs;
  Neighbourhood everywhere;
  Neighbourhood apart_from_long;
  Neighbourhood long_hosts;
  bool is_split = false;
  TimePoint split_until{};
  std::size_t home_turn = 0;
  TimePoint spill_paused_until{};
};

}  // namespace acacia

#endif  // SRC_BACKEND_POOL_H_
