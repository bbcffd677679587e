#include "src/fleet_pool.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "src/log_event.h"

namespace acacia {
namespace {

// The source of what this entry saw itself, in the log.
constexpr char kOwn[] = "self";
// A suspect gets a probe from one entry or another so long after the last
// outcome. Each entry draws its own turn from a time that grows with the fleet,
// so that the second probe seldom comes before the first one's outcome is
// known.
constexpr Duration kProbeAfter = std::chrono::milliseconds(700);
constexpr Duration kProbeSpreadPerEntry = std::chrono::milliseconds(400);
// Another entry's attempts count as in flight for so long after it last said
// so; it says so again earlier.
constexpr Duration kInFlightMemory = std::chrono::milliseconds(1200);
constexpr Duration kInFlightRepeat = std::chrono::milliseconds(500);
// When fewer than this share is trusted, the least suspect are used too: the
// trouble is then the service's, or this entry's own.
constexpr double kLeastTrusted = 0.4;
// Drawn at random, of which the cheapest is taken. Few, so that entries with
// the same news do not all choose the same one.
constexpr std::size_t kDraws = 3;
// Faults begin at any time, so a good answer proves a backend server for a
// while only. In units of a full set of slots: what one that is not proved at
// all costs work that may run only once. The first attempt of idempotent
// work, which can be tried again, goes there instead and proves it.
constexpr double kUnprovenCost = 0.5;
constexpr std::chrono::duration<double> kProofMemory(1.0);
// In units of a full set of slots: what a backend server in another failure
// domain, or one that is cold, costs more.
constexpr double kDistantCost = 0.6;
// The same of one nearby in another cell, of whose load less is known.
constexpr double kForeignCellCost = 0.4;
constexpr double kColdCost = 0.8;
// Bodies from this size on stay near even at a higher load.
constexpr std::uint64_t kLargeBody = 32 * 1024;
constexpr double kDistantLargeCost = 1.0;
// A reported load counts less the older it is.
constexpr std::chrono::duration<double> kReportMemory(0.5);
// After this time a report says nothing any more.
constexpr Duration kQueueMemory = std::chrono::seconds(1);
// An answer is late after this many times the usual time, or at this share of
// its target while the usual time is unknown.
constexpr double kLateFactor = 2.5;
constexpr std::size_t kLeastLatencies = 4;
constexpr double kEarliestLate = 0.25;
constexpr double kLatestLate = 0.6;

constexpr std::size_t kPercent = 100;

bool IsExcluded(const std::vector<BackendId>& ids, const BackendId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool IsRepeatable(const PickRequest& request) {
  return request.work.idempotent && request.excluded.empty();
}

// A first attempt that can be tried again elsewhere may find out how a backend
// server does; a retry must find a good answer.
bool IsTrial(const PickRequest& request) {
  return IsRepeatable(request) && request.can_retry;
}

Duration Part(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

}  // namespace

FleetPool::FleetPool(ServiceName service,
                     FailureDomain domain,
                     RandomSource& random)
    : service(std::move(service)), domain(std::move(domain)), random(random) {}

void FleetPool::Apply(const ServiceView& view, TimePoint /*now*/) {
  this->floor_percent = view.policy.floor_percent;
  this->cell_size = std::max(view.cell_size, 1U);
  this->listed.clear();
  for (auto& [id, backend] : this->backends) {
    backend->in_view = false;
  }
  for (const BackendServer& server : view.backend_servers) {
    std::unique_ptr<FleetBackend>& slot = this->backends[server.id];
    if (!slot) {
      slot = std::make_unique<FleetBackend>();
    }
    slot->server = server;
    slot->server.slots = std::max(server.slots, 1U);
    slot->in_view = true;
    slot->leaving = view.leaving.contains(server.id);
    slot->is_cold = view.cold.contains(server.id);
    slot->is_home = view.homes.empty() ? server.failure_domain == this->domain
                                       : view.homes.contains(server.id);
    this->listed.push_back(slot.get());
  }
  std::erase_if(this->backends, [](const auto& item) {
    return !item.second->in_view && item.second->InFlight() == 0;
  });
}

FleetBackend* FleetPool::Find(const BackendId& id) const {
  const auto found = this->backends.find(id);
  return found == this->backends.end() ? nullptr : found->second.get();
}

FleetPool::Candidates FleetPool::Usable(const PickRequest& request) const {
  Candidates usable;
  for (FleetBackend* backend : this->listed) {
    if (backend->IsInService() &&
        !IsExcluded(request.excluded, backend->server.id)) {
      usable.push_back(backend);
    }
  }
  return usable;
}

PooledBackend* FleetPool::Pick(const PickRequest& request, TimePoint now) {
  const Candidates usable = this->Usable(request);
  if (usable.empty()) {
    return nullptr;
  }
  // Below the floor suspects are found well again whatever that costs.
  if (IsTrial(request) ||
      (IsRepeatable(request) && this->IsBelowFloor(usable, now))) {
    if (FleetBackend* probe = this->PickProbe(usable, now)) {
      return probe;
    }
  }
  return this->PickLeastLoaded(this->Trusted(usable, now), request, now);
}

FleetBackend* FleetPool::PickProbe(const Candidates& usable, TimePoint now) {
  FleetBackend* due = nullptr;
  for (FleetBackend* backend : usable) {
    if (backend->shared.IsSuspect(now) && backend->next_probe <= now &&
        backend->InFlight() == 0 && !this->IsFull(*backend, now) &&
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

FleetPool::Candidates FleetPool::Trusted(Candidates usable,
                                         TimePoint now) const {
  const auto trusted_end = std::stable_partition(
      usable.begin(), usable.end(),
      [now](auto* each) { return !each->shared.IsSuspect(now); });
  const auto trusted = static_cast<std::size_t>(trusted_end - usable.begin());
  const auto least = static_cast<std::size_t>(
      std::ceil(kLeastTrusted * static_cast<double>(usable.size())));
  if (trusted < least) {
    std::sort(trusted_end, usable.end(), [now](auto* a, auto* b) {
      return a->shared.Suspicion(now) < b->shared.Suspicion(now);
    });
  }
  usable.resize(std::max(trusted, least));
  return usable;
}

double FleetPool::Cost(const FleetBackend& backend,
                       const PickRequest& request,
                       TimePoint now) const {
  const Work& work = request.work;
  const auto slots = static_cast<double>(backend.server.slots);
  double cost = KnownLoad(backend, now) / slots;
  if (backend.server.failure_domain != this->domain) {
    cost += work.body_bytes >= kLargeBody ? kDistantLargeCost : kDistantCost;
  } else if (!backend.is_home) {
    cost += kForeignCellCost;
  }
  if (backend.is_cold) {
    cost += kColdCost;
  }
  const std::chrono::duration<double> since_good =
      now - backend.shared.LastGood();
  const double unproven =
      kUnprovenCost * (1 - std::exp(-(since_good / kProofMemory)));
  cost += IsTrial(request) ? -unproven : unproven;
  // What is left of a cleared suspicion must not starve a backend server.
  const double suspicion = backend.shared.Suspicion(now);
  return cost + (suspicion > SharedHealth::kCleared ? suspicion : 0);
}

// What entries say they have in flight is a few tens of milliseconds old; what
// the backend server reported also holds the work of entries not heard here.
double FleetPool::KnownLoad(const FleetBackend& backend, TimePoint now) {
  std::uint32_t told = 0;
  for (const ToldInFlight& each : backend.told_in_flight) {
    told += now - each.at < kInFlightMemory ? each.count : 0;
  }
  const std::chrono::duration<double> age = now - backend.reported_at;
  const double fresh = now - backend.reported_at < kQueueMemory
                           ? std::exp(-(age / kReportMemory))
                           : 0;
  const double reported =
      fresh * (backend.reported.running + backend.reported.waiting);
  return std::max<double>(reported, backend.InFlight() + told);
}

bool FleetPool::IsFull(const PooledBackend& pooled, TimePoint now) const {
  const auto& backend = static_cast<const FleetBackend&>(pooled);
  return KnownLoad(backend, now) >= backend.server.slots;
}

void FleetPool::NoteInFlight(FleetBackend& backend,
                             const std::string& entry,
                             std::uint32_t count,
                             TimePoint now) {
  std::erase_if(backend.told_in_flight, [&](const ToldInFlight& each) {
    return each.entry == entry || now - each.at >= kInFlightMemory;
  });
  if (count > 0) {
    backend.told_in_flight.push_back({entry, count, now});
  }
}

// The cheapest of a few drawn at random, from this entry's own cell, the rest
// of its failure domain, and elsewhere.
FleetBackend* FleetPool::PickLeastLoaded(const Candidates& among,
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
    // Small groups are looked at whole.
    const bool whole = group->size() <= kDraws;
    const std::size_t turn =
        group->empty() ? 0 : this->random.Below(group->size());
    for (std::size_t i = 0; i < std::min(kDraws, group->size()); ++i) {
      const std::size_t at =
          whole ? turn + i : this->random.Below(group->size());
      FleetBackend* drawn = (*group)[at % group->size()];
      const double cost = this->Cost(*drawn, request, now);
      if (best == nullptr || cost < best_cost) {
        best = drawn;
        best_cost = cost;
      }
    }
  }
  return best;
}

bool FleetPool::HasChoice(const std::vector<BackendId>& excluded) const {
  return std::any_of(this->listed.begin(), this->listed.end(),
                     [&excluded](const FleetBackend* backend) {
                       return backend->IsInService() &&
                              !IsExcluded(excluded, backend->server.id);
                     });
}

void FleetPool::OnStart(PooledBackend& backend,
                        const Work& work,
                        TimePoint /*now*/) {
  ++backend.in_flight[static_cast<std::size_t>(work.work_class)];
}

void FleetPool::OnRelease(PooledBackend& backend,
                          const Work& work,
                          bool was_overdue) {
  backend.overdue -= was_overdue ? 1 : 0;
  --backend.in_flight[static_cast<std::size_t>(work.work_class)];
  if (!backend.in_view && backend.InFlight() == 0) {
    this->backends.erase(BackendId(backend.server.id));
  }
}

void FleetPool::ScheduleProbe(FleetBackend& backend, TimePoint now) {
  backend.next_probe =
      now + kProbeAfter +
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
  // The entry that saw it logs it, once for the fleet; what the others believe
  // stands in the lines of their attempts.
  if (!before && backend.shared.IsSuspect(now) && source == kOwn) {
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
  backend.shared.AddGood(now);
  if (before && !backend.shared.IsSuspect(now) && source == kOwn) {
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
      const auto late = this->SlowAfter(outcome.work);
      this->latencies[outcome.work.latency_key].Add(taken);
      if (late && taken > *late) {
        if (!outcome.was_overdue && !outcome.began_full &&
            !IsQueueing(backend, now)) {
          ++backend.late;
          this->AddBad(backend, suspicion::kSlow, kOwn, now);
        }
        return;
      }
      ++backend.good;
      return this->AddGood(backend, kOwn, now);
    }
    case AttemptResult::kServerError:
      ++backend.server_errors;
      return this->AddBad(backend, suspicion::kServerError, kOwn, now);
    case AttemptResult::kBroken:
    case AttemptResult::kTruncated:
    case AttemptResult::kMismatched:
      ++backend.broken;
      return this->AddBad(backend, suspicion::kBroken, kOwn, now);
    case AttemptResult::kNotSent:
      return this->AddBad(backend, suspicion::kUnreachable, kOwn, now);
    case AttemptResult::kTimedOut:
      ++backend.late;
      return this->AddBad(backend, suspicion::kSlow, kOwn, now);
    case AttemptResult::kRefused:
      if (backend.reported_at == now &&
          backend.reported.running < backend.server.slots) {
        ++backend.server_errors;
        this->AddBad(backend, suspicion::kRefusedFree, kOwn, now);
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
  backend.has_news = true;
}

// What waits in a queue is late whoever serves it, and tells nothing of the
// backend server.
bool FleetPool::IsQueueing(const FleetBackend& backend, TimePoint now) {
  return backend.reported.waiting > 0 &&
         now - backend.reported_at < kQueueMemory;
}

void FleetPool::OnOverdue(PooledBackend& pooled,
                          const OverdueAttempt& attempt,
                          TimePoint now) {
  auto& backend = static_cast<FleetBackend&>(pooled);
  ++backend.overdue;
  if (attempt.began_full || IsQueueing(backend, now)) {
    return;
  }
  if (backend.shared.LastGood() < attempt.started) {
    ++backend.silent;
    return this->AddBad(backend, suspicion::kSilent, kOwn, now);
  }
  ++backend.late;
  this->AddBad(backend, suspicion::kSlow, kOwn, now);
}

// Of what this entry would use now.
std::optional<RefusalLoad> FleetPool::Load(const Work& work,
                                           TimePoint now) const {
  RefusalLoad load;
  load.usual_time = this->MedianLatency(work);
  double slots = 0;
  for (const FleetBackend* backend : this->listed) {
    if (backend->IsInService() && !backend->shared.IsSuspect(now)) {
      load.per_slot += KnownLoad(*backend, now);
      slots += backend->server.slots;
    }
  }
  load.per_slot /= std::max(slots, 1.0);
  return load;
}

Duration FleetPool::MedianLatency(const Work& work) const {
  const auto found = this->latencies.find(work.latency_key);
  return found == this->latencies.end() ? Duration{} : found->second.Median();
}

std::optional<Duration> FleetPool::SlowAfter(const Work& work) const {
  const auto found = this->latencies.find(work.latency_key);
  const bool known = found != this->latencies.end() &&
                     found->second.Count() >= kLeastLatencies;
  const Duration target = work.target_latency;
  if (target == Duration{}) {
    return known ? std::optional(Part(found->second.Median(), kLateFactor))
                 : std::nullopt;
  }
  if (!known) {
    return Part(target, kLatestLate);
  }
  return std::clamp(Part(found->second.Median(), kLateFactor),
                    Part(target, kEarliestLate), Part(target, kLatestLate));
}

void FleetPool::OnFleetEvidence(
    const std::string& from,
    const std::vector<schema::BackendEvidenceT>& evidence,
    TimePoint now) {
  for (const schema::BackendEvidenceT& each : evidence) {
    FleetBackend* backend = this->Find(BackendId(each.id));
    if (backend == nullptr) {
      continue;
    }
    NoteInFlight(*backend, from, each.in_flight, now);
    if (each.slots > 0) {
      backend->reported = {each.running, each.waiting, each.slots};
      backend->reported_at = now;
    }
    const double bad = suspicion::kBroken * each.failures +
                       suspicion::kServerError * each.server_errors +
                       suspicion::kSlow * each.slow +
                       suspicion::kSilent * each.silent;
    for (std::uint32_t i = 0; i < each.good; ++i) {
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
    const bool in_flight_is_old =
        backend->InFlight() > 0 && now - backend->passed_at >= kInFlightRepeat;
    if (outcomes == 0 && !backend->has_news && !in_flight_is_old &&
        backend->InFlight() == backend->passed_in_flight) {
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
    if (std::exchange(backend->has_news, false)) {
      item.running = backend->reported.running;
      item.waiting = backend->reported.waiting;
      item.slots = backend->reported.slots;
    }
    item.in_flight = backend->InFlight();
    backend->passed_in_flight = item.in_flight;
    backend->passed_at = now;
    item.avoided =
        (outcomes > 0 &&
         backend->shared.LastHeard() != backend->shared.LastGood()) ||
        item.failures + item.server_errors + item.slow + item.silent > 0;
    evidence.push_back(std::move(item));
  }
  return evidence;
}

std::string FleetPool::DescribeBelief(const PooledBackend& pooled,
                                      TimePoint now) const {
  const auto& backend = static_cast<const FleetBackend&>(pooled);
  std::ostringstream text;
  text << "load:" << KnownLoad(backend, now) << "/" << backend.server.slots;
  if (backend.shared.LastGood() > TimePoint{}) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - backend.shared.LastGood());
    text << ",good_ms_ago:" << age.count();
  }
  if (backend.shared.IsSuspect(now)) {
    text << ",suspicion:" << backend.shared.Suspicion(now)
         << ",seen_by:" << backend.suspected_by;
  }
  return text.str();
}

std::vector<std::string> FleetPool::Explain(TimePoint now) const {
  std::vector<std::string> lines;
  for (const FleetBackend* backend : this->listed) {
    std::ostringstream line;
    line << backend->server.id.Value() << " "
         << (backend->leaving                 ? "leaving"
             : backend->shared.IsSuspect(now) ? "suspect"
                                              : "in service")
         << " suspicion=" << backend->shared.Suspicion(now)
         << " in_flight=" << backend->InFlight()
         << " reported=" << backend->reported.running << ","
         << backend->reported.waiting << "," << backend->reported.slots;
    lines.push_back(line.str());
  }
  return lines;
}

}  // namespace acacia
