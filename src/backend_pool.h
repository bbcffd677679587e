// What one entry knows of a service's backend servers, and the choice among
// them: home backend servers first, then the less loaded of two others. It
// joins the small modules that each answer one question about a backend server
// (concurrency_limit.h, work_split.h, home_assignment.h).
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
  bool cold = false;
  bool home = false;
  bool long_host = false;
  std::array<std::uint32_t, kWorkClassCount> in_flight{};
  ConcurrencyLimit limit;
  EvidenceCounts counts;

  std::uint32_t InFlight() const;
  bool IsInService() const;
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
  void OnRelease(PooledBackend& backend, WorkClass work_class);
  void OnLeavingSeen(PooledBackend& backend, TimePoint now);

  // When a backend server that is closed for the moment opens again.
  std::optional<TimePoint> NextOpening(TimePoint now) const;

  std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now);
  std::vector<std::string> Explain(TimePoint now) const;

 private:
  PooledBackend* PickHome(const PickRequest& request, TimePoint now);
  PooledBackend* PickOther(const PickRequest& request, TimePoint now);
  bool HasRoom(const PooledBackend& backend,
               const PickRequest& request,
               TimePoint now) const;
  void ApplyOne(const BackendServer& server,
                const ServiceView& view,
                TimePoint now);
  void DropGone();
  // Chooses homes and the backend servers that take long work.
  void AssignRoles();

  ServiceName service;
  InstanceId self;
  RandomSource& random;
  ServicePolicy policy;
  std::vector<InstanceId> entries;
  std::unordered_map<BackendId, std::unique_ptr<PooledBackend>> backends;
  // Those in the view.
  std::vector<PooledBackend*> listed;
  std::vector<PooledBackend*> homes;
};

}  // namespace acacia

#endif  // SRC_BACKEND_POOL_H_
