// What one entry knows of a service's backend servers, and the choice among
// them: home backend servers first, then the less loaded of two others. It
// joins the small modules that each answer one question about a backend server
// (concurrency_limit.h, service_health.h, slow_start.h, work_split.h,
// home_assignment.h).
//
// Not thread-safe; part of the dispatcher.
#ifndef SRC_BACKEND_POOL_H_
#define SRC_BACKEND_POOL_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/clock.h"
#include "src/concurrency_limit.h"
#include "src/dispatcher.h"
#include "src/ids.h"
#include "src/random_source.h"
#include "src/service_health.h"
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
};

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

  std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now);
  std::vector<std::string> Explain(TimePoint now) const;

 private:
  PooledBackend* PickTrickle(const PickRequest& request, TimePoint now);
  PooledBackend* PickAvoided(const PickRequest& request, TimePoint now);
  bool TakesTurn(const PooledBackend& backend, TimePoint now);
  PooledBackend* PickHome(const PickRequest& request, TimePoint now);
  PooledBackend* PickLessLoaded(const std::vector<PooledBackend*>& among,
                                const PickRequest& request,
                                TimePoint now);
  PooledBackend* PickOther(const PickRequest& request, TimePoint now);
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
  void AssignLongHosts();
  void AddEvidence(PooledBackend& backend,
                   const AttemptEvidence& evidence,
                   TimePoint now);
  std::string Describe(const PooledBackend& backend, TimePoint now) const;

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
  std::vector<PooledBackend*> homes;
  std::vector<PooledBackend*> nearby;
  TimePoint spill_paused_until{};
};

}  // namespace acacia

#endif  // SRC_BACKEND_POOL_H_
