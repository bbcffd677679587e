#include "src/fleet_state.h"

#include <map>
#include <utility>

namespace acacia {
namespace {

std::unique_ptr<schema::DiscoveredBackendServerT> DescribeBackend(
    const BackendRegistry::TrackedBackend& held,
    TimePoint now) {
  const BackendServer& server = held.backend.server;
  auto described = std::make_unique<schema::DiscoveredBackendServerT>();
  described->id = held.backend.id.Value();
  described->address = server.address;
  described->expected_instance = server.expected_instance;
  described->failure_domain = server.failure_domain.Value();
  described->slots = server.slots;
  described->cold = held.cold_until > now;
  return described;
}

}  // namespace

std::unique_ptr<schema::FleetMemberT> MakeFleetMember(
    const schema::MemberUpdateT& info) {
  auto member = std::make_unique<schema::FleetMemberT>();
  member->instance = info.instance;
  member->caller_address = info.caller_address;
  member->failure_domain = info.failure_domain;
  member->region = info.region;
  member->state = info.state;
  member->load_permille = info.load_permille;
  return member;
}

Cells BuildCells(const BackendRegistry& registry,
                 const MemberDirectory& directory) {
  std::vector<EntryLocation> entries;
  for (const auto& [instance, member] : directory.Members()) {
    entries.push_back({instance, FailureDomain(member.failure_domain)});
  }
  std::vector<BackendLocation> backends;
  for (const auto& [name, held] : registry.Backends()) {
    backends.push_back({held.backend.id, held.backend.service,
                        held.backend.server.failure_domain});
  }
  Cells cells;
  cells.Build(entries, backends);
  return cells;
}

std::unique_ptr<schema::FleetUpdateT> BuildFleetUpdate(
    const BackendRegistry& registry,
    const MemberDirectory& directory,
    const Cells& cells,
    std::uint32_t fleet_size,
    TimePoint now) {
  auto fleet = std::make_unique<schema::FleetUpdateT>();
  fleet->fleet_size = fleet_size;
  if (!cells.IsUndivided()) {
    fleet->cell_size = static_cast<std::uint32_t>(
        cells.EntriesInCellOf(directory.Self()).size());
  }
  for (const auto& [instance, member] : directory.Members()) {
    fleet->members.push_back(MakeFleetMember(member));
  }
  std::map<ServiceName, std::unique_ptr<schema::ServiceFleetStateT>> services;
  for (const auto& [name, held] : registry.Backends()) {
    auto& service = services[held.backend.service];
    if (!service) {
      service = std::make_unique<schema::ServiceFleetStateT>();
      service->service = held.backend.service.Value();
    }
    if (held.backend.leaving) {
      service->leaving.push_back(held.backend.id.Value());
    }
    service->discovered.push_back(DescribeBackend(held, now));
    service->discovered.back()->home =
        cells.IsHome(directory.Self(), held.backend.id);
  }
  for (auto& [name, service] : services) {
    fleet->services.push_back(std::move(service));
  }
  return fleet;
}

}  // namespace acacia
