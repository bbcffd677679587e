// The control decisions of one instance: configuration, membership, evidence
// and ejection, leaving backend servers, stop plans. It joins the state
// machines (config_sync.h, membership.h, ejection.h, ...), does no I/O and
// holds no thread: the agent feeds it events with `now` and carries out the
// returned actions.
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

  // A datagram or frame from a peer; anything malformed is counted and dropped.
  AgentActions OnPeerBytes(const PeerAddress& from,
                           const std::string& bytes,
                           TimePoint now);

  // The entry connected: publish everything that it needs.
  AgentActions OnEntryConnected(TimePoint now);
  AgentActions OnEntryReport(const schema::EntryReportT& report, TimePoint now);
  AgentActions OnKeyClaim(const schema::KeyClaimT& claim, TimePoint now);

  // SIGTERM: leave the fleet's lookup answers.
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
