#include "src/entry_snapshot.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/account_table.h"

namespace acacia {
namespace {

using schema::MemberState;

EntryMember MakeMember(const schema::FleetMemberT& from) {
  EntryMember member;
  member.instance = InstanceId(from.instance);
  member.caller_address = from.caller_address;
  member.failure_domain = FailureDomain(from.failure_domain);
  member.region = from.region;
  member.alive = from.state != MemberState::Dead;
  member.leaving = from.state == MemberState::Leaving;
  member.load_permille = from.load_permille;
  return member;
}

// Returns the other members as the fleet's state describes them, and this entry
// as it describes itself.
std::vector<EntryMember> JoinMembers(const schema::FleetUpdateT* fleet,
                                     const EntryMember& self) {
  std::vector<EntryMember> members;
  if (fleet != nullptr) {
    for (const auto& from : fleet->members) {
      EntryMember member = MakeMember(*from);
      if (member.instance != self.instance) {
        members.push_back(std::move(member));
      }
    }
  }
  members.push_back(self);
  return members;
}

void AddDiscoveredBackends(const schema::ServiceFleetStateT& state,
                           ServiceView& view) {
  for (const auto& from : state.discovered) {
    const BackendId id(from->id.empty() ? from->address : from->id);
    const std::uint32_t slots =
        from->slots != 0 ? from->slots : view.policy.slots_per_backend_server;
    view.backend_servers.push_back({id, FailureDomain(from->failure_domain),
                                    slots, from->address,
                                    from->expected_instance});
    if (from->cold) {
      view.cold.insert(id);
    }
    if (from->home) {
      view.cell_backends.insert(id);
    }
  }
}

const schema::ServiceFleetStateT* FindServiceState(
    const schema::FleetUpdateT* fleet,
    const ServiceName& service) {
  if (fleet == nullptr) {
    return nullptr;
  }
  const auto found = std::find_if(
      fleet->services.begin(), fleet->services.end(),
      [&](const auto& each) { return each->service == service.Value(); });
  return found == fleet->services.end() ? nullptr : found->get();
}

ServiceView BuildView(const std::shared_ptr<const Configuration>& configuration,
                      const Service& service,
                      const schema::ServiceFleetStateT* state) {
  ServiceView view;
  view.policy = service.policy;
  view.backend_servers = service.backend_servers;
  if (state != nullptr) {
    AddDiscoveredBackends(*state, view);
    for (const std::string& address : state->ejected) {
      view.ejected.emplace(address);
    }
    for (const std::string& address : state->leaving) {
      view.leaving.emplace(address);
    }
  }
  // Shares ownership of the configuration, which holds the limits.
  view.accounts = std::shared_ptr<const AccountLimits>(
      configuration, &configuration->accounts);
  for (const BackendServer& backend : view.backend_servers) {
    if (IsDrained(*configuration, service.name, backend)) {
      view.leaving.insert(backend.id);
    }
  }
  return view;
}

// The number of entries that share a fleet-wide limit.
std::uint32_t FleetSize(const schema::FleetUpdateT* fleet,
                        std::size_t members) {
  const std::size_t reported = fleet == nullptr ? 0 : fleet->fleet_size;
  return static_cast<std::uint32_t>(std::max<std::size_t>(reported, members));
}

// True when accounts, or routes to the service, have different priorities.
bool HasDifferentRanks(const Configuration& configuration,
                       const ServiceName& service) {
  std::set<std::uint32_t> ranks;
  for (const Route& route : configuration.routes) {
    const bool is_split = std::any_of(
        route.split.begin(), route.split.end(),
        [&service](const auto& each) { return each.service == service; });
    if (is_split || (route.split.empty() && route.service == service)) {
      ranks.insert(route.priority);
    }
  }
  if (!ranks.empty() && configuration.keyed_accounts) {
    for (const ClientAccount& account :
         configuration.keyed_accounts->Accounts()) {
      if (account.priority) {
        ranks.insert(*account.priority);
      }
    }
  }
  return ranks.size() > 1;
}

std::uint32_t CountSlots(const ServiceView& view) {
  std::uint32_t slots = 0;
  for (const BackendServer& backend : view.backend_servers) {
    slots += backend.slots;
  }
  return slots;
}

}  // namespace

EntrySnapshot BuildSnapshot(std::shared_ptr<const Configuration> configuration,
                            const schema::FleetUpdateT* fleet,
                            const EntryMember& self) {
  EntrySnapshot snapshot;
  snapshot.members = JoinMembers(fleet, self);
  snapshot.fleet_sequence = fleet == nullptr ? 0 : fleet->sequence;
  if (!configuration) {
    return snapshot;
  }
  snapshot.router = std::make_shared<const Router>(*configuration);
  for (const auto& [name, service] : configuration->services) {
    ServiceView view =
        BuildView(configuration, service, FindServiceState(fleet, name));
    std::vector<EntryMember> subset =
        ChooseSubset(name, CountSlots(view), snapshot.members);
    const std::uint32_t fleet_size = FleetSize(fleet, snapshot.members.size());
    view.cell_size = fleet != nullptr && fleet->cell_size > 0 ? fleet->cell_size
                                                              : fleet_size;
    view.is_ordered =
        view.policy.order_by_rank && HasDifferentRanks(*configuration, name);
    if (view.policy.retry_window) {
      view.policy.retry_window->extra /= fleet_size;
    }
    for (const EntryMember& member : subset) {
      view.entries.push_back(member.instance);
    }
    snapshot.subsets.emplace(name, std::move(subset));
    snapshot.views.emplace(name, std::move(view));
  }
  snapshot.configuration = std::move(configuration);
  return snapshot;
}

bool DropLapsedEjections(schema::FleetUpdateT& fleet, Duration age) {
  bool dropped = false;
  if (age <= std::chrono::milliseconds(fleet.ejections_valid_ms)) {
    return dropped;
  }
  for (const auto& service : fleet.services) {
    dropped |= !service->ejected.empty();
    service->ejected.clear();
  }
  return dropped;
}

}  // namespace acacia
