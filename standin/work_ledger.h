// Records what a backend server ran. What callers were told is checked against
// it.
#ifndef STANDIN_WORK_LEDGER_H_
#define STANDIN_WORK_LEDGER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

namespace acacia {

struct WorkRecord {
  std::uint32_t runs = 0;
  // Of the request body of the last run.
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;
};

using WorkRecords = std::unordered_map<std::string, WorkRecord>;

struct LedgerTotals {
  std::uint64_t runs = 0;
  std::uint64_t shed = 0;
  // Refused because the deadline had passed before the work started.
  std::uint64_t expired = 0;
  // The connection closed before the work started: not run.
  std::uint64_t cancelled_before_start = 0;
  // The connection closed while the work ran.
  std::uint64_t cancelled_running = 0;
  std::uint64_t refused_leaving = 0;
  // New work that arrived after the backend server started leaving, and the
  // time from that start to the last such arrival.
  std::uint64_t arrived_leaving = 0;
  std::uint64_t last_arrival_leaving_ms = 0;
  std::uint64_t max_connections = 0;
  std::uint64_t max_running = 0;
};

// Not thread-safe.
class WorkLedger {
 public:
  // Work without an id is only counted.
  void AddRun(const std::string& work_id,
              std::uint64_t body_bytes,
              std::uint64_t body_hash);

  // {"totals": {...}, "works": {"ID": [runs, body_bytes, "body_hash"], ...}}
  std::string Json(bool with_works) const;

  LedgerTotals totals;

 private:
  WorkRecords works;
};

// Adds the works in a ledger's JSON to `records`, summing the runs of each.
// Returns false when the JSON is not a ledger with works.
bool AddLedgerJson(const std::string& text, WorkRecords& records);

}  // namespace acacia

#endif  // STANDIN_WORK_LEDGER_H_
