// What AgentCore holds: the state machines and how they feed each other.
// agent_core.cc is its public face, agent_messages.cc talks to peers.
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
  ConfigSync sync;
  Membership membership;
  Discovery discovery;
  LeavingSigns leaving;
  EvidencePool evidence;
  Ejection ejection;
  StopPlanner planner;
  KeyClaims claims;

  AgentActions out;
  TimePoint started;
  bool stop = false;

  // The configuration in force without routes and accounts.
  Configuration configuration;
  // The instances that decide on a service's ejections, the first proposer
  // first.
  std::map<ServiceName, std::vector<InstanceId>> proposers;
  bool tasks_stale = true;
  std::uint64_t tasks_membership = 0;
  TimePoint next_tasks;
  TimePoint next_decisions;

  bool entry_connected = false;
  Generation entry_generation;
  bool configuration_published = false;
  std::uint64_t fleet_sequence = 0;
  std::uint64_t published_membership = 0;
  bool fleet_changed = true;
  TimePoint next_fleet_publish;
  TimePoint next_fleet_refresh;

  bool news = false;
  TimePoint next_push;
  std::uint64_t malformed = 0;

  // Peers (agent_messages.cc).
  schema::PeerMessageT MakeMessage(const PeerAddress& to, TimePoint now);
  void SendMessage(const PeerAddress& to, schema::PeerMessageT message);
  void SendMembership(const MembershipMessages& messages, TimePoint now);
  void SendWhole(const PeerAddress& to, const schema::PeerMessageT& message);
  void PushNews(TimePoint now);
  void OnMessage(const schema::PeerMessageT& message, TimePoint now);
  void OnPayload(const schema::PeerMessageT& message, TimePoint now);
  void AnswerObjectRequest(const PeerAddress& from,
                           const ObjectHash& hash,
                           TimePoint now);
  void AnswerMemberSync(const PeerAddress& from, TimePoint now);
  void AskForMissingLists(TimePoint now);
  void AnswerListRequest(const PeerAddress& from,
                         const std::string& name,
                         TimePoint now);

  // The entry (agent_state.cc).
  void PublishConfigurationNow(TimePoint now);
  void PublishFleetNow(TimePoint now);
  void PublishFleetWhenDue(TimePoint now);
  std::shared_ptr<schema::FleetUpdateT> BuildFleetUpdate(TimePoint now) const;
  std::unique_ptr<schema::ServiceFleetStateT> BuildServiceState(
      const Service& service,
      TimePoint now) const;

  // Joining the state machines (agent_state.cc).
  void RunSync(TimePoint now);
  void Decide(TimePoint now);
  void RunStopPlanner(TimePoint now);
  void SendEvidence(TimePoint now);
  void RefreshTasks(TimePoint now);
  std::vector<BackendServer> ServersOf(const Service& service) const;
  ServiceCapacity CapacityOf(const Service& service, TimePoint now) const;
  std::vector<InstanceId> LiveInstances() const;
  std::optional<PeerAddress> AddressOf(const InstanceId& instance) const;
  void OnConfigurationChanged(TimePoint now);
  void OnListUpdated(const std::string& name, TimePoint now);
  void RequestStop(TimePoint now);
  // Publishes and pushes whatever the event changed.
  void AfterEvent(TimePoint now);
  AgentActions Finish(TimePoint now);
};

}  // namespace acacia

#endif  // SRC_AGENT_STATE_H_
