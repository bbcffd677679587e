#include "src/cells.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "src/rendezvous.h"

namespace acacia {
namespace {

// A member of a group with its rendezvous score, which all entries compute
// alike.
template <typename Id>
struct Ranked {
  double score = 0;
  Id id;
};

template <typename Id>
void SortByRank(std::vector<Ranked<Id>>& group) {
  std::sort(group.begin(), group.end(), [](const auto& a, const auto& b) {
    return std::tie(a.score, a.id) < std::tie(b.score, b.id);
  });
}

}  // namespace

void Cells::Build(const std::vector<EntryLocation>& entry_places,
                  const std::vector<BackendLocation>& backend_places) {
  this->entry_cells.clear();
  this->backend_cells.clear();
  this->entries.clear();
  this->undivided = true;
  std::map<FailureDomain, std::vector<Ranked<InstanceId>>> domains;
  for (const EntryLocation& each : entry_places) {
    const double score = RendezvousScore("entries", {each.instance.Value()});
    domains[each.domain].push_back({score, each.instance});
  }
  // Dividing the ranked members into equal slices keeps the cells the same
  // size.
  std::map<FailureDomain, std::size_t> counts;
  for (auto& [domain, group] : domains) {
    SortByRank(group);
    const std::size_t cells = std::bit_floor(
        std::max<std::size_t>(1, group.size() / kMinEntriesPerCell));
    counts[domain] = cells;
    this->undivided = this->undivided && cells == 1;
    for (std::size_t i = 0; i < group.size(); ++i) {
      const Cell cell{domain, i * cells / group.size()};
      this->entry_cells.emplace(group[i].id, cell);
      this->entries[cell].push_back(group[i].id);
    }
  }
  std::map<std::pair<FailureDomain, ServiceName>,
           std::vector<Ranked<BackendId>>>
      services;
  for (const BackendLocation& each : backend_places) {
    const double score =
        RendezvousScore(each.service.Value(), {each.backend.Value()});
    services[{each.domain, each.service}].push_back({score, each.backend});
  }
  for (auto& [key, group] : services) {
    SortByRank(group);
    const auto found = counts.find(key.first);
    const std::size_t cells = found == counts.end() ? 1 : found->second;
    for (std::size_t i = 0; i < group.size(); ++i) {
      this->backend_cells.emplace(group[i].id,
                                  Cell{key.first, i * cells / group.size()});
    }
  }
}

const std::vector<InstanceId>& Cells::EntriesIn(const Cell& cell) const {
  static const std::vector<InstanceId> none;
  const auto found = this->entries.find(cell);
  return found == this->entries.end() ? none : found->second;
}

const std::vector<InstanceId>& Cells::EntriesInCellOf(
    const InstanceId& entry) const {
  const auto found = this->entry_cells.find(entry);
  return this->EntriesIn(found == this->entry_cells.end() ? Cell()
                                                          : found->second);
}

const std::vector<InstanceId>& Cells::EntriesInCellOfBackend(
    const BackendId& backend) const {
  const auto found = this->backend_cells.find(backend);
  return this->EntriesIn(found == this->backend_cells.end() ? Cell()
                                                            : found->second);
}

bool Cells::IsHome(const InstanceId& entry, const BackendId& backend) const {
  const auto entry_cell = this->entry_cells.find(entry);
  const auto backend_cell = this->backend_cells.find(backend);
  return entry_cell != this->entry_cells.end() &&
         backend_cell != this->backend_cells.end() &&
         entry_cell->second == backend_cell->second;
}

}  // namespace acacia
