// The implementation of AgentCore: the state machines that it owns and the
// functions that pass results between them. agent_core.cc holds the public
// methods, agent_messages.cc the exchange of messages with peers.
#ifndef SRC_AGENT_STATE_H_
#define SRC_AGENT_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/agent_core.h"
#include "src/config_sync.h"
#include "src/configuration.h"
#include "src/discovery.h"
#include "src/ejection.h"
#include "src/evidence_pool.h"
#include "src/key_claims.h"
#include "src/leaving.h"
#include "src/membership.h"
#include "src/stop_planner.h"

namespace acacia {

struct AgentCore::State {
  State(AgentIdentity identity,
        const Clock& wall_clock,
        std::unique_ptr<RandomSource> random,
        TimePoint now);

  AgentIdentity identity;
  std::unique_ptr<RandomSource> random;
  OperationIds operations;
  ConfigSync config_sync;
  Membership membership;
  Discovery discovery;
  LeavingTracker leaving;
  EvidencePool evidence;
  Ejection ejection;
  StopPlanner planner;
  KeyClaims claims;

  // Actions collected while an event is handled; Finish() returns them.
  AgentActions pending_actions;
  TimePoint started;
  bool stop_requested = false;

  // The configuration in force without routes and accounts.
  Configuration configuration;
  // The instances that propose ejections for each service, the first proposer
  // at the front.
  std::map<ServiceName, std::vector<InstanceId>> proposers;
  bool ejection_tasks_stale = true;
  std::uint64_t ejection_tasks_membership_version = 0;
  TimePoint next_ejection_tasks_refresh;
  TimePoint next_decisions;

  bool entry_connected = false;
  Generation entry_generation;
  bool configuration_published = false;
  std::uint64_t fleet_sequence = 0;
  std::uint64_t published_membership_version = 0;
  bool fleet_changed = true;
  TimePoint next_fleet_publish;
  TimePoint next_fleet_refresh;

  // True when a change waits to be pushed to random peers.
  bool push_pending = false;
  TimePoint next_push;
  std::uint64_t malformed_messages = 0;

  // Messages to and from peers (agent_messages.cc).
  schema::PeerMessageT MakeMessage(const PeerAddress& to, TimePoint now);
  void SendMessage(const PeerAddress& to, schema::PeerMessageT message);
  void SendMembership(const MembershipMessages& messages, TimePoint now);
  void SendMessageAsFrame(const PeerAddress& to,
                          const schema::PeerMessageT& message);
  void PushPendingChanges(TimePoint now);
  void OnMessage(const schema::PeerMessageT& message, TimePoint now);
  void OnPayload(const schema::PeerMessageT& message, TimePoint now);
  void AnswerObjectRequest(const PeerAddress& from,
                           const ObjectHash& hash,
                           TimePoint now);
  void AnswerMemberSync(const PeerAddress& from, TimePoint now);
  void RequestMissingLists(TimePoint now);
  void AnswerListRequest(const PeerAddress& from,
                         const std::string& name,
                         TimePoint now);

  // Updates for the entry (agent_state.cc).
  void PublishConfigurationNow(TimePoint now);
  void PublishFleetNow(TimePoint now);
  void PublishFleetWhenDue(TimePoint now);
  std::shared_ptr<schema::FleetUpdateT> BuildFleetUpdate(TimePoint now) const;
  std::unique_ptr<schema::ServiceFleetStateT> BuildServiceState(
      const Service& service,
      TimePoint now) const;

  // Coordination of the state machines (agent_state.cc).
  void RunConfigSync(TimePoint now);
  void RunDecisions(TimePoint now);
  void RunStopPlanner(TimePoint now);
  void SendEvidence(TimePoint now);
  void RefreshEjectionTasks(TimePoint now);
  std::vector<BackendServer> ServersOf(const Service& service) const;
  ServiceCapacity CapacityOf(const Service& service, TimePoint now) const;
  std::vector<InstanceId> LiveInstances() const;
  std::optional<PeerAddress> AddressOf(const InstanceId& instance) const;
  void OnConfigurationChanged(TimePoint now);
  void OnListUpdated(const std::string& name, TimePoint now);
  void RequestStop(TimePoint now);
  // Publishes to the entry and pushes to peers whatever the event changed.
  void AfterEvent(TimePoint now);
  // Ends the handling of an event: calls AfterEvent() and returns the collected
  // actions.
  AgentActions Finish(TimePoint now);
};

}  // namespace acacia

#endif  // SRC_AGENT_STATE_H_
