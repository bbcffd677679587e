#include "src/backend_pool.h"

#include <algorithm>
#include <utility>

#include "src/home_assignment.h"
#include "src/work_split.h"

namespace acacia {

namespace {

// How long a backend server that announced its leaving is left unused without
// the fleet's view confirming it.
constexpr Duration kUnconfirmedLeavingExpiry = std::chrono::minutes(10);
constexpr Duration kSpillPause = std::chrono::milliseconds(20);
// The service stays split for this long after the last long request.
constexpr Duration kSplitRetention = std::chrono::seconds(10);
constexpr int kMaxDraws = 8;

std::size_t IndexOf(WorkClass work_class) {
  return static_cast<std::size_t>(work_class);
}

std::uint32_t CeilDivide(std::uint32_t dividend, std::uint32_t divisor) {
  return (dividend + divisor - 1) / divisor;
}

bool Contains(const std::vector<BackendId>& ids, const BackendId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

BackendPool::BackendPool(ServiceName service,
                         InstanceId self,
                         RandomSource& random)
    : service(std::move(service)), self(std::move(self)), random(random) {}

void BackendPool::Apply(const ServiceView& view, TimePoint now) {
  this->policy = view.policy;
  this->entries = view.entries;
  this->listed.clear();
  for (auto& [id, backend] : this->backends) {
    backend->in_view = false;
  }
  for (const BackendServer& server : view.backend_servers) {
    this->ApplyOne(server, view, now);
  }
  this->RemoveUnused();
  this->AssignRoles(now);
  this->has_view = true;
}

void BackendPool::ApplyOne(const BackendServer& server,
                           const ServiceView& view,
                           TimePoint now) {
  std::unique_ptr<PooledBackend>& stored = this->backends[server.id];
  if (!stored) {
    stored = std::make_unique<PooledBackend>();
  }
  PooledBackend& backend = *stored;
  if (backend.in_view) {
    return;
  }
  backend.server = server;
  backend.server.slots = std::max(server.slots, 1U);
  backend.in_view = true;
  backend.ejected = view.ejected.contains(server.id);
  backend.slow_start.OnView(view.cold.contains(server.id), !this->has_view,
                            now);
  backend.leaving = view.leaving.contains(server.id);
  backend.leaving_confirmed = backend.leaving_confirmed || backend.leaving;
  const bool withdrawn = backend.leaving_confirmed && !backend.leaving;
  const bool unconfirmed =
      !backend.leaving_confirmed &&
      now - backend.reported_leaving_at > kUnconfirmedLeavingExpiry;
  if (withdrawn || unconfirmed) {
    backend.reported_leaving = false;
    backend.leaving_confirmed = false;
  }
  this->listed.push_back(&backend);
}

void BackendPool::RemoveUnused() {
  std::erase_if(this->backends, [](const auto& item) {
    return !item.second->in_view && item.second->InFlight() == 0;
  });
}

void BackendPool::AssignRoles(TimePoint now) {
  std::vector<PooledBackend*> serving;
  std::vector<ComparedBackend> compared;
  for (PooledBackend* backend : this->listed) {
    const bool in_service = backend->IsInService();
    if (in_service) {
      serving.push_back(backend);
    }
    compared.push_back({&backend->health, backend->server.slots,
                        in_service && !backend->slow_start.IsCold()});
  }
  this->health.SetBackends(std::move(compared), this->policy.floor_percent,
                           now);
  RoleInputs inputs{{}, this->entries, this->policy.long_slots_percent};
  for (const PooledBackend* backend : serving) {
    inputs.servers.push_back(backend->server);
  }
  if (inputs != this->role_inputs) {
    this->role_inputs = std::move(inputs);
    this->all_tiers = this->MakeCandidateTiers(std::move(serving));
    this->AssignLongWork();
  }
}

CandidateTiers BackendPool::MakeCandidateTiers(
    std::vector<PooledBackend*> backends) const {
  std::vector<BackendServer> servers;
  for (const PooledBackend* backend : backends) {
    servers.push_back(backend->server);
  }
  const HomeAssignment assignment =
      AssignHomes(this->service, this->self, this->entries, servers);
  CandidateTiers tiers;
  for (const std::size_t i : assignment.homes) {
    tiers.homes.push_back(backends[i]);
  }
  for (const std::size_t i : assignment.nearby) {
    tiers.nearby.push_back(backends[i]);
  }
  tiers.entries_per_home = assignment.entries_per_home;
  tiers.all = std::move(backends);
  return tiers;
}

// Avoided backend servers take no long work; others replace them, so that the
// share of the service that takes long work stays the same.
void BackendPool::AssignLongWork() {
  std::vector<PooledBackend*> usable;
  std::vector<BackendId> ids;
  for (PooledBackend* backend : this->all_tiers.all) {
    backend->takes_long_work = false;
    if (!backend->health.IsAvoided()) {
      usable.push_back(backend);
      ids.push_back(backend->server.id);
    }
  }
  for (const std::size_t i : ChooseLongWorkBackends(
           this->service, ids, this->policy.long_slots_percent)) {
    usable[i]->takes_long_work = true;
  }
  const auto is_long = [](const PooledBackend* each) {
    return each->takes_long_work;
  };
  const auto long_end =
      std::stable_partition(usable.begin(), usable.end(), is_long);
  this->long_work_tiers = this->MakeCandidateTiers({usable.begin(), long_end});
  this->short_only_tiers = this->MakeCandidateTiers({long_end, usable.end()});
  this->AssignLimits();
}

void BackendPool::AssignLimits() {
  for (PooledBackend* backend : this->all_tiers.all) {
    backend->home = false;
    backend->limit.Configure(backend->server.slots, 0);
  }
  const auto add_home_shares = [](const CandidateTiers& tiers) {
    const auto entries = static_cast<std::uint32_t>(tiers.entries_per_home);
    for (PooledBackend* backend : tiers.homes) {
      backend->home = true;
      backend->limit.Configure(backend->server.slots,
                               CeilDivide(backend->server.slots, entries));
    }
  };
  add_home_shares(this->all_tiers);
  if (this->is_split) {
    add_home_shares(this->short_only_tiers);
    add_home_shares(this->long_work_tiers);
  }
}

void BackendPool::UpdateSplit(bool long_work, TimePoint now) {
  if (long_work) {
    this->split_until = now + kSplitRetention;
  }
  const bool split = now < this->split_until;
  if (split != this->is_split) {
    this->is_split = split;
    this->AssignLimits();
  }
}

bool BackendPool::HasSlot(const PooledBackend& backend,
                          const PickRequest& request,
                          TimePoint now) const {
  if (!backend.IsInService() ||
      !backend.limit.Allows(backend.InFlight(), now) ||
      Contains(request.excluded, backend.server.id)) {
    return false;
  }
  if (request.work.work_class == WorkClass::kShort) {
    return true;
  }
  return backend.takes_long_work &&
         backend.in_flight[IndexOf(WorkClass::kLong)] <
             MaxLongSlots(backend.server.slots,
                          this->policy.long_slots_percent);
}

// A backend server that is returning or warming up may use only part of its
// slots.
bool BackendPool::HasRoom(const PooledBackend& backend,
                          const PickRequest& request,
                          TimePoint now) const {
  if (backend.health.IsAvoided() || !this->HasSlot(backend, request, now)) {
    return false;
  }
  const double weight = backend.Weight(now);
  return weight >= 1 || backend.InFlight() == 0 ||
         backend.InFlight() + 1 <= backend.server.slots * weight;
}

PooledBackend* BackendPool::Pick(const PickRequest& request, TimePoint now) {
  if (PooledBackend* probe = this->PickProbe(request, now)) {
    return probe;
  }
  const bool long_work = request.work.work_class == WorkClass::kLong;
  this->UpdateSplit(long_work, now);
  if (long_work) {
    return this->PickFrom(this->long_work_tiers, request, now);
  }
  if (this->is_split) {
    if (PooledBackend* short_only =
            this->PickFrom(this->short_only_tiers, request, now)) {
      return short_only;
    }
  }
  return this->PickFrom(this->all_tiers, request, now);
}

PooledBackend* BackendPool::PickFrom(const CandidateTiers& tiers,
                                     const PickRequest& request,
                                     TimePoint now) {
  PooledBackend* home = this->PickHome(tiers, request, now);
  const bool spill = now >= this->spill_paused_until || tiers.homes.empty();
  return home != nullptr || !spill ? home
                                   : this->PickSpillover(tiers, request, now);
}

// Picks an avoided backend server that is due for a probe. Probes are short,
// idempotent first attempts, which can be retried elsewhere.
PooledBackend* BackendPool::PickProbe(const PickRequest& request,
                                      TimePoint now) {
  if (!request.work.idempotent ||
      request.work.work_class != WorkClass::kShort ||
      !request.excluded.empty()) {
    return nullptr;
  }
  for (PooledBackend* backend : this->listed) {
    if (backend->health.IsProbeDue(now) &&
        this->HasSlot(*backend, request, now)) {
      return backend;
    }
  }
  return nullptr;
}

bool BackendPool::HasAnyNotAvoided() const {
  return std::any_of(this->listed.begin(), this->listed.end(),
                     [](const PooledBackend* backend) {
                       return backend->IsInService() &&
                              !backend->health.IsAvoided();
                     });
}

// When every backend server in service is avoided, all of them are used.
PooledBackend* BackendPool::PickAvoided(const PickRequest& request,
                                        TimePoint now) {
  if (this->HasAnyNotAvoided()) {
    return nullptr;
  }
  PooledBackend* best = nullptr;
  for (PooledBackend* backend : this->listed) {
    if (this->HasSlot(*backend, request, now) &&
        (best == nullptr || backend->Load() < best->Load())) {
      best = backend;
    }
  }
  return best;
}

// Picks the least loaded home backend server. Ties are taken in turn, so that
// the entry learns about all of them.
PooledBackend* BackendPool::PickHome(const CandidateTiers& tiers,
                                     const PickRequest& request,
                                     TimePoint now) {
  PooledBackend* best = nullptr;
  ++this->next_home;
  for (std::size_t i = 0; i < tiers.homes.size(); ++i) {
    PooledBackend* home =
        tiers.homes[(this->next_home + i) % tiers.homes.size()];
    if (this->HasRoom(*home, request, now) && this->AcceptsNow(*home, now) &&
        (best == nullptr || home->Load() < best->Load())) {
      best = home;
    }
  }
  return best;
}

// Picks the less loaded of two random backend servers that have room.
PooledBackend* BackendPool::PickLessLoaded(
    const std::vector<PooledBackend*>& among,
    const PickRequest& request,
    TimePoint now) {
  PooledBackend* first = nullptr;
  for (int i = 0; i < kMaxDraws && !among.empty(); ++i) {
    PooledBackend* candidate = among[this->random.Below(among.size())];
    if (candidate == first || !this->HasRoom(*candidate, request, now) ||
        !this->AcceptsNow(*candidate, now)) {
      continue;
    }
    if (first != nullptr) {
      return candidate->Load() < first->Load() ? candidate : first;
    }
    first = candidate;
  }
  return first;
}

PooledBackend* BackendPool::PickSpillover(const CandidateTiers& tiers,
                                          const PickRequest& request,
                                          TimePoint now) {
  for (const auto* among : {&tiers.nearby, &tiers.all}) {
    PooledBackend* picked = this->PickLessLoaded(*among, request, now);
    if (picked != nullptr) {
      return picked;
    }
  }
  const std::size_t count = tiers.all.size();
  const std::size_t start = count == 0 ? 0 : this->random.Below(count);
  for (std::size_t i = 0; i < count; ++i) {
    PooledBackend* candidate = tiers.all[(start + i) % count];
    if (this->HasRoom(*candidate, request, now)) {
      return candidate;
    }
  }
  return this->PickAvoided(request, now);
}

// A backend server that is returning or warming up is accepted with a
// probability equal to its weight. One with an overdue attempt is skipped while
// others have room.
bool BackendPool::AcceptsNow(const PooledBackend& backend, TimePoint now) {
  if (backend.overdue > 0) {
    return false;
  }
  const double weight = backend.Weight(now);
  return weight >= 1 || this->random.Fraction() < weight;
}

bool BackendPool::HasAlternative(const std::vector<BackendId>& excluded) const {
  const bool include_avoided = !this->HasAnyNotAvoided();
  return std::any_of(
      this->listed.begin(), this->listed.end(),
      [&excluded, include_avoided](const PooledBackend* backend) {
        return backend->IsInService() &&
               (include_avoided || !backend->health.IsAvoided()) &&
               !Contains(excluded, backend->server.id);
      });
}

void BackendPool::OnStart(PooledBackend& backend,
                          const Work& work,
                          TimePoint now) {
  backend.health.OnStart(now);
  ++backend.in_flight[IndexOf(work.work_class)];
  ++backend.counts.attempts;
}

void BackendPool::OnRelease(PooledBackend& backend,
                            const Work& work,
                            bool was_overdue) {
  backend.overdue -= was_overdue ? 1 : 0;
  --backend.in_flight[IndexOf(work.work_class)];
  if (!backend.in_view && backend.InFlight() == 0) {
    this->backends.erase(BackendId(backend.server.id));
  }
}

void BackendPool::PauseSpillover(TimePoint now) {
  const double jitter = 0.5 + this->random.Fraction();
  this->spill_paused_until =
      now + std::chrono::duration_cast<Duration>(kSpillPause * jitter);
}

void BackendPool::OnLeavingReported(PooledBackend& backend, TimePoint now) {
  backend.reported_leaving_at = now;
  if (!backend.reported_leaving) {
    backend.reported_leaving = true;
    this->AssignRoles(now);
  }
}

void BackendPool::OnOutcome(PooledBackend& backend,
                            const AttemptOutcome& attempt,
                            TimePoint now) {
  const Duration latency = now - attempt.started;
  AttemptEvidence evidence;
  evidence.started = attempt.started;
  switch (attempt.result) {
    case AttemptResult::kRefused:
      ++backend.counts.refused;
      backend.limit.OnRefused(backend.InFlight() - 1, now, this->random);
      return;
    case AttemptResult::kCancelled:
      return;
    case AttemptResult::kSuccess: {
      backend.limit.OnAnswer(backend.InFlight(), now);
      const std::optional<Duration> slow = this->SlowThreshold(attempt.work);
      this->health.AddLatency(backend.health, attempt.work.work_class, latency,
                              now);
      if (attempt.was_overdue) {
        return;
      }
      evidence.slow = slow && latency > *slow;
      break;
    }
    case AttemptResult::kTruncated:
    case AttemptResult::kMismatched:
      evidence.corrupt = true;
      evidence.failed = true;
      break;
    default:
      evidence.failed = true;
  }
  this->AddEvidence(backend, evidence, now);
}

void BackendPool::OnOverdue(PooledBackend& backend,
                            const OverdueAttempt& attempt,
                            TimePoint now) {
  ++backend.overdue;
  AttemptEvidence evidence;
  evidence.started = attempt.started;
  evidence.slow = true;
  this->AddEvidence(backend, evidence, now);
}

void BackendPool::AddEvidence(PooledBackend& backend,
                              const AttemptEvidence& evidence,
                              TimePoint now) {
  // Slow answers are expected during warm-up.
  if (evidence.slow && backend.slow_start.Weight(now) < 1) {
    return;
  }
  backend.counts.failures += evidence.failed ? 1 : 0;
  backend.counts.slow += evidence.slow ? 1 : 0;
  const bool was_avoided = backend.health.IsAvoided();
  this->health.Add(backend.health, evidence, now);
  if (backend.health.IsAvoided() != was_avoided) {
    this->AssignLongWork();
  }
}

std::optional<Duration> BackendPool::SlowThreshold(const Work& work) const {
  return this->health.SlowThreshold(work.work_class);
}

Duration BackendPool::MedianLatency(const Work& work) const {
  return this->health.MedianLatency(work.work_class);
}

std::optional<TimePoint> BackendPool::NextReopenTime(TimePoint now) const {
  std::optional<TimePoint> next;
  if (this->spill_paused_until > now) {
    next = this->spill_paused_until;
  }
  for (const PooledBackend* backend : this->listed) {
    const TimePoint at = backend->limit.ClosedUntil();
    if (backend->IsInService() && at > now && (!next || at < *next)) {
      next = at;
    }
  }
  return next;
}

std::vector<schema::BackendEvidenceT> BackendPool::TakeEvidence(
    TimePoint /*now*/) {
  std::vector<schema::BackendEvidenceT> evidence;
  for (PooledBackend* backend : this->listed) {
    schema::BackendEvidenceT item = backend->TakeEvidence();
    if (item.attempts + item.failures + item.refused + item.in_flight > 0 ||
        item.leaving || item.avoided) {
      item.service = this->service.Value();
      evidence.push_back(std::move(item));
    }
  }
  return evidence;
}

std::vector<std::string> BackendPool::Explain(TimePoint now) const {
  std::vector<std::string> lines;
  for (const PooledBackend* backend : this->listed) {
    lines.push_back(backend->Explain(now));
  }
  return lines;
}

}  // namespace acacia
