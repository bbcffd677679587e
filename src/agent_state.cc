#include "src/agent_state.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "src/fleet_state.h"
#include "src/log_event.h"
#include "src/rendezvous.h"

namespace acacia {
namespace {

using schema::MemberState;

constexpr Duration kFleetPublishGap = std::chrono::milliseconds(200);
constexpr Duration kFleetRefresh = std::chrono::seconds(5);
constexpr Duration kTasksGap = std::chrono::milliseconds(500);
constexpr Duration kDecisionInterval = std::chrono::milliseconds(500);
constexpr std::size_t kProposers = 2;
constexpr std::size_t kPollers = 3;
constexpr std::size_t kStopPlanners = 2;
// A new instance learns who the others are before it plans their stops.
constexpr Duration kSettlingTime = std::chrono::seconds(15);

schema::MemberUpdateT MakeSelf(const AgentIdentity& identity) {
  schema::MemberUpdateT self;
  self.instance = identity.instance.Value();
  self.incarnation = identity.incarnation.Value();
  self.started = identity.incarnation.Value();
  self.peer_address = identity.peer_address.Value();
  self.caller_address = identity.caller_address;
  self.failure_domain = identity.failure_domain.Value();
  self.region = identity.region;
  return self;
}

std::string ProcessName(const AgentIdentity& identity) {
  return identity.instance.Value() + "/" +
         std::to_string(identity.incarnation.Value());
}

std::vector<InstanceId> BestInstances(const std::string& key,
                                      const std::vector<InstanceId>& instances,
                                      std::size_t count) {
  std::vector<RendezvousNode> nodes;
  for (const InstanceId& instance : instances) {
    nodes.push_back({instance.Value()});
  }
  std::vector<InstanceId> best;
  for (const std::size_t index : RankByRendezvous(key, nodes, count)) {
    best.push_back(instances[index]);
  }
  return best;
}

EjectionRole RoleOf(const InstanceId& self,
                    const std::vector<InstanceId>& best) {
  const auto place = std::find(best.begin(), best.end(), self) - best.begin();
  if (place == 0) {
    return EjectionRole::kFirstProposer;
  }
  if (place < static_cast<std::ptrdiff_t>(kProposers)) {
    return EjectionRole::kSecondProposer;
  }
  return place < static_cast<std::ptrdiff_t>(best.size())
             ? EjectionRole::kPoller
             : EjectionRole::kHolder;
}

}  // namespace

AgentCore::State::State(AgentIdentity identity_in,
                        const Clock& wall_clock,
                        std::unique_ptr<RandomSource> random_in,
                        TimePoint now)
    : identity(std::move(identity_in)),
      random(std::move(random_in)),
      sync(*this->random, this->operations, now),
      membership(MakeSelf(this->identity),
                 this->identity.seeds,
                 *this->random,
                 now),
      discovery(*this->random, this->operations),
      ejection(ProcessName(this->identity),
               wall_clock,
               *this->random,
               this->operations),
      planner(this->identity.instance,
              this->identity.incarnation.Value(),
              *this->random,
              this->operations),
      claims(ProcessName(this->identity), this->operations),
      started(now) {
  this->discovery.SetNames({kEntryService}, now);
}

void AgentCore::State::PublishConfigurationNow(TimePoint now) {
  const bool known = this->sync.IsReady() && this->sync.FileSet() != nullptr;
  if (!known || this->sync.CurrentGeneration() < this->entry_generation ||
      !this->sync.IsSpread(this->membership.HasLivePeers(), now)) {
    return;
  }
  this->configuration_published = true;
  this->out.push_back(PublishConfiguration{this->sync.CurrentGeneration(),
                                           this->sync.FileSet()});
}

void AgentCore::State::OnConfigurationChanged(TimePoint now) {
  this->configuration =
      BuildConfiguration(*this->sync.FileSet(), this->sync.CurrentGeneration());
  this->configuration.routes = {};
  this->configuration.accounts = {};
  std::vector<std::string> lists = {kEntryService};
  for (const auto& [name, service] : this->configuration.services) {
    if (!service.discovery.empty()) {
      lists.push_back(service.discovery);
    }
  }
  this->discovery.SetNames(lists, now);
  this->planner.SetPlans(this->configuration.stop_plans);
  this->configuration_published = false;
  this->fleet_changed = true;
  this->tasks_stale = true;
  this->next_tasks = now;
  this->news = true;
  // Whoever told of it learns that it is here too.
  for (const PeerAddress& peer : this->sync.Sources()) {
    this->SendMessage(peer, this->MakeMessage(peer, now));
  }
}

std::vector<BackendServer> AgentCore::State::ServersOf(
    const Service& service) const {
  if (service.discovery.empty()) {
    return service.backend_servers;
  }
  std::vector<BackendServer> servers;
  if (const auto* list = this->discovery.Find(service.discovery)) {
    for (const ListedServer& server : list->servers) {
      const std::uint32_t slots = server.listed.slots != 0
                                      ? server.listed.slots
                                      : service.policy.slots_per_backend_server;
      servers.push_back({BackendId(server.listed.address),
                         server.listed.failure_domain, slots});
    }
  }
  return servers;
}

ServiceCapacity AgentCore::State::CapacityOf(const Service& service,
                                             TimePoint now) const {
  ServiceCapacity capacity;
  capacity.floor_percent = service.policy.floor_percent;
  const auto leaving_now = this->leaving.Leaving(service.name);
  for (const BackendServer& server : this->ServersOf(service)) {
    const bool usable = leaving_now.count(server.id) == 0 &&
                        !IsDrained(this->configuration, service.name, server);
    capacity.servers[server.id] = {server.slots, usable};
  }
  if (const auto* list = this->discovery.Find(service.discovery)) {
    for (const ListedServer& server : list->servers) {
      if (server.listed.leaving || now < server.cold_until) {
        capacity.servers[BackendId(server.listed.address)].usable = false;
      }
    }
  }
  return capacity;
}

std::vector<InstanceId> AgentCore::State::LiveInstances() const {
  std::vector<InstanceId> instances;
  if (!this->stop) {
    instances.push_back(this->identity.instance);
  }
  for (const auto& [id, member] : this->membership.Others()) {
    if (member.info.state == MemberState::Alive) {
      instances.push_back(id);
    }
  }
  return instances;
}

std::optional<PeerAddress> AgentCore::State::AddressOf(
    const InstanceId& instance) const {
  const auto member = this->membership.Others().find(instance);
  if (member == this->membership.Others().end()) {
    return std::nullopt;
  }
  return PeerAddress(member->second.info.peer_address);
}

// Works out anew which services there are, what they can spare, and who
// decides on them.
void AgentCore::State::RefreshTasks(TimePoint now) {
  const bool stale =
      this->tasks_stale || this->tasks_membership != this->membership.Version();
  if (!stale || now < this->next_tasks) {
    return;
  }
  this->next_tasks = now + kTasksGap;
  this->tasks_stale = false;
  this->tasks_membership = this->membership.Version();
  const auto instances = this->LiveInstances();
  std::map<ServiceName, EjectionTask> tasks;
  this->proposers.clear();
  for (const auto& [name, service] : this->configuration.services) {
    const auto best = BestInstances(name.Value(), instances, kPollers);
    EjectionTask& task = tasks[name];
    task.capacity = this->CapacityOf(service, now);
    task.role = RoleOf(this->identity.instance, best);
    const auto count = std::min(kProposers, best.size());
    this->proposers[name].assign(
        best.begin(), best.begin() + static_cast<std::ptrdiff_t>(count));
  }
  this->ejection.SetTasks(std::move(tasks), now);
}

void AgentCore::State::SendEvidence(TimePoint now) {
  for (auto& [service, share] : this->evidence.TakeShares(now)) {
    const auto deciders = this->proposers.find(service);
    if (deciders == this->proposers.end()) {
      continue;
    }
    for (const InstanceId& decider : deciders->second) {
      if (decider == this->identity.instance) {
        this->evidence.OnShare(decider, this->identity.failure_domain,
                               share.evidence, now);
      } else if (const auto address = this->AddressOf(decider)) {
        schema::PeerMessageT message = this->MakeMessage(*address, now);
        message.payload.Set(schema::EvidenceShareT(share));
        this->SendMessage(*address, std::move(message));
      }
    }
  }
}

void AgentCore::State::Decide(TimePoint now) {
  if (now < this->next_decisions) {
    return;
  }
  this->next_decisions = now + kDecisionInterval;
  std::set<std::string> domains = {this->identity.failure_domain.Value()};
  for (const auto& [id, member] : this->membership.Others()) {
    if (member.info.state == MemberState::Alive) {
      domains.insert(member.info.failure_domain);
    }
  }
  for (const auto& [service, deciders] : this->proposers) {
    for (const BackendId& ejected : this->ejection.Applied(service, now)) {
      this->evidence.Forget(service, ejected);
    }
    const bool decides = std::find(deciders.begin(), deciders.end(),
                                   this->identity.instance) != deciders.end();
    if (decides) {
      const auto& settings = this->configuration.services.at(service);
      this->ejection.SetSick(
          service,
          this->evidence.Sick(service, this->ServersOf(settings).size(),
                              domains.size(), now));
    }
  }
  this->RunStopPlanner(now);
}

void AgentCore::State::RunStopPlanner(TimePoint now) {
  if (this->configuration.stop_plans.empty()) {
    return;
  }
  PlannedFleet fleet;
  const auto add = [&](const schema::MemberUpdateT& info) {
    fleet[InstanceId(info.instance)] = {FailureDomain(info.failure_domain),
                                        PeerAddress(info.peer_address),
                                        info.started, info.state};
  };
  add(this->membership.Self());
  for (const auto& [id, member] : this->membership.Others()) {
    add(member.info);
  }
  const auto best =
      BestInstances("stop-plans", this->LiveInstances(), kStopPlanners);
  const bool chosen = std::find(best.begin(), best.end(),
                                this->identity.instance) != best.end();
  const bool settled = now - this->started >= kSettlingTime;
  const bool candidate = chosen && settled && this->sync.IsReady();
  for (const StopNoticeTo& notice :
       this->planner.OnTick(fleet, candidate, now, this->out)) {
    schema::StopNoticeT payload;
    payload.plan = notice.plan;
    if (notice.peer == this->identity.peer_address) {
      this->planner.OnNotice(notice.plan, now, this->out);
      continue;
    }
    schema::PeerMessageT message = this->MakeMessage(notice.peer, now);
    message.payload.Set(std::move(payload));
    this->SendMessage(notice.peer, std::move(message));
  }
}

void AgentCore::State::RunSync(TimePoint now) {
  std::vector<PeerAddress> peers;
  if (this->sync.IsFetching()) {
    peers = this->membership.LivePeers();
  }
  auto requests = this->sync.OnTick(peers, this->membership.KnownPeers(), now);
  for (auto& action : requests.actions) {
    this->out.push_back(std::move(action));
  }
  for (const auto& request : requests.peer_requests) {
    schema::ObjectRequestT wanted;
    wanted.hash = request.hash.Value();
    schema::PeerMessageT message = this->MakeMessage(request.peer, now);
    message.payload.Set(std::move(wanted));
    this->SendMessage(request.peer, std::move(message));
  }
}

void AgentCore::State::OnListUpdated(const std::string& name, TimePoint now) {
  const Discovery::List* list = this->discovery.Find(name);
  if (list == nullptr) {
    return;
  }
  if (name == kEntryService) {
    std::vector<PeerAddress> addresses;
    for (const ListedServer& server : list->servers) {
      addresses.emplace_back(server.listed.address);
    }
    this->membership.OnPlatformList(addresses);
    return;
  }
  for (const auto& [service_name, service] : this->configuration.services) {
    if (service.discovery != name) {
      continue;
    }
    for (const ListedServer& server : list->servers) {
      const BackendId id(server.listed.address);
      if (server.listed.leaving) {
        this->leaving.OnSeen(service_name, id, now);
      } else {
        this->leaving.OnListedLive(service_name, id, *list->asked);
      }
    }
  }
  this->tasks_stale = true;
  this->fleet_changed = true;
}

std::unique_ptr<schema::ServiceFleetStateT> AgentCore::State::BuildServiceState(
    const Service& service,
    TimePoint now) const {
  auto state = std::make_unique<schema::ServiceFleetStateT>();
  state->service = service.name.Value();
  state->grant_version = this->ejection.GrantVersion(service.name).Value();
  if (const auto* list = this->discovery.Find(service.discovery)) {
    for (const ListedServer& server : list->servers) {
      auto discovered = std::make_unique<schema::DiscoveredBackendServerT>();
      discovered->address = server.listed.address;
      discovered->failure_domain = server.listed.failure_domain.Value();
      discovered->slots = server.listed.slots;
      discovered->cold = now < server.cold_until;
      state->discovered.push_back(std::move(discovered));
    }
  }
  for (const BackendId& id : this->ejection.Applied(service.name, now)) {
    state->ejected.push_back(id.Value());
  }
  for (const BackendId& id : this->leaving.Leaving(service.name)) {
    state->leaving.push_back(id.Value());
  }
  return state;
}

std::shared_ptr<schema::FleetUpdateT> AgentCore::State::BuildFleetUpdate(
    TimePoint now) const {
  auto update = std::make_shared<schema::FleetUpdateT>();
  update->sequence = this->fleet_sequence;
  update->stop = this->stop;
  update->ejections_valid_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->ejection.ValidFor(now))
          .count());
  update->members.push_back(MakeFleetMember(this->membership.Self()));
  for (const auto& [id, member] : this->membership.Others()) {
    if (member.info.state != MemberState::Dead) {
      update->members.push_back(MakeFleetMember(member.info));
    }
  }
  for (const auto& [name, service] : this->configuration.services) {
    update->services.push_back(this->BuildServiceState(service, now));
  }
  return update;
}

