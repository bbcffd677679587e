#include "src/agent_core.h"

#include <utility>

#include "src/agent_state.h"
#include "src/flat_table.h"

namespace acacia {

AgentCore::AgentCore(AgentIdentity identity,
                     const Clock& wall_clock,
                     std::unique_ptr<RandomSource> random,
                     TimePoint now)
    : state(std::make_unique<State>(std::move(identity),
                                    wall_clock,
                                    std::move(random),
                                    now)) {}

AgentCore::~AgentCore() = default;

AgentActions AgentCore::OnTick(TimePoint now) {
  State& core = *this->state;
  core.SendMembership(core.membership.OnTick(now), now);
  core.RunConfigSync(now);
  core.discovery.OnTick(core.membership.Others().size() + 1, now,
                        core.pending_actions);
  core.leaving.OnTick(now);
  core.evidence.OnTick(now);
  core.SendEvidence(now);
  core.RunDecisions(now);
  core.ejection.OnTick(now, core.pending_actions);
  core.claims.OnTick(now, core.pending_actions);
  return core.Finish(now);
}

AgentActions AgentCore::OnRowRead(OperationId operation,
                                  const RowResult& result,
                                  TimePoint now) {
  State& core = *this->state;
  if (!core.config_sync.OnRowRead(operation, result, now) &&
      !core.ejection.OnRowRead(operation, result, now, core.pending_actions) &&
      !core.claims.OnRowRead(operation, result, core.pending_actions)) {
    core.planner.OnRowRead(operation, result, now, core.pending_actions);
  }
  return core.Finish(now);
}

AgentActions AgentCore::OnRowWritten(OperationId operation,
                                     const WriteResult& result,
                                     TimePoint now) {
  State& core = *this->state;
  if (!core.ejection.OnRowWritten(operation, result, now) &&
      !core.claims.OnRowWritten(operation, result, core.pending_actions)) {
    core.planner.OnRowWritten(operation, result, now);
  }
  return core.Finish(now);
}

AgentActions AgentCore::OnObjectRead(OperationId operation,
                                     const ObjectResult& result,
                                     TimePoint now) {
  this->state->config_sync.OnObjectRead(operation, result, now);
  return this->state->Finish(now);
}

AgentActions AgentCore::OnInstanceList(OperationId operation,
                                       const InstanceListResult& result,
                                       TimePoint now) {
  State& core = *this->state;
  const std::string name =
      core.discovery.OnInstanceList(operation, result, now);
  core.OnListUpdated(name, now);
  core.RequestMissingLists(now);
  return core.Finish(now);
}

// Takes the sender's address from the message, because frames arrive from an
// ephemeral port, not from the port on which the peer listens.
AgentActions AgentCore::OnPeerBytes(const PeerAddress& /*from*/,
                                    const std::string& bytes,
                                    TimePoint now) {
  const auto message = UnpackTable<schema::PeerMessage>(bytes);
  if (!message || message->from.empty() || message->from_address.empty()) {
    ++this->state->malformed_messages;
    return {};
  }
  this->state->OnMessage(*message, now);
  return this->state->Finish(now);
}

AgentActions AgentCore::OnEntryConnected(TimePoint now) {
  State& core = *this->state;
  core.entry_connected = true;
  core.entry_generation = Generation();
  core.configuration_published = false;
  core.fleet_changed = true;
  core.next_fleet_publish = now;
  return core.Finish(now);
}

AgentActions AgentCore::OnEntryReport(const schema::EntryReportT& report,
                                      TimePoint now) {
  State& core = *this->state;
  core.entry_generation = Generation(report.generation);
  core.membership.SetLoad(report.load_permille);
  core.evidence.OnReport(report.evidence, now);
  for (const auto& item : report.evidence) {
    if (item->leaving) {
      core.leaving.OnLeavingObserved(ServiceName(item->service),
                                     BackendId(item->address), now);
    }
  }
  return core.Finish(now);
}

AgentActions AgentCore::OnKeyClaim(const schema::KeyClaimT& claim,
                                   TimePoint now) {
  this->state->claims.OnClaim(claim, now, this->state->pending_actions);
  return this->state->Finish(now);
}

AgentActions AgentCore::OnStopRequested(TimePoint now) {
  this->state->RequestStop(now);
  return this->state->Finish(now);
}

bool AgentCore::IsReady() const {
  return this->state->config_sync.IsReady();
}

Generation AgentCore::CurrentGeneration() const {
  return this->state->config_sync.CurrentGeneration();
}

std::vector<std::string> AgentCore::Status(TimePoint now) const {
  const State& core = *this->state;
  std::vector<std::string> lines = core.config_sync.Status();
  for (const auto& more :
       {core.membership.Status(), core.planner.Status(now)}) {
    lines.insert(lines.end(), more.begin(), more.end());
  }
  if (core.malformed_messages != 0) {
    lines.push_back("dropped " + std::to_string(core.malformed_messages) +
                    " malformed messages");
  }
  return lines;
}

std::vector<std::string> AgentCore::Explain(const ServiceName& service,
                                            TimePoint now) const {
  const State& core = *this->state;
  std::vector<std::string> lines = core.ejection.Explain(service, now);
  const auto evidence = core.evidence.Explain(service, now);
  lines.insert(lines.end(), evidence.begin(), evidence.end());
  for (const BackendId& id : core.leaving.Leaving(service)) {
    lines.push_back(id.Value() + " is leaving");
  }
  return lines;
}

}  // namespace acacia
