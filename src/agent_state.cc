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

constexpr Duration kMinFleetPublishInterval = std::chrono::milliseconds(200);
constexpr Duration kFleetRefreshInterval = std::chrono::seconds(5);
constexpr Duration kMinEjectionTasksRefreshInterval =
    std::chrono::milliseconds(500);
constexpr Duration kDecisionInterval = std::chrono::milliseconds(500);
constexpr std::size_t kProposersPerService = 2;
constexpr std::size_t kProposersAndPollersPerService = 3;
constexpr std::size_t kStopPlannerCount = 2;
// A new instance needs this time to learn of the other instances before it
// plans their stops.
constexpr Duration kStopPlannerStartupDelay = std::chrono::seconds(15);

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

std::vector<InstanceId> HighestRankedInstances(
    const std::string& key,
    const std::vector<InstanceId>& instances,
    std::size_t count) {
  std::vector<InstanceId> highest_ranked;
  for (const std::size_t index : RankIdsByRendezvous(key, instances, count)) {
    highest_ranked.push_back(instances[index]);
  }
  return highest_ranked;
}

EjectionRole RoleOf(const InstanceId& self,
                    const std::vector<InstanceId>& highest_ranked) {
  const auto rank =
      std::find(highest_ranked.begin(), highest_ranked.end(), self) -
      highest_ranked.begin();
  if (rank == 0) {
    return EjectionRole::kFirstProposer;
  }
  if (rank < static_cast<std::ptrdiff_t>(kProposersPerService)) {
    return EjectionRole::kSecondProposer;
  }
  return rank < static_cast<std::ptrdiff_t>(highest_ranked.size())
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
      config_sync(*this->random, this->operations, now),
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
  const bool known =
      this->config_sync.IsReady() && this->config_sync.FileSet() != nullptr;
  if (!known ||
      this->config_sync.CurrentGeneration() < this->entry_generation ||
      !this->config_sync.IsSpread(this->membership.HasLivePeers(), now)) {
    return;
  }
  this->configuration_published = true;
  this->pending_actions.push_back(PublishConfiguration{
      this->config_sync.CurrentGeneration(), this->config_sync.FileSet()});
}