void AgentCore::State::PublishFleetNow(TimePoint now) {
  ++this->fleet_sequence;
  this->fleet_changed = false;
  this->published_membership = this->membership.Version();
  this->next_fleet_publish = now + kFleetPublishGap;
  this->next_fleet_refresh = now + kFleetRefresh;
  this->out.push_back(PublishFleet{this->BuildFleetUpdate(now)});
}

void AgentCore::State::PublishFleetWhenDue(TimePoint now) {
  const bool changed = this->fleet_changed ||
                       this->published_membership != this->membership.Version();
  const bool due = changed ? now >= this->next_fleet_publish
                           : now >= this->next_fleet_refresh;
  if (due) {
    this->PublishFleetNow(now);
  }
}

void AgentCore::State::RequestStop(TimePoint now) {
  if (this->stop) {
    return;
  }
  this->stop = true;
  this->membership.AnnounceLeaving(now);
  this->news = true;
  this->fleet_changed = true;
  this->tasks_stale = true;
  this->next_fleet_publish = now;
  LogEvent("stop_requested").With("instance", this->identity.instance);
}

void AgentCore::State::AfterEvent(TimePoint now) {
  if (this->sync.TakeChanged()) {
    this->OnConfigurationChanged(now);
  }
  if (this->leaving.TakeChanged()) {
    this->news = true;
    this->fleet_changed = true;
    this->tasks_stale = true;
  }
  this->news |= this->ejection.TakeNews();
  this->news |= this->evidence.TakeNewQuestion();
  this->fleet_changed |= this->ejection.TakeChanged();
  if (this->planner.MustStop()) {
    this->RequestStop(now);
  }
  this->RefreshTasks(now);
  this->PushNews(now);
  if (!this->entry_connected) {
    return;
  }
  if (!this->configuration_published) {
    this->PublishConfigurationNow(now);
  }
  this->PublishFleetWhenDue(now);
}

AgentActions AgentCore::State::Finish(TimePoint now) {
  this->AfterEvent(now);
  return std::exchange(this->out, {});
}

}  // namespace acacia
