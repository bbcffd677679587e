#include "src/cells.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace acacia {
namespace {

std::vector<EntryLocation> Entries(int count, const std::string& domain) {
  std::vector<EntryLocation> places;
  for (int i = 0; i < count; ++i) {
    places.push_back(
        {InstanceId(domain + "-" + std::to_string(i)), FailureDomain(domain)});
  }
  return places;
}

std::vector<BackendLocation> Backends(int count, const std::string& domain) {
  std::vector<BackendLocation> places;
  for (int i = 0; i < count; ++i) {
    places.push_back({BackendId(domain + "-s" + std::to_string(i)),
                      ServiceName("s"), FailureDomain(domain)});
  }
  return places;
}

TEST_CASE("a small failure domain is one cell") {
  Cells cells;
  const auto entries = Entries(39, "a");
  const auto backends = Backends(30, "a");
  cells.Build(entries, backends);
  CHECK(cells.IsUndivided());
  CHECK(cells.EntriesInCellOf(entries[0].instance).size() == 39);
  CHECK(cells.EntriesInCellOfBackend(backends[0].backend).size() == 39);
  CHECK(cells.IsHome(entries[7].instance, backends[3].backend));
}

TEST_CASE("the number of entries in a cell does not grow with the fleet") {
  for (const int size : {88, 443, 1300}) {
    Cells cells;
    const auto entries = Entries(size, "a");
    cells.Build(entries, Backends(2 * size, "a"));
    CHECK_FALSE(cells.IsUndivided());
    for (const EntryLocation& each : entries) {
      const std::size_t cellmates = cells.EntriesInCellOf(each.instance).size();
      CHECK(cellmates >= Cells::kMinEntriesPerCell);
      CHECK(cellmates <= 2 * Cells::kMinEntriesPerCell + 1);
    }
  }
}

TEST_CASE("each backend server is home to one cell, and the cells are even") {
  Cells cells;
  const auto entries = Entries(88, "a");
  const auto backends = Backends(158, "a");
  cells.Build(entries, backends);
  std::map<InstanceId, int> homes;
  for (const BackendLocation& backend : backends) {
    const auto& sharing = cells.EntriesInCellOfBackend(backend.backend);
    CHECK(sharing.size() == 22);
    for (const InstanceId& entry : sharing) {
      CHECK(cells.IsHome(entry, backend.backend));
      ++homes[entry];
    }
  }
  CHECK(homes.size() == entries.size());
  for (const auto& [entry, count] : homes) {
    CHECK(count >= 158 / 4);
    CHECK(count <= 158 / 4 + 1);
  }
}

TEST_CASE("cells keep to their failure domain") {
  Cells cells;
  auto entries = Entries(50, "a");
  const auto others = Entries(30, "b");
  entries.insert(entries.end(), others.begin(), others.end());
  auto backends = Backends(10, "b");
  // A failure domain without entries.
  const auto alone = Backends(3, "c");
  backends.insert(backends.end(), alone.begin(), alone.end());
  cells.Build(entries, backends);
  CHECK(cells.EntriesInCellOfBackend(backends[0].backend).size() == 30);
  CHECK(cells.EntriesInCellOfBackend(alone[0].backend).empty());
  CHECK_FALSE(cells.IsHome(entries[0].instance, backends[0].backend));
  CHECK(cells.EntriesInCellOf(InstanceId("unknown")).empty());
}

TEST_CASE("one entry that joins moves few others") {
  Cells before;
  Cells after;
  auto entries = Entries(90, "a");
  before.Build(entries, {});
  entries.push_back({InstanceId("a-90"), FailureDomain("a")});
  after.Build(entries, {});
  int kept = 0;
  int pairs = 0;
  for (int i = 0; i < 90; ++i) {
    const auto& old_mates = before.EntriesInCellOf(entries[i].instance);
    const auto& new_mates = after.EntriesInCellOf(entries[i].instance);
    for (const InstanceId& each : old_mates) {
      ++pairs;
      kept += std::count(new_mates.begin(), new_mates.end(), each) > 0 ? 1 : 0;
    }
  }
  CHECK(kept >= pairs * 9 / 10);
}

TEST_CASE("changing the number of cells splits cells and mixes none") {
  Cells two;
  Cells four;
  const auto fewer = Entries(79, "a");
  const auto more = Entries(80, "a");
  two.Build(fewer, {});
  four.Build(more, {});
  int mixed = 0;
  int pairs = 0;
  for (const EntryLocation& each : fewer) {
    const auto& old_mates = two.EntriesInCellOf(each.instance);
    for (const InstanceId& cellmate : four.EntriesInCellOf(each.instance)) {
      ++pairs;
      mixed +=
          std::count(old_mates.begin(), old_mates.end(), cellmate) == 0 ? 1 : 0;
    }
  }
  CHECK(mixed <= pairs / 10);
}

}  // namespace
}  // namespace acacia
