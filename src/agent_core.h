// The control logic of one instance: configuration, membership, evidence,
// ejection, leaving backend servers and stop plans. It combines the state
// machines of config_sync.h, membership.h, ejection.h and others. It does no
// I/O and has no thread: the agent passes in events with the current time and
// carries out the returned actions.
//
// Not thread-safe; the agent runs it on one strand.
#ifndef SRC_AGENT_CORE_H_
#define SRC_AGENT_CORE_H_

#include <memory>
#include <string>
#include <vector>

#include "src/agent_actions.h"
#include "src/clock.h"
#include "src/generated/entry_link_generated.h"
#include "src/ids.h"
#include "src/platform.h"
#include "src/random_source.h"

namespace acacia {

struct AgentIdentity {
  InstanceId instance;
  Incarnation incarnation;
  FailureDomain failure_domain;
  std::string region;
  PeerAddress peer_address;
  std::string caller_address;
  std::vector<PeerAddress> seeds;
  Duration answer_lifetime{};
};

class AgentCore {
 public:
  AgentCore(AgentIdentity identity,
            const Clock& wall_clock,
            std::unique_ptr<RandomSource> random,
            TimePoint now);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  // Call every AgentSettings.tick_ms.
  AgentActions OnTick(TimePoint now);

  AgentActions OnRowRead(OperationId operation,
                         const RowResult& result,
                         TimePoint now);
  AgentActions OnRowWritten(OperationId operation,
                            const WriteResult& result,
                            TimePoint now);
  AgentActions OnObjectRead(OperationId operation,
                            const ObjectResult& result,
                            TimePoint now);
  AgentActions OnInstanceList(OperationId operation,
                              const InstanceListResult& result,
                              TimePoint now);

  // Handles a datagram or frame from a peer. Malformed messages are counted and
  // dropped.
  AgentActions OnPeerBytes(const PeerAddress& from,
                           const std::string& bytes,
                           TimePoint now);

  // Publishes the whole state to an entry that has just connected.
  AgentActions OnEntryConnected(TimePoint now);
  AgentActions OnEntryReport(const schema::EntryReportT& report, TimePoint now);
  AgentActions OnKeyClaim(const schema::KeyClaimT& claim, TimePoint now);

  // Called on SIGTERM: announces that this instance is leaving, so that lookup
  // answers no longer list it.
  AgentActions OnStopRequested(TimePoint now);

  bool IsReady() const;
  Generation CurrentGeneration() const;
  // Human-readable lines for `acaciactl status` and `acaciactl explain`.
  std::vector<std::string> Status(TimePoint now) const;
  std::vector<std::string> Explain(const ServiceName& service,
                                   TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_AGENT_CORE_H_
