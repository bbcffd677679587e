// Divides the entries and backend servers of each failure domain into cells, so
// that the evidence that an entry sends and receives does not grow with the
// fleet. An entry prefers the backend servers of its own cell, and sends the
// outcomes of its attempts to the entries of the backend server's cell. Every
// entry computes the cells from the members and registrations it knows. While
// these differ between entries, some evidence is missed.
//
// Not thread-safe; no I/O.
#ifndef SRC_CELLS_H_
#define SRC_CELLS_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "src/ids.h"

namespace acacia {

struct EntryLocation {
  InstanceId instance;
  FailureDomain domain;
};

struct BackendLocation {
  BackendId backend;
  ServiceName service;
  FailureDomain domain;
};

class Cells {
 public:
  // An entry that handles a hundredth of the fleet's requests sees few of the
  // outcomes at a backend server; this many entries together see a fault within
  // a few tenths of a second (see docs/CAPACITY.md). The number of cells is a
  // power of two, so that changing it splits or joins whole cells and moves no
  // other entry.
  static constexpr std::size_t kMinEntriesPerCell = 20;

  // Recomputes all cells.
  void Build(const std::vector<EntryLocation>& entries,
             const std::vector<BackendLocation>& backends);

  // The entries of this entry's cell, including itself; empty when it is
  // unknown.
  const std::vector<InstanceId>& EntriesInCellOf(const InstanceId& entry) const;
  // The entries of the backend server's cell; empty when it is unknown.
  const std::vector<InstanceId>& EntriesInCellOfBackend(
      const BackendId& backend) const;
  bool IsHome(const InstanceId& entry, const BackendId& backend) const;
  // True when every failure domain is a single cell.
  bool IsUndivided() const { return this->undivided; }

 private:
  struct Cell {
    FailureDomain domain;
    std::size_t number = 0;

    bool operator==(const Cell&) const = default;
    bool operator<(const Cell& other) const {
      return std::tie(this->domain, this->number) <
             std::tie(other.domain, other.number);
    }
  };

  const std::vector<InstanceId>& EntriesIn(const Cell& cell) const;

  std::map<InstanceId, Cell> entry_cells;
  std::map<BackendId, Cell> backend_cells;
  std::map<Cell, std::vector<InstanceId>> entries;
  bool undivided = true;
};

}  // namespace acacia

#endif  // SRC_CELLS_H_
