// Decides everything about one service's requests at one entry: admission,
// queueing, which backend server gets an attempt, retries and hedges, avoidance
// of sick backend servers. It does no I/O: the owner feeds events with `now`,
// carries out the returned actions, and calls OnTimer when NextTimer is due.
// Actions may concern other requests than the event did (a freed slot starts a
// queued request).
//
// Not thread-safe; the owner holds the service's lock (see docs/DESIGN.md, lock
// order).
#ifndef SRC_DISPATCHER_H_
#define SRC_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/clock.h"
#include "src/configuration.h"
#include "src/error_kind.h"
#include "src/generated/entry_link_generated.h"
#include "src/ids.h"
#include "src/random_source.h"
#include "src/reported_load.h"

namespace acacia {

// One caller request, as far as decisions need it.
struct Work {
  RequestId request;
  WorkClass work_class = WorkClass::kShort;
  AccountId account;
  bool idempotent = false;
  // The request has no body, or all of it is held: a second attempt may run
  // beside the first.
  bool hedgeable = false;
  TimePoint deadline;
  // Backend servers that it may be sent to; 0: no bound.
  std::uint32_t max_attempts = 0;
  // Requests with the same key take similar times.
  std::string latency_key{};
  // An answer is worth most up to this time; zero: not stated.
  Duration target_latency{};
  std::uint64_t body_bytes = 0;
};

// How one attempt ended. Only kSuccess means that the caller got, or may get,
// the backend server's answer.
enum class AttemptResult {
  // The whole answer arrived.
  kSuccess,
  // A whole answer with a 5xx status that is not a refusal: it ran.
  kServerError,
  // No byte of the request reached the wire: it did not run.
  kNotSent,
  // The backend server said that it did not run the request (shed, draining).
  kRefused,
  // Reset or closed before a whole answer: unknown.
  kBroken,
  // No progress within the time allowed: unknown.
  kTimedOut,
  // The answer was cut short: unknown.
  kTruncated,
  // The answer belongs to another request: unknown.
  kMismatched,
  // We cancelled it, or the caller left: unknown, and no evidence against the
  // backend server.
  kCancelled,
};

struct AttemptReport {
  RequestId request;
  AttemptId attempt;
  AttemptResult result = AttemptResult::kSuccess;
  // The whole request can still be sent again.
  bool replayable = false;
  // The backend server said that it is leaving.
  bool leaving = false;
  // The backend server's own report of its load, 0 to 1000; lags and may lie.
  std::optional<ReportedLoad> reported_load;
};

struct StartAttempt {
  RequestId request;
  AttemptId attempt;
  BackendId backend;
  // Use a new connection or one that answered within kRecentlyProven.
  bool proven_connection = false;
  // Of the backend server.
  std::string address{};
  std::string expected_instance{};
  // What was believed of the backend server, for the log.
  std::string belief{};
};

// Stop the attempt and close its connection; no report is expected.
struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
};

// Relay this attempt's answer to the caller. All other attempts have been
// cancelled.
struct RelayAnswer {
  RequestId request;
  AttemptId attempt;
};

// Tell the caller. The request is finished.
struct RefuseRequest {
  RequestId request;
  ErrorKind kind;
  // When it is worth trying again; nothing while that is unknown.
  std::optional<Duration> retry_after{};
};

using DispatchAction =
    std::variant<StartAttempt, CancelAttempt, RelayAnswer, RefuseRequest>;
using DispatchActions = std::vector<DispatchAction>;

using AccountLimits = std::unordered_map<AccountId, AccountLimit>;

// What the entry knows of a service; replaces what it knew before.
struct ServiceView {
  ServicePolicy policy;
  std::vector<BackendServer> backend_servers;
  // Ejected by the fleet (see ejection.h).
  std::set<BackendId> ejected;
  std::set<BackendId> leaving;
  std::set<BackendId> cold;
  // Those of this entry's own cell (see cells.h); none: all of its failure
  // domain.
  std::set<BackendId> homes;
  // Entries that hear of attempts at the same backend servers.
  std::uint32_t cell_size = 1;
  // The instances that serve this service, in a stable order, and this one:
  // home assignment.
  std::vector<InstanceId> entries;
  // Limits by account, each for this entry and service; null: none.
  std::shared_ptr<const AccountLimits> accounts;
};

class BackendChooser;

// Makes the policy that chooses backend servers; the random source outlives it.
using ChooserFactory =
    std::function<std::unique_ptr<BackendChooser>(const ServiceName& service,
                                                  const InstanceId& self,
                                                  RandomSource& random)>;

class Dispatcher {
 public:
  // Without a factory: BackendPool.
  Dispatcher(const ServiceName& service,
             const InstanceId& self,
             std::unique_ptr<RandomSource> random,
             const ServiceView& view,
             TimePoint now,
             const ChooserFactory& make_chooser = {});
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  DispatchActions OnView(const ServiceView& view, TimePoint now);

  // A request arrives. Ends with RelayAnswer followed by OnAttemptEnd, or with
  // RefuseRequest, or with OnCallerLeft.
  DispatchActions OnRequest(const Work& work, TimePoint now);

  // The head of an answer arrived and is no refusal. Returns RelayAnswer, or a
  // retry, or nothing when the attempt is no longer wanted.
  DispatchActions OnAnswerHead(RequestId request,
                               AttemptId attempt,
                               int http_status,
                               bool replayable,
                               TimePoint now);

  // The attempt is over. After RelayAnswer this ends the request, whatever the
  // result.
  DispatchActions OnAttemptEnd(const AttemptReport& report, TimePoint now);

  DispatchActions OnCallerLeft(RequestId request, TimePoint now);

  std::optional<TimePoint> NextTimer() const;
  DispatchActions OnTimer(TimePoint now);

  // Evidence that other entries have gathered.
  DispatchActions OnFleetEvidence(
      const std::string& from,
      const std::vector<schema::BackendEvidenceT>& evidence,
      TimePoint now);

  // Evidence gathered since the last call.
  std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now);

  // Requests admitted and not finished, queued ones included.
  std::uint32_t InFlight() const;

  // One human-readable line per backend server: state and reason.
  std::vector<std::string> Explain(TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_DISPATCHER_H_
