#include "src/fleet_pool.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "src/log_event.h"

namespace acacia {
namespace {

// Logged as the source of outcomes that this entry observed.
constexpr char kSelf[] = "self";
// A suspect is probed by one of the entries this long after its last known
// outcome. Each entry adds a random delay from a range that grows with the
// fleet, so that a second probe rarely starts before the outcome of the first
// is known.
constexpr Duration kProbeDelay = std::chrono::milliseconds(700);
constexpr Duration kProbeSpreadPerEntry = std::chrono::milliseconds(400);
constexpr Duration kInFlightResendInterval = std::chrono::milliseconds(500);
// When a smaller share of the usable backend servers is trusted, the least
// suspect ones are used as well: the fault is then probably in the service as a
// whole or in this entry.
constexpr double kMinTrustedShare = 0.4;
// The number of candidates drawn at random from a group, of which the cheapest
// is taken. It is small so that entries with the same evidence do not all
// choose the same backend server.
constexpr std::size_t kSampleSize = 3;
// Costs are in load per slot. This one is added for a backend server without a
// recent good answer: a fault can begin at any time, so a good answer counts
// only for a while. Attempts that can serve as a probe subtract it instead, so
// that they confirm the health of such backend servers.
constexpr double kNoRecentGoodCost = 0.5;
constexpr std::chrono::duration<double> kRecentGoodDecayTime(1.0);
// Added for a backend server in another failure domain.
constexpr double kOtherDomainCost = 0.6;
// Added for a backend server in another cell of the same failure domain, of
// whose load less is known.
constexpr double kOtherCellCost = 0.4;
constexpr double kColdCost = 0.8;
// Requests with larger bodies stay in the failure domain even at a higher load.
constexpr std::uint64_t kLargeBodyBytes = 32 * 1024;
constexpr double kOtherDomainLargeBodyCost = 1.0;
// Decay time of the weight of a reported load.
constexpr std::chrono::duration<double> kReportDecayTime(0.5);
// A reported load is ignored after this time.
constexpr Duration kReportExpiry = std::chrono::seconds(1);
// An answer is late after this multiple of the median latency, bounded by these
// shares of the target latency. While too few latencies are known, the upper
// bound applies.
constexpr double kLateFactor = 2.5;
constexpr std::size_t kMinLatencies = 4;
constexpr double kMinLateShare = 0.25;
constexpr double kMaxLateShare = 0.6;

// While some backend servers are at their rate limits, the others get no more
// requests from this load per slot on.
constexpr double kMaxOverflowPerSlot = 2;

// Good answers counted in one report of another entry, more than it can have
// seen since the one before. Each halves the suspicion.
constexpr std::uint32_t kMaxReportedGood = 1000;

// The time until entries know of a freed slot and a request arrives there. A
// queue that drains in this time keeps the slots busy. Bounded in requests per
// slot.
constexpr std::chrono::duration<double> kQueueFillTime(0.06);
constexpr double kMinQueueFill = 0.25;
constexpr double kMaxQueueFill = 1;

// Longer than a backend server that has left may still appear in a registry.
constexpr Duration kLeavingMemory = std::chrono::minutes(10);

// A backend server whose last outcome was a good answer is proven for this
// long. A fault can begin at any time and lasts some seconds.
constexpr Duration kProvenAge = std::chrono::seconds(2);

// A faulty backend server still answers some requests well. With few proven
// ones, all waiting retries of the fleet would go to such a one together.
constexpr std::size_t kMinProven = 4;

// From the first good answer on, this long passes until most backend servers
// have had a request.
constexpr Duration kLearningTime = std::chrono::seconds(1);

constexpr std::size_t kPercent = 100;

bool IsProven(const SharedHealth& health, TimePoint now) {
  return now - health.LastGood() < kProvenAge &&
         health.LastOutcome() == health.LastGood() && !health.IsSuspect(now);
}

bool Contains(const std::vector<BackendId>& ids, const BackendId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool IsFirstIdempotentAttempt(const PickRequest& request) {
  return request.work.idempotent && request.excluded.empty();
}

// Only a first attempt that can be retried elsewhere may go to a backend server
// of uncertain health. A retry needs a good answer.
bool CanProbe(const PickRequest& request) {
  return IsFirstIdempotentAttempt(request) && request.can_retry;
}

Duration Part(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

}  // namespace

FleetPool::FleetPool(ServiceName service,
                     FailureDomain domain,
                     RandomSource& random)
    : service(std::move(service)), domain(std::move(domain)), random(random) {}

void FleetPool::Apply(const ServiceView& view, TimePoint now) {
  this->floor_percent = view.policy.floor_percent;
  this->cell_size = std::max(view.cell_size, 1U);
  this->is_ordered = view.is_ordered;
  this->is_divided = !view.cell_backends.empty();
  this->listed.clear();
  for (auto& [id, backend] : this->backends) {
    backend->in_view = false;
  }
  for (const BackendServer& server : view.backend_servers) {
    std::unique_ptr<FleetBackend>& stored = this->backends[server.id];
    if (!stored) {
      stored = std::make_unique<FleetBackend>();
    }
    stored->server = server;
    stored->server.slots = std::max(server.slots, 1U);
    stored->in_view = true;
    stored->leaving = view.leaving.contains(server.id);
    stored->reported_leaving = this->announced_leaving.contains(server.id);
    stored->is_cold = view.cold.contains(server.id);
    stored->is_home = view.cell_backends.empty()
                          ? server.failure_domain == this->domain
                          : view.cell_backends.contains(server.id);
    this->listed.push_back(stored.get());
  }
  std::erase_if(this->backends, [](const auto& item) {
    return !item.second->in_view && item.second->InFlight() == 0;
  });
  std::erase_if(this->announced_leaving, [this, now](const auto& item) {
    return now - item.second >= kLeavingMemory &&
           this->Find(item.first) == nullptr;
  });
}

FleetBackend* FleetPool::Find(const BackendId& id) const {
  const auto found = this->backends.find(id);
  return found == this->backends.end() ? nullptr : found->second.get();
}

// An entry that does not hear of the attempts of all others cannot count them,
// so it leaves what the limit allows to those that do.
bool FleetPool::IsWithinRateLimit(const FleetBackend& backend,
                                  TimePoint now) const {
  const bool counts_all = !this->is_divided || backend.is_home;
  return counts_all ? backend.rate_limit.Allows(now)
                    : !backend.rate_limit.IsActive(now);
}

bool FleetPool::AllAtRateLimit(const std::vector<BackendId>& excluded,
                               TimePoint now) const {
  const Candidates in_service = this->SelectInService(excluded);
  return !in_service.empty() && this->SelectReceptive(in_service, now).empty();
}

FleetPool::Candidates FleetPool::SelectInService(
    const std::vector<BackendId>& excluded) const {
  Candidates in_service;
  for (FleetBackend* backend : this->listed) {
    if (backend->IsInService() && !Contains(excluded, backend->server.id)) {
      in_service.push_back(backend);
    }
  }
  return in_service;
}

// The backend servers that may get a request now. Those that pause are left out
// first: where only they are trusted, suspects are used rather than none.
FleetPool::Candidates FleetPool::SelectReceptive(Candidates in_service,
                                                 TimePoint now) const {
  std::erase_if(in_service, [now](const FleetBackend* each) {
    return now < each->paused_until;
  });
  return this->SelectWithinRateLimits(
      this->SelectTrusted(std::move(in_service), now), now);
}

// While some backend servers may get no more requests, the requests that they
// would have received must not all queue at the others.
FleetPool::Candidates FleetPool::SelectWithinRateLimits(Candidates trusted,
                                                        TimePoint now) const {
  const std::size_t at_limit =
      std::erase_if(trusted, [this, now](const FleetBackend* each) {
        return !this->IsWithinRateLimit(*each, now);
      });
  if (at_limit > 0) {
    std::erase_if(trusted, [now](const FleetBackend* each) {
      return EstimateLoad(*each, now) >=
             kMaxOverflowPerSlot * each->server.slots;
    });
  }
  return trusted;
}

PooledBackend* FleetPool::Pick(const PickRequest& request, TimePoint now) {
  Candidates in_service = this->SelectInService(
      request.only == nullptr ? request.excluded : std::vector<BackendId>{});
  if (request.only != nullptr) {
    std::erase_if(in_service, [&request](const FleetBackend* each) {
      return !Contains(*request.only, each->server.id);
    });
  }
  std::erase_if(in_service, [&request, now](const FleetBackend* each) {
    return !each->outstanding.HasRoom(request.work.body_bytes,
                                      each->server.slots, now);
  });
  if (request.proven) {
    Candidates proven = this->SelectReceptive(in_service, now);
    std::erase_if(proven, [this, now](const FleetBackend* each) {
      return !IsProven(each->shared, now) || this->IsFull(*each, now);
    });
    const std::size_t needed =
        std::clamp<std::size_t>(in_service.size() / 2, 1, kMinProven);
    return proven.size() < needed ? nullptr
                                  : this->PickCheapest(proven, request, now);
  }
  // Below the floor, suspects are probed even by requests that cannot be
  // retried, because the service needs the capacity.
  if (CanProbe(request) || (IsFirstIdempotentAttempt(request) &&
                            this->IsBelowFloor(in_service, now))) {
    if (FleetBackend* probe = this->PickProbe(in_service, now)) {
      return probe;
    }
  }
  Candidates receptive = this->SelectReceptive(in_service, now);
  if (this->is_ordered) {
    std::erase_if(receptive, [&](const FleetBackend* each) {
      return !this->HasRoom(*each, request.work, now);
    });
  }
  return this->PickCheapest(receptive, request, now);
}

// A few requests queue at a backend server, so that its slots do not idle until
// the entries hear that one is free. What waits longer waits in the entry.
double FleetPool::MaxLoad(const FleetBackend& backend) const {
  const std::chrono::duration<double> latency =
      this->service_latencies.Median();
  const double fill =
      latency.count() > 0
          ? std::clamp(kQueueFillTime / latency, kMinQueueFill, kMaxQueueFill)
          : kMaxQueueFill;
  return backend.server.slots * (1 + fill);
}

bool FleetPool::HasRoom(const FleetBackend& backend,
                        const Work& work,
                        TimePoint now) const {
  const auto slots = static_cast<double>(backend.server.slots);
  const double load = EstimateLoad(backend, now);
  if (load < slots) {
    return true;
  }
  const std::chrono::duration<double> latency =
      this->service_latencies.Median();
  const auto wait = std::chrono::duration_cast<Duration>(
      latency * ((load + 1 - slots) / slots));
  return load < this->MaxLoad(backend) &&
         now + wait + this->MedianLatency(work) < work.deadline;
}

double FleetPool::Room(TimePoint now) const {
  double room = 0;
  for (const FleetBackend* each :
       this->SelectReceptive(this->SelectInService({}), now)) {
    room += std::max(0.0, this->MaxLoad(*each) - EstimateLoad(*each, now));
  }
  return room;
}

FleetBackend* FleetPool::PickProbe(const Candidates& usable, TimePoint now) {
  FleetBackend* due = nullptr;
  for (FleetBackend* backend : usable) {
    if (backend->shared.IsSuspect(now) && backend->next_probe <= now &&
        backend->InFlight() == 0 && !this->IsFull(*backend, now) &&
        this->IsWithinRateLimit(*backend, now) &&
        now >= backend->paused_until &&
        (due == nullptr || backend->next_probe < due->next_probe)) {
      due = backend;
    }
  }
  if (due != nullptr) {
    this->ScheduleProbe(*due, now);
  }
  return due;
}

bool FleetPool::IsBelowFloor(const Candidates& usable, TimePoint now) const {
  const auto trusted = std::count_if(
      usable.begin(), usable.end(),
      [now](const auto* each) { return !each->shared.IsSuspect(now); });
  return kPercent * static_cast<std::size_t>(trusted) <
         this->floor_percent * usable.size();
}

FleetPool::Candidates FleetPool::SelectTrusted(Candidates usable,
                                               TimePoint now) const {
  const auto trusted_end = std::stable_partition(
      usable.begin(), usable.end(),
      [now](auto* each) { return !each->shared.IsSuspect(now); });
  const auto trusted = static_cast<std::size_t>(trusted_end - usable.begin());
  const auto min_count = static_cast<std::size_t>(
      std::ceil(kMinTrustedShare * static_cast<double>(usable.size())));
  if (trusted < min_count) {
    std::sort(trusted_end, usable.end(), [now](auto* a, auto* b) {
      return a->shared.Suspicion(now) < b->shared.Suspicion(now);
    });
  }
  usable.resize(std::max(trusted, min_count));
  return usable;
}

double FleetPool::Cost(const FleetBackend& backend,
                       const PickRequest& request,
                       TimePoint now) const {
  const Work& work = request.work;
  const auto slots = static_cast<double>(backend.server.slots);
  double cost = EstimateLoad(backend, now) / slots;
  if (backend.server.failure_domain != this->domain) {
    cost += work.body_bytes >= kLargeBodyBytes ? kOtherDomainLargeBodyCost
                                               : kOtherDomainCost;
  } else if (!backend.is_home) {
    cost += kOtherCellCost;
  }
  cost += backend.outstanding.Cost(work.body_bytes, backend.server.slots, now);
  if (backend.is_cold) {
    cost += kColdCost;
  }
  const std::chrono::duration<double> since_good =
      now - backend.shared.LastGood();
  const double stale_cost =
      kNoRecentGoodCost * (1 - std::exp(-(since_good / kRecentGoodDecayTime)));
  cost += CanProbe(request) ? -stale_cost : stale_cost;
  // Suspicion that remains after a suspect is cleared is ignored: it would keep
  // requests, and so good outcomes, away from the backend server.
  const double suspicion = backend.shared.Suspicion(now);
  return cost + (suspicion > SharedHealth::kClearThreshold ? suspicion : 0);
}

// In-flight counts from other entries are a few tens of milliseconds old. The
// load that the backend server reported also includes requests of entries that
// this one does not hear from. The larger of the two is used.
double FleetPool::EstimateLoad(const FleetBackend& backend, TimePoint now) {
  const std::chrono::duration<double> age = now - backend.reported_at;
  const double report_weight = now - backend.reported_at < kReportExpiry
                                   ? std::exp(-(age / kReportDecayTime))
                                   : 0;
  const double reported =
      report_weight * (backend.reported.running + backend.reported.waiting);
  return std::max<double>(reported,
                          backend.InFlight() + backend.peer_in_flight.Sum(now));
}

bool FleetPool::IsFull(const PooledBackend& pooled, TimePoint now) const {
  const auto& backend = static_cast<const FleetBackend&>(pooled);
  return EstimateLoad(backend, now) >= backend.server.slots;
}

bool FleetPool::IsSuspect(const PooledBackend& pooled, TimePoint now) const {
  return static_cast<const FleetBackend&>(pooled).shared.IsSuspect(now);
}

// Returns the cheapest of a few candidates drawn at random from each of three
// groups: this entry's own cell, the rest of its failure domain, and other
// failure domains.
FleetBackend* FleetPool::PickCheapest(const Candidates& among,
                                      const PickRequest& request,
                                      TimePoint now) {
  Candidates home;
  Candidates near;
  Candidates distant;
  for (FleetBackend* backend : among) {
    const bool is_near = backend->server.failure_domain == this->domain;
    (backend->is_home ? home : (is_near ? near : distant)).push_back(backend);
  }
  FleetBackend* best = nullptr;
  double best_cost = 0;
  for (const Candidates* group : {&home, &near, &distant}) {
    // Small groups are compared in full, from a random start.
    const bool whole = group->size() <= kSampleSize;
    const std::size_t offset =
        group->empty() ? 0 : this->random.Below(group->size());
    for (std::size_t i = 0; i < std::min(kSampleSize, group->size()); ++i) {
      const std::size_t at =
          whole ? offset + i : this->random.Below(group->size());
      FleetBackend* candidate = (*group)[at % group->size()];
      const double cost = this->Cost(*candidate, request, now);
      if (best == nullptr || cost < best_cost) {
        best = candidate;
        best_cost = cost;
      }
    }
  }
  return best;
}

bool FleetPool::HasAlternative(const std::vector<BackendId>& excluded) const {
  return std::any_of(this->listed.begin(), this->listed.end(),
                     [&excluded](const FleetBackend* backend) {
                       return backend->IsInService() &&
                              !Contains(excluded, backend->server.id);
                     });
}

bool FleetPool::MayLearnSoon(const std::vector<BackendId>& excluded,
                             TimePoint now) const {
  const Candidates in_service = this->SelectInService(excluded);
  return std::any_of(
      in_service.begin(), in_service.end(), [now](const FleetBackend* each) {
        return !each->shared.IsSuspect(now) && EstimateLoad(*each, now) > 0;
      });
}

bool FleetPool::IsLearning(TimePoint now) const {
  // A single entry hears of nothing but its own attempts.
  return this->cell_size > 1 &&
         (!this->first_good || now - *this->first_good < kLearningTime);
}

bool FleetPool::HasRoomAmong(const std::vector<BackendId>& ids,
                             TimePoint now) const {
  return std::any_of(ids.begin(), ids.end(), [this, now](const BackendId& id) {
    const FleetBackend* backend = this->Find(id);
    return backend != nullptr && backend->in_view && backend->IsInService() &&
           now >= backend->paused_until;
  });
}

void FleetPool::OnStart(PooledBackend& pooled,
                        const Work& work,
                        TimePoint now) {
  auto& backend = static_cast<FleetBackend&>(pooled);
  ++backend.in_flight[static_cast<std::size_t>(work.work_class)];
  backend.outstanding.OnStart(work.body_bytes);
  if (backend.rate_limit.IsActive(now)) {
    ++backend.started;
    backend.rate_limit.OnOwnAttempt(this->random.Fraction(), now);
  }
}

void FleetPool::OnRelease(PooledBackend& pooled,
                          const Work& work,
                          bool was_overdue) {
  auto& backend = static_cast<FleetBackend&>(pooled);
  backend.outstanding.OnRelease(work.body_bytes);
  backend.overdue -= was_overdue ? 1 : 0;
  --backend.in_flight[static_cast<std::size_t>(work.work_class)];
  if (!backend.in_view && backend.InFlight() == 0) {
    this->backends.erase(BackendId(backend.server.id));
  }
}

void FleetPool::ScheduleProbe(FleetBackend& backend, TimePoint now) {
  backend.next_probe =
      now + kProbeDelay +
      Part(kProbeSpreadPerEntry * this->cell_size, this->random.Fraction());
}

void FleetPool::AddBad(FleetBackend& backend,
                       double weight,
                       const std::string& source,
                       TimePoint now) {
  const bool before = backend.shared.IsSuspect(now);
  backend.shared.AddBad(weight, now);
  if (!before && backend.shared.IsSuspect(now)) {
    backend.suspected_by = source;
  }
  // Only the entry that observed the outcome logs the change, so that it is
  // logged once for the fleet. The other entries show it in the log lines of
  // their attempts.
  if (!before && backend.shared.IsSuspect(now) && source == kSelf) {
    LogEvent("backend_suspected", LogSeverity::kWarning)
        .With("service", this->service)
        .With("backend_server", backend.server.id)
        .With("suspicion", backend.shared.Suspicion(now));
  }
  this->ScheduleProbe(backend, now);
}

void FleetPool::AddGood(FleetBackend& backend,
                        const std::string& source,
                        TimePoint now) {
  const bool before = backend.shared.IsSuspect(now);
  this->first_good = this->first_good.value_or(now);
  backend.shared.AddGood(now);
  if (before && !backend.shared.IsSuspect(now) && source == kSelf) {
    LogEvent("backend_trusted")
        .With("service", this->service)
        .With("backend_server", backend.server.id);
  }
  this->ScheduleProbe(backend, now);
}

void FleetPool::OnOutcome(PooledBackend& pooled,
                          const AttemptOutcome& outcome,
                          TimePoint now) {
  auto& backend = static_cast<FleetBackend&>(pooled);
  switch (outcome.result) {
    case AttemptResult::kSuccess: {
      const Duration taken = now - outcome.started;
      const auto late = this->SlowThreshold(outcome.work);
      this->latencies[outcome.work.latency_key].Add(taken);
      this->service_latencies.Add(taken);
      if (late && taken > *late) {
        if (!outcome.was_overdue && !outcome.started_at_capacity &&
            !HasReportedQueue(backend, now)) {
          ++backend.late;
          this->AddBad(backend, suspicion::kSlow, kSelf, now);
        }
        return;
      }
      ++backend.good;
      return this->AddGood(backend, kSelf, now);
    }
    case AttemptResult::kServerError:
      ++backend.server_errors;
      return this->AddBad(backend, suspicion::kServerError, kSelf, now);
    case AttemptResult::kBroken:
    case AttemptResult::kTruncated:
    case AttemptResult::kMismatched:
      ++backend.broken;
      return this->AddBad(backend, suspicion::kBroken, kSelf, now);
    case AttemptResult::kNotSent:
      return this->AddBad(backend, suspicion::kUnreachable, kSelf, now);
    case AttemptResult::kTimedOut:
      ++backend.late;
      return this->AddBad(backend, suspicion::kSlow, kSelf, now);
    case AttemptResult::kRefused:
      if (backend.reported_at == now &&
          backend.reported.running < backend.server.slots) {
        ++backend.server_errors;
        this->AddBad(backend, suspicion::kRefusedWithFreeSlots, kSelf, now);
      }
      return;
    case AttemptResult::kCancelled:
      return;
  }
}

void FleetPool::OnReportedLoad(PooledBackend& pooled,
                               const ReportedLoad& load,
                               TimePoint now) {
  auto& backend = static_cast<FleetBackend&>(pooled);
  backend.reported = load;
  backend.reported_at = now;
  backend.has_unsent_load = true;
}

void FleetPool::OnRateLimit(PooledBackend& pooled,
                            std::optional<double> requests_per_second,
                            AttemptResult result,
                            TimePoint started,
                            TimePoint now) {
  auto& backend = static_cast<FleetBackend&>(pooled);
  const double before = backend.rate_limit.Rate(now);
  if (requests_per_second) {
    backend.rate_limit.OnNamed(*requests_per_second, now);
    backend.unsent_rate_limit = *requests_per_second;
    backend.has_unsent_rate_limit_end = false;
  } else if (result == AttemptResult::kSuccess && before > 0) {
    backend.rate_limit.OnNotNamed(started);
    if (!backend.rate_limit.IsActive(now)) {
      backend.unsent_rate_limit = -1;
      backend.has_unsent_rate_limit_end = true;
    }
  }
  const double after = backend.rate_limit.Rate(now);
  if ((before > 0) != (after > 0)) {
    this->LogRateLimit(backend, after);
  }
}

void FleetPool::OnLeavingReported(PooledBackend& backend, TimePoint now) {
  this->MarkLeaving(backend.server.id, kSelf, now);
}

void FleetPool::MarkLeaving(const BackendId& id,
                            const std::string& source,
                            TimePoint now) {
  const bool is_new = this->announced_leaving.emplace(id, now).second;
  FleetBackend* backend = this->Find(id);
  if (backend != nullptr) {
    backend->reported_leaving = true;
  }
  if (is_new && source == kSelf && backend != nullptr) {
    backend->has_unsent_leaving = true;
    LogEvent("backend_announced_leaving")
        .With("service", this->service)
        .With("backend_server", id);
  }
}

void FleetPool::OnPause(PooledBackend& pooled, Duration pause, TimePoint now) {
  auto& backend = static_cast<FleetBackend&>(pooled);
  backend.paused_until = std::max(backend.paused_until, now + pause);
  LogEvent("backend_paused")
      .With("service", this->service)
      .With("backend_server", backend.server.id)
      .With(
          "ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(pause).count());
}

std::optional<Duration> FleetPool::PauseLeft(
    const std::vector<BackendId>& excluded,
    TimePoint now) const {
  std::optional<Duration> left;
  for (const FleetBackend* backend : this->SelectInService(excluded)) {
    if (now >= backend->paused_until) {
      return std::nullopt;
    }
    const Duration each = backend->paused_until - now;
    left = std::min(left.value_or(each), each);
  }
  return left;
}

void FleetPool::LogRateLimit(const FleetBackend& backend, double rate) const {
  LogEvent(rate > 0 ? "rate_limit_named" : "rate_limit_ended")
      .With("service", this->service)
      .With("backend_server", backend.server.id)
      .With("requests_per_second", rate);
}

// An answer that waited in the backend server's queue is late at any backend
// server, so it is no evidence against this one.
bool FleetPool::HasReportedQueue(const FleetBackend& backend, TimePoint now) {
  return backend.reported.waiting > 0 &&
         now - backend.reported_at < kReportExpiry;
}

void FleetPool::OnOverdue(PooledBackend& pooled,
                          const OverdueAttempt& attempt,
                          TimePoint now) {
  auto& backend = static_cast<FleetBackend&>(pooled);
  ++backend.overdue;
  if (attempt.started_at_capacity || HasReportedQueue(backend, now)) {
    return;
  }
  if (backend.shared.LastGood() < attempt.started) {
    ++backend.silent;
    return this->AddBad(backend, suspicion::kSilent, kSelf, now);
  }
  ++backend.late;
  this->AddBad(backend, suspicion::kSlow, kSelf, now);
}

// Counts only the backend servers that this entry would use now.
std::optional<ServiceLoad> FleetPool::Load(const Work& work,
                                           TimePoint now) const {
  ServiceLoad load;
  load.typical_latency = this->MedianLatency(work);
  double slots = 0;
  std::optional<Duration> rate_limit_wait;
  for (const FleetBackend* backend : this->listed) {
    if (backend->IsInService() && !backend->shared.IsSuspect(now)) {
      load.requests_per_slot += EstimateLoad(*backend, now);
      slots += backend->server.slots;
    }
    if (backend->IsInService()) {
      const Duration wait = backend->rate_limit.Wait(now);
      rate_limit_wait = std::min(rate_limit_wait.value_or(wait), wait);
    }
  }
  load.slots = std::max(slots, 1.0);
  load.requests_per_slot /= load.slots;
  load.rate_limit_wait = rate_limit_wait.value_or(Duration{});
  load.pause_wait = this->PauseLeft({}, now).value_or(Duration{});
  return load;
}

Duration FleetPool::MedianLatency(const Work& work) const {
  const auto found = this->latencies.find(work.latency_key);
  // A route without answers so far is taken to be like the others of the
  // service.
  return found == this->latencies.end() ? this->service_latencies.Median()
                                        : found->second.Median();
}

std::optional<Duration> FleetPool::SlowThreshold(const Work& work) const {
  const auto found = this->latencies.find(work.latency_key);
  const bool known =
      found != this->latencies.end() && found->second.Count() >= kMinLatencies;
  const Duration target = work.target_latency;
  if (target == Duration{}) {
    return known ? std::optional(Part(found->second.Median(), kLateFactor))
                 : std::nullopt;
  }
  if (!known) {
    return Part(target, kMaxLateShare);
  }
  return std::clamp(Part(found->second.Median(), kLateFactor),
                    Part(target, kMinLateShare), Part(target, kMaxLateShare));
}

void FleetPool::OnFleetEvidence(
    const std::string& from,
    const std::vector<schema::BackendEvidenceT>& evidence,
    TimePoint now) {
  for (const schema::BackendEvidenceT& each : evidence) {
    if (each.leaving) {
      this->MarkLeaving(BackendId(each.id), from, now);
    }
    FleetBackend* backend = this->Find(BackendId(each.id));
    if (backend == nullptr) {
      continue;
    }
    backend->peer_in_flight.Set(from, each.in_flight, now);
    backend->outstanding.OnReport(from, each.outstanding_bytes, now);
    backend->rate_limit.OnPeerAttempts(each.started, now);
    if (each.rate_limit >= 0) {
      backend->rate_limit.OnNamed(each.rate_limit, now);
    } else if (each.rate_limit_ended) {
      backend->rate_limit.OnEnded();
    }
    if (each.slots > 0) {
      backend->reported = {each.running, each.waiting, each.slots};
      backend->reported_at = now;
    }
    const double bad = suspicion::kBroken * each.failures +
                       suspicion::kServerError * each.server_errors +
                       suspicion::kSlow * each.slow +
                       suspicion::kSilent * each.silent;
    for (std::uint32_t i = 0; i < std::min(each.good, kMaxReportedGood); ++i) {
      this->AddGood(*backend, from, now);
    }
    if (bad > 0) {
      this->AddBad(*backend, bad, from, now);
    }
  }
}

std::vector<schema::BackendEvidenceT> FleetPool::TakeEvidence(TimePoint now) {
  std::vector<schema::BackendEvidenceT> evidence;
  for (FleetBackend* backend : this->listed) {
    const std::uint32_t outcomes = backend->good + backend->broken +
                                   backend->server_errors + backend->late +
                                   backend->silent;
    const bool in_flight_is_stale =
        backend->InFlight() > 0 &&
        now - backend->in_flight_sent_at >=
            (backend->outstanding.Own() > 0 ? OutstandingBytes::kResendInterval
                                            : kInFlightResendInterval);
    if (outcomes == 0 && !backend->has_unsent_load && !in_flight_is_stale &&
        backend->InFlight() == backend->sent_in_flight &&
        !backend->outstanding.HasUnsent() && backend->started == 0 &&
        backend->unsent_rate_limit < 0 && !backend->has_unsent_rate_limit_end &&
        !backend->has_unsent_leaving) {
      continue;
    }
    schema::BackendEvidenceT item;
    item.service = this->service.Value();
    item.id = backend->server.id.Value();
    item.good = std::exchange(backend->good, 0);
    item.failures = std::exchange(backend->broken, 0);
    item.server_errors = std::exchange(backend->server_errors, 0);
    item.slow = std::exchange(backend->late, 0);
    item.silent = std::exchange(backend->silent, 0);
    if (std::exchange(backend->has_unsent_load, false)) {
      item.running = backend->reported.running;
      item.waiting = backend->reported.waiting;
      item.slots = backend->reported.slots;
    }
    item.started = std::exchange(backend->started, 0);
    item.rate_limit = std::exchange(backend->unsent_rate_limit, -1);
    item.rate_limit_ended =
        std::exchange(backend->has_unsent_rate_limit_end, false);
    item.leaving = std::exchange(backend->has_unsent_leaving, false);
    item.in_flight = backend->InFlight();
    item.outstanding_bytes = backend->outstanding.TakeReport();
    backend->sent_in_flight = item.in_flight;
    backend->in_flight_sent_at = now;
    item.avoided =
        (outcomes > 0 &&
         backend->shared.LastOutcome() != backend->shared.LastGood()) ||
        item.failures + item.server_errors + item.slow + item.silent > 0;
    evidence.push_back(std::move(item));
  }
  return evidence;
}

std::string FleetPool::DescribePickInputs(const PooledBackend& pooled,
                                          TimePoint now) const {
  const auto& backend = static_cast<const FleetBackend&>(pooled);
  std::ostringstream text;
  text << "load:" << EstimateLoad(backend, now) << "/" << backend.server.slots;
  if (const std::uint64_t bytes = backend.outstanding.Total(now); bytes > 0) {
    text << ",outstanding_bytes:" << bytes;
  }
  if (backend.shared.LastGood() > TimePoint{}) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - backend.shared.LastGood());
    text << ",good_ms_ago:" << age.count();
  }
  if (backend.shared.IsSuspect(now)) {
    text << ",suspicion:" << backend.shared.Suspicion(now)
         << ",seen_by:" << backend.suspected_by;
  }
  if (now < backend.paused_until) {
    text << ",paused";
  }
  if (backend.rate_limit.IsActive(now)) {
    text << ",rate_limit:" << backend.rate_limit.Rate(now)
         << ",allowance:" << backend.rate_limit.Level(now);
  }
  return text.str();
}

std::vector<std::string> FleetPool::Explain(TimePoint now) const {
  std::vector<std::string> lines;
  for (const FleetBackend* backend : this->listed) {
    std::ostringstream line;
    line << backend->server.id.Value() << " "
         << (backend->leaving || backend->reported_leaving ? "leaving"
             : now < backend->paused_until                 ? "paused"
             : backend->shared.IsSuspect(now)              ? "suspect"
                                                           : "in service")
         << " suspicion=" << backend->shared.Suspicion(now)
         << " in_flight=" << backend->InFlight()
         << " reported=" << backend->reported.running << ","
         << backend->reported.waiting << "," << backend->reported.slots;
    if (const std::uint64_t bytes = backend->outstanding.Total(now)) {
      line << " outstanding_bytes=" << bytes;
    }
    if (backend->rate_limit.IsActive(now)) {
      line << " rate_limit=" << backend->rate_limit.Rate(now)
           << " allowance=" << backend->rate_limit.Level(now);
    }
    lines.push_back(line.str());
  }
  return lines;
}

}  // namespace acacia