void AgentCore::State::OnConfigurationChanged(TimePoint now) {
  this->configuration = BuildConfiguration(
      *this->config_sync.FileSet(), this->config_sync.CurrentGeneration());
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
  this->ejection_tasks_stale = true;
  this->next_ejection_tasks_refresh = now;
  this->push_pending = true;
  // Tells the peers that announced this generation that it is in force here
  // too.
  for (const PeerAddress& peer : this->config_sync.Sources()) {
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
  if (!this->stop_requested) {
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

// Recomputes, for each service, the capacity that ejections must respect, this
// instance's role and the proposers.
void AgentCore::State::RefreshEjectionTasks(TimePoint now) {
  const bool stale =
      this->ejection_tasks_stale ||
      this->ejection_tasks_membership_version != this->membership.Version();
  if (!stale || now < this->next_ejection_tasks_refresh) {
    return;
  }
  this->next_ejection_tasks_refresh = now + kMinEjectionTasksRefreshInterval;
  this->ejection_tasks_stale = false;
  this->ejection_tasks_membership_version = this->membership.Version();
  const auto instances = this->LiveInstances();
  std::map<ServiceName, EjectionTask> tasks;
  this->proposers.clear();
  for (const auto& [name, service] : this->configuration.services) {
    const auto highest_ranked = HighestRankedInstances(
        name.Value(), instances, kProposersAndPollersPerService);
    EjectionTask& task = tasks[name];
    task.capacity = this->CapacityOf(service, now);
    task.role = RoleOf(this->identity.instance, highest_ranked);
    const auto count = std::min(kProposersPerService, highest_ranked.size());
    this->proposers[name].assign(
        highest_ranked.begin(),
        highest_ranked.begin() + static_cast<std::ptrdiff_t>(count));
  }
  this->ejection.SetTasks(std::move(tasks), now);
}

void AgentCore::State::SendEvidence(TimePoint now) {
  for (auto& [service, share] : this->evidence.TakeShares(now)) {
    const auto service_proposers = this->proposers.find(service);
    if (service_proposers == this->proposers.end()) {
      continue;
    }
    for (const InstanceId& proposer : service_proposers->second) {
      if (proposer == this->identity.instance) {
        this->evidence.OnShare(proposer, this->identity.failure_domain,
                               share.evidence, now);
      } else if (const auto address = this->AddressOf(proposer)) {
        schema::PeerMessageT message = this->MakeMessage(*address, now);
        message.payload.Set(schema::EvidenceShareT(share));
        this->SendMessage(*address, std::move(message));
      }
    }
  }
}

void AgentCore::State::RunDecisions(TimePoint now) {
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
  for (const auto& [service, service_proposers] : this->proposers) {
    for (const BackendId& ejected : this->ejection.Applied(service, now)) {
      this->evidence.Forget(service, ejected);
    }
    const bool is_proposer =
        std::find(service_proposers.begin(), service_proposers.end(),
                  this->identity.instance) != service_proposers.end();
    if (is_proposer) {
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
  PlannerFleet fleet;
  const auto add = [&](const schema::MemberUpdateT& info) {
    fleet[InstanceId(info.instance)] = {FailureDomain(info.failure_domain),
                                        PeerAddress(info.peer_address),
                                        info.started, info.state};
  };
  add(this->membership.Self());
  for (const auto& [id, member] : this->membership.Others()) {
    add(member.info);
  }
  const auto highest_ranked = HighestRankedInstances(
      "stop-plans", this->LiveInstances(), kStopPlannerCount);
  const bool is_stop_planner =
      std::find(highest_ranked.begin(), highest_ranked.end(),
                this->identity.instance) != highest_ranked.end();
  const bool startup_delay_over =
      now - this->started >= kStopPlannerStartupDelay;
  const bool candidate =
      is_stop_planner && startup_delay_over && this->config_sync.IsReady();
  for (const AddressedStopNotice& notice :
       this->planner.OnTick(fleet, candidate, now, this->pending_actions)) {
    schema::StopNoticeT payload;
    payload.plan = notice.plan;
    if (notice.peer == this->identity.peer_address) {
      this->planner.OnNotice(notice.plan, now, this->pending_actions);
      continue;
    }
    schema::PeerMessageT message = this->MakeMessage(notice.peer, now);
    message.payload.Set(std::move(payload));
    this->SendMessage(notice.peer, std::move(message));
  }
}

void AgentCore::State::RunConfigSync(TimePoint now) {
  std::vector<PeerAddress> peers;
  if (this->config_sync.IsFetching()) {
    peers = this->membership.LivePeers();
  }
  auto requests =
      this->config_sync.OnTick(peers, this->membership.KnownPeerCount(), now);
  for (auto& action : requests.actions) {
    this->pending_actions.push_back(std::move(action));
  }
  for (const auto& request : requests.peer_requests) {
    schema::ObjectRequestT object_request;
    object_request.hash = request.hash.Value();
    schema::PeerMessageT message = this->MakeMessage(request.peer, now);
    message.payload.Set(std::move(object_request));
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
        this->leaving.OnLeavingObserved(service_name, id, now);
      } else {
        this->leaving.OnListedLive(service_name, id, *list->asked);
      }
    }
  }
  this->ejection_tasks_stale = true;
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
  update->stop = this->stop_requested;
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
  this->published_membership_version = this->membership.Version();
  this->next_fleet_publish = now + kMinFleetPublishInterval;
  this->next_fleet_refresh = now + kFleetRefreshInterval;
  this->pending_actions.push_back(PublishFleet{this->BuildFleetUpdate(now)});
}

void AgentCore::State::PublishFleetWhenDue(TimePoint now) {
  const bool changed =
      this->fleet_changed ||
      this->published_membership_version != this->membership.Version();
  const bool due = changed ? now >= this->next_fleet_publish
                           : now >= this->next_fleet_refresh;
  if (due) {
    this->PublishFleetNow(now);
  }
}

void AgentCore::State::RequestStop(TimePoint now) {
  if (this->stop_requested) {
    return;
  }
  this->stop_requested = true;
  this->membership.AnnounceLeaving(now);
  this->push_pending = true;
  this->fleet_changed = true;
  this->ejection_tasks_stale = true;
  this->next_fleet_publish = now;
  LogEvent("stop_requested").With("instance", this->identity.instance);
}

void AgentCore::State::AfterEvent(TimePoint now) {
  if (this->config_sync.TakeChanged()) {
    this->OnConfigurationChanged(now);
  }
  if (this->leaving.TakeChanged()) {
    this->push_pending = true;
    this->fleet_changed = true;
    this->ejection_tasks_stale = true;
  }
  this->push_pending |= this->ejection.TakeNewerGrant();
  this->push_pending |= this->evidence.TakeNewQuestion();
  this->fleet_changed |= this->ejection.TakeChanged();
  if (this->planner.MustStop()) {
    this->RequestStop(now);
  }
  this->RefreshEjectionTasks(now);
  this->PushPendingChanges(now);
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
  return std::exchange(this->pending_actions, {});
}

}  // namespace acacia
