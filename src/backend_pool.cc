#include "src/backend_pool.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "src/home_assignment.h"
#include "src/work_split.h"

namespace acacia {

namespace {

// A backend server's own word that it is leaving stands this long without the
// fleet confirming it.
constexpr Duration kUnconfirmedLeaving = std::chrono::minutes(10);
constexpr int kSampledOthers = 8;

std::size_t IndexOf(WorkClass work_class) {
  return static_cast<std::size_t>(work_class);
}

std::uint32_t DivideUp(std::uint32_t dividend, std::uint32_t divisor) {
  return (dividend + divisor - 1) / divisor;
}

bool Contains(const std::vector<BackendId>& ids, const BackendId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Share of the backend server's slots that this entry uses.
double LoadOf(const PooledBackend& backend) {
  return static_cast<double>(backend.InFlight()) / backend.server.slots;
}

}  // namespace

std::uint32_t PooledBackend::InFlight() const {
  return this->in_flight[0] + this->in_flight[1];
}

bool PooledBackend::IsInService() const {
  return this->in_view && !this->ejected && !this->leaving &&
         !this->said_leaving;
}

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
  this->DropGone();
  this->AssignRoles();
}

void BackendPool::ApplyOne(const BackendServer& server,
                           const ServiceView& view,
                           TimePoint now) {
  std::unique_ptr<PooledBackend>& slot = this->backends[server.id];
  if (!slot) {
    slot = std::make_unique<PooledBackend>();
  }
  PooledBackend& backend = *slot;
  if (backend.in_view) {
    return;
  }
  backend.server = server;
  backend.server.slots = std::max(server.slots, 1U);
  backend.in_view = true;
  backend.ejected = view.ejected.contains(server.id);
  backend.cold = view.cold.contains(server.id);
  backend.leaving = view.leaving.contains(server.id);
  backend.leaving_confirmed = backend.leaving_confirmed || backend.leaving;
  const bool over = backend.leaving_confirmed && !backend.leaving;
  const bool unconfirmed = !backend.leaving_confirmed &&
                           now - backend.said_leaving_at > kUnconfirmedLeaving;
  if (over || unconfirmed) {
    backend.said_leaving = false;
    backend.leaving_confirmed = false;
  }
  this->listed.push_back(&backend);
}

void BackendPool::DropGone() {
  std::erase_if(this->backends, [](const auto& item) {
    return !item.second->in_view && item.second->InFlight() == 0;
  });
}

void BackendPool::AssignRoles() {
  std::vector<PooledBackend*> serving;
  std::vector<BackendServer> servers;
  std::vector<BackendId> ids;
  for (PooledBackend* backend : this->listed) {
    backend->home = false;
    backend->long_host = false;
    if (backend->IsInService()) {
      serving.push_back(backend);
      servers.push_back(backend->server);
      ids.push_back(backend->server.id);
    }
  }
  this->homes.clear();
  const HomeAssignment assignment =
      AssignHomes(this->service, this->self, this->entries, servers);
  for (const std::size_t i : assignment.homes) {
    serving[i]->home = true;
    this->homes.push_back(serving[i]);
  }
  for (const std::size_t i :
       LongHosts(this->service, ids, this->policy.long_slots_percent)) {
    serving[i]->long_host = true;
  }
  for (PooledBackend* backend : serving) {
    const std::uint32_t share =
        DivideUp(backend->server.slots,
                 static_cast<std::uint32_t>(assignment.entries_per_home));
    backend->limit.Configure(backend->server.slots, backend->home ? share : 0);
  }
}

bool BackendPool::HasRoom(const PooledBackend& backend,
                          const PickRequest& request,
                          TimePoint now) const {
  if (!backend.IsInService() ||
      !backend.limit.Allows(backend.InFlight(), now) ||
      Contains(request.excluded, backend.server.id)) {
    return false;
  }
  if (request.work_class == WorkClass::kShort) {
    return true;
  }
  return backend.long_host &&
         backend.in_flight[IndexOf(WorkClass::kLong)] <
             LongSlots(backend.server.slots, this->policy.long_slots_percent);
}

PooledBackend* BackendPool::Pick(const PickRequest& request, TimePoint now) {
  PooledBackend* home = this->PickHome(request, now);
  return home != nullptr ? home : this->PickOther(request, now);
}

PooledBackend* BackendPool::PickHome(const PickRequest& request,
                                     TimePoint now) {
  PooledBackend* best = nullptr;
  for (PooledBackend* home : this->homes) {
    if (this->HasRoom(*home, request, now) &&
        (best == nullptr || LoadOf(*home) < LoadOf(*best))) {
      best = home;
    }
  }
  return best;
}

PooledBackend* BackendPool::PickOther(const PickRequest& request,
                                      TimePoint now) {
  if (this->listed.empty()) {
    return nullptr;
  }
  PooledBackend* first = nullptr;
  for (int i = 0; i < kSampledOthers; ++i) {
    PooledBackend* candidate =
        this->listed[this->random.Below(this->listed.size())];
    if (candidate == first || !this->HasRoom(*candidate, request, now)) {
      continue;
    }
    if (first != nullptr) {
      return LoadOf(*candidate) < LoadOf(*first) ? candidate : first;
    }
    first = candidate;
  }
  if (first != nullptr) {
    return first;
  }
  const std::size_t start = this->random.Below(this->listed.size());
  for (std::size_t i = 0; i < this->listed.size(); ++i) {
    PooledBackend* candidate = this->listed[(start + i) % this->listed.size()];
    if (this->HasRoom(*candidate, request, now)) {
      return candidate;
    }
  }
  return nullptr;
}

bool BackendPool::HasChoice(const std::vector<BackendId>& excluded) const {
  return std::any_of(this->listed.begin(), this->listed.end(),
                     [&excluded](const PooledBackend* backend) {
                       return backend->IsInService() &&
                              !Contains(excluded, backend->server.id);
                     });
}

void BackendPool::OnStart(PooledBackend& backend,
                          WorkClass work_class,
                          TimePoint /*now*/) {
  ++backend.in_flight[IndexOf(work_class)];
  ++backend.counts.attempts;
}

void BackendPool::OnRelease(PooledBackend& backend, WorkClass work_class) {
  --backend.in_flight[IndexOf(work_class)];
  if (!backend.in_view && backend.InFlight() == 0) {
    this->backends.erase(BackendId(backend.server.id));
  }
}

void BackendPool::OnLeavingSeen(PooledBackend& backend, TimePoint now) {
  backend.said_leaving_at = now;
  if (!backend.said_leaving) {
    backend.said_leaving = true;
    this->AssignRoles();
  }
}

std::optional<TimePoint> BackendPool::NextOpening(TimePoint now) const {
  std::optional<TimePoint> next;
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
    schema::BackendEvidenceT item;
    item.service = this->service.Value();
    item.address = backend->server.id.Value();
    item.attempts = backend->counts.attempts;
    item.failures = backend->counts.failures;
    item.slow = backend->counts.slow;
    item.refused = backend->counts.refused;
    item.leaving = backend->said_leaving;
    item.in_flight = backend->InFlight();
    backend->counts = {};
    if (item.attempts + item.failures + item.refused + item.in_flight > 0 ||
        item.leaving) {
      evidence.push_back(std::move(item));
    }
  }
  return evidence;
}

std::vector<std::string> BackendPool::Explain(TimePoint now) const {
  std::vector<std::string> lines;
  for (const PooledBackend* backend : this->listed) {
    std::ostringstream line;
    line << backend->server.id.Value() << " ";
    if (backend->ejected) {
      line << "ejected by the fleet";
    } else if (backend->leaving || backend->said_leaving) {
      line << "leaving";
    } else if (backend->limit.ClosedUntil() > now) {
      line << "in service, refused work just now";
    } else {
      line << "in service";
    }
    line << "; in flight " << backend->InFlight() << " of limit "
         << backend->limit.Limit() << ", slots " << backend->server.slots
         << (backend->home ? ", home" : "")
         << (backend->long_host ? ", takes long work" : "");
    lines.push_back(line.str());
  }
  return lines;
}

}  // namespace acacia
