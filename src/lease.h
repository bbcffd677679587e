// A lease stored in a row, held by at most one instance at a time. The holder
// measures the lease on its own monotonic clock, from before it sent the write,
// and stops using it a safety margin before it expires. Another instance takes
// the lease over, with the next fencing token, when it has observed on its own
// clock that the row was not renewed for the lease's whole duration.
//
// Actions taken under the lease are written to separate rows that carry the
// fencing token (see stop_planner.h). The next holder rewrites those rows
// first, so that a late write of a holder that was paused fails on the row's
// version.
#ifndef SRC_LEASE_H_
#define SRC_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/agent_actions.h"
#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/random_source.h"

namespace acacia {

class Lease {
 public:
  Lease(std::string row_key,
        std::string holder,
        RandomSource& random,
        OperationIds& operations);

  // Acquires or renews the lease when due. `wanted` says whether this instance
  // should try to hold it.
  void OnTick(bool wanted, TimePoint now, AgentActions& actions);
  // Both return false when the operation was not started by this object.
  bool OnRowRead(OperationId operation,
                 const RowResult& result,
                 TimePoint now,
                 AgentActions& actions);
  bool OnRowWritten(OperationId operation,
                    const WriteResult& result,
                    TimePoint now);

  bool IsHeld(TimePoint now) const;
  // The fencing token of the lease that is held or was held last.
  std::uint64_t FencingToken() const { return this->held_token; }

 private:
  enum class Step { kIdle, kReading, kWriting };

  void Write(std::uint64_t next_token,
             RowVersion expected,
             TimePoint now,
             AgentActions& actions);

  std::string row_key;
  std::string holder;
  RandomSource& random;
  OperationIds& operations;
  Step step = Step::kIdle;
  OperationId operation;
  TimePoint operation_sent;
  TimePoint next_attempt;
  std::uint64_t write_count = 0;
  std::string last_write_id;
  TimePoint last_write_sent;
  std::uint64_t last_write_token = 0;

  std::uint64_t held_token = 0;
  std::optional<TimePoint> held_until;
  RowVersion held_version;

  // The row's version while another instance holds the lease, and when this
  // instance first saw that version.
  RowVersion observed_version;
  TimePoint observed_since;
};

}  // namespace acacia

#endif  // SRC_LEASE_H_
