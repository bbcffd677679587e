// Carries out stop plans, a few instances at a time. One lease holder acts for
// all plans, so that two plans never stack: every instance that is leaving or
// down, for whatever reason, counts against each plan's limits.
//
// What a plan has told to stop is in the row "stop/PLAN". A new holder first
// rewrites every plan's row with its own fencing token, and only then marks
// more: a late write of the holder before fails on the row's version or is seen
// and counted. The instance that is marked reads the row itself before it
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

// An instance as the planner sees it.
struct PlannedInstance {
  FailureDomain failure_domain;
  PeerAddress peer_address;
  // Tells this process from others of the same instance.
  std::uint64_t started = 0;
  schema::MemberState state = schema::MemberState::Alive;
};
using PlannedFleet = std::map<InstanceId, PlannedInstance>;

struct StopNoticeTo {
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
  // `candidate`: this instance is one of the few that try for the lease. The
  // fleet includes this instance. Returns whom to notify.
  std::vector<StopNoticeTo> OnTick(const PlannedFleet& fleet,
                                   bool candidate,
                                   TimePoint now,
                                   AgentActions& actions);
  // Both return false when the operation is somebody else's.
  bool OnRowRead(OperationId operation,
                 const RowResult& result,
                 TimePoint now,
                 AgentActions& actions);
  bool OnRowWritten(OperationId operation,
                    const WriteResult& result,
                    TimePoint now);
  // A holder says that this plan's row marks this instance.
  void OnNotice(const std::string& plan, TimePoint now, AgentActions& actions);

  // True once a row that this instance read marks it.
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
    // The row as this holder last wrote it; empty until it is fenced.
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
  void WriteRowOf(PlanState& plan,
                  schema::StopRowT row,
                  TimePoint now,
                  AgentActions& actions);
  void Advance(PlanState& plan, TimePoint now, AgentActions& actions);
  bool IsFinished(const PlanState& plan,
                  const schema::StopMarkT& mark,
                  TimePoint now) const;
  bool MarkNext(const PlanState& plan, schema::StopRowT& row) const;
  bool FitsLimits(const StopPlan& plan, const FailureDomain& domain) const;
  // Instances that are leaving or down or told to stop.
  std::map<InstanceId, FailureDomain> Unavailable() const;
  void Notify(PlanState& plan,
              TimePoint now,
              std::vector<StopNoticeTo>& notices) const;
  void AddTargets(const StopPlan& plan, schema::StopRowT& row) const;

  InstanceId self;
  std::uint64_t started;
  OperationIds& operations;
  Lease lease;
  std::map<std::string, PlanState> plans;
  PlannedFleet fleet;
  std::uint64_t writes = 0;
  std::uint64_t fenced_token = 0;
  TimePoint next_advance;
  // The read that checks a notice.
  std::optional<OperationId> check;
  TimePoint check_sent;
  bool must_stop = false;
};

}  // namespace acacia

#endif  // SRC_STOP_PLANNER_H_
