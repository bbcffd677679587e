// Executes stop plans, a few instances at a time. One lease holder acts for all
// plans, so that the limits of two plans never add up: every instance that is
// leaving or down, for whatever reason, counts against the limits of each plan.
//
// The row "stop/PLAN" records which instances a plan has marked to stop. A new
// lease holder first rewrites the row of every plan with its own fencing token
// and marks further instances only after that. A late write of the previous
// holder then either fails because the row's version has changed, or came first
// and is read and counted. A marked instance reads the row itself before it
// stops.
#ifndef SRC_STOP_PLANNER_H_
#define SRC_STOP_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/agent_actions.h"
#include "src/clock.h"
#include "src/configuration.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/lease.h"
#include "src/random_source.h"

namespace acacia {

// The properties of an instance that the planner uses.
struct PlannerInstance {
  FailureDomain failure_domain;
  PeerAddress peer_address;
  // Distinguishes this process from earlier and later ones of the same
  // instance.
  std::uint64_t started = 0;
  schema::MemberState state = schema::MemberState::Alive;
};
using PlannerFleet = std::map<InstanceId, PlannerInstance>;

// A stop notice for the plan `plan` and the peer to send it to.
struct AddressedStopNotice {
  PeerAddress peer;
  std::string plan;
};

class StopPlanner {
 public:
  StopPlanner(InstanceId self,
              std::uint64_t started,
              RandomSource& random,
              OperationIds& operations);

  void SetPlans(std::vector<StopPlan> plans);
  // `fleet` includes this instance; `candidate`: it is one of the few that try
  // to acquire the lease. Returns the notices to send.
  std::vector<AddressedStopNotice> OnTick(const PlannerFleet& fleet,
                                          bool candidate,
                                          TimePoint now,
                                          AgentActions& actions);
  // Handle the results of row operations. Return false if the operation is not
  // one of the planner's.
  bool OnRowRead(OperationId operation,
                 const RowResult& result,
                 TimePoint now,
                 AgentActions& actions);
  bool OnRowWritten(OperationId operation,
                    const WriteResult& result,
                    TimePoint now);
  // Handles a lease holder's notice that the plan's row marks this instance:
  // reads the row to verify it.
  void OnNotice(const std::string& plan, TimePoint now, AgentActions& actions);

  // True once this instance has read a row that marks it.
  bool MustStop() const { return this->must_stop; }
  std::vector<std::string> Status(TimePoint now) const;

 private:
  enum class Step { kIdle, kReading, kWriting };
  struct PlanState {
    StopPlan plan;
    std::string hash;
    Step step = Step::kIdle;
    OperationId operation;
    TimePoint sent;
    // The row as this holder last wrote it; empty until the row carries its
    // fencing token, and while a write is pending.
    std::optional<schema::StopRowT> row;
    RowVersion version;
    schema::StopRowT proposed;
    std::map<std::string, TimePoint> marked_at;
    TimePoint next_notice;
  };

  bool AllFenced() const;
  void Load(PlanState& plan, TimePoint now, AgentActions& actions);
  void Fence(PlanState& plan,
             const Row& row,
             TimePoint now,
             AgentActions& actions);
  void WritePlanRow(PlanState& plan,
                    schema::StopRowT row,
                    TimePoint now,
                    AgentActions& actions);
  void Advance(PlanState& plan, TimePoint now, AgentActions& actions);
  bool IsFinished(const PlanState& plan,
                  const schema::StopMarkT& mark,
                  TimePoint now) const;
  bool MarkNext(const PlanState& plan, schema::StopRowT& row) const;
  bool FitsLimits(const StopPlan& plan, const FailureDomain& domain) const;
  // Instances that are not alive or are marked to stop.
  std::map<InstanceId, FailureDomain> Unavailable() const;
  void Notify(PlanState& plan,
              TimePoint now,
              std::vector<AddressedStopNotice>& notices) const;
  void AddTargets(const StopPlan& plan, schema::StopRowT& row) const;

  InstanceId self;
  std::uint64_t started;
  OperationIds& operations;
  Lease lease;
  std::map<std::string, PlanState> plans;
  PlannerFleet fleet;
  std::uint64_t writes = 0;
  std::uint64_t fenced_token = 0;
  TimePoint next_advance;
  // The read that verifies a stop notice.
  std::optional<OperationId> notice_read;
  TimePoint notice_read_sent;
  bool must_stop = false;
};

}  // namespace acacia

#endif  // SRC_STOP_PLANNER_H_
