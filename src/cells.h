// Divides the entries and backend servers of each failure domain into cells, so
// that what an entry says and hears does not grow with the fleet. An entry uses
// the backend servers of its own cell first, and tells the entries of a backend
// server's cell how its attempts there went. All entries compute the same cells
// from the members and registrations that they know; where they differ for a
// moment, some evidence is missed.
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

struct EntryPlace {
  InstanceId instance;
  FailureDomain domain;
};

struct BackendPlace {
  BackendId backend;
  ServiceName service;
  FailureDomain domain;
};

class Cells {
 public:
  // An entry of a hundredth of the fleet's requests sees few of the outcomes at
  // a backend server; so many together see a fault within a few tenths of a
  // second (see docs/CAPACITY.md). The number of cells is a power of two, so
  // that a change of it splits or joins cells and moves nobody else.
  static constexpr std::size_t kLeastEntries = 20;

  // Divides anew.
  void Build(const std::vector<EntryPlace>& entries,
             const std::vector<BackendPlace>& backends);

  // The entries of this entry's cell, itself included; none when it is unknown.
  const std::vector<InstanceId>& EntriesWith(const InstanceId& entry) const;
  // The entries of the backend server's cell; none when it is unknown.
  const std::vector<InstanceId>& EntriesFor(const BackendId& backend) const;
  bool IsHome(const InstanceId& entry, const BackendId& backend) const;
  // No failure domain is divided.
  bool IsWhole() const { return this->whole; }

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
  bool whole = true;
};

}  // namespace acacia

#endif  // SRC_CELLS_H_
