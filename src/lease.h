// A lease on a row: at most one instance holds it at a time. The holder counts
// the lease on its own monotonic clock from before the write was sent and stops
// a safety margin before it expires. A lease that another instance does not
// renew for its whole duration, as observed on this instance's clock, is taken
// over with the next fencing token.
//
// Effects carry the fencing token in a row of their own (see stop_planner.h):
// the next holder rewrites those rows first, so that the late write of a holder
// that was paused fails on the row's version.
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

  // `wanted`: this instance should try to hold the lease.
  void OnTick(bool wanted, TimePoint now, AgentActions& actions);
  // Both return false when the operation is somebody else's.
  bool OnRowRead(OperationId operation,
                 const RowResult& result,
                 TimePoint now,
                 AgentActions& actions);
  bool OnRowWritten(OperationId operation,
                    const WriteResult& result,
                    TimePoint now);

  bool IsHeld(TimePoint now) const;
  // Of the lease that is or was last held.
  std::uint64_t FencingToken() const { return this->token; }

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
  TimePoint sent;
  TimePoint next_try;
  std::uint64_t writes = 0;
  std::string last_write_id;
  TimePoint last_write_sent;
  std::uint64_t last_write_token = 0;

  std::uint64_t token = 0;
  std::optional<TimePoint> held_until;
  RowVersion held_version;

  // The version of somebody else's lease and since when it has not changed.
  RowVersion seen_version;
  TimePoint seen_since;
};

}  // namespace acacia

#endif  // SRC_LEASE_H_
