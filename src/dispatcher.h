// Request scheduling for one service at one entry: admission, queueing, choice
// of a backend server for each attempt, retries, hedging, and avoidance of
// unhealthy backend servers. The dispatcher does no I/O: its owner passes in
// events with the current time, performs the returned actions, and calls
// OnTimer when NextTimer is due. Returned actions may be for other requests
// than the event was, e.g. a freed slot starts a queued request.
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
#include "src/hedge_event.h"
#include "src/ids.h"
#include "src/random_source.h"
#include "src/reported_load.h"

namespace acacia {

// The properties of a caller's request that the dispatcher uses.
struct Work {
  RequestId request;
  WorkClass work_class = WorkClass::kShort;
  AccountId account;
  // 0 is the highest. A request of a higher rank is not served worse than one
  // of a lower rank.
  std::uint32_t rank = 0;
  bool idempotent = false;
  // The request has no body or its whole body is buffered, so a second attempt
  // can run concurrently with the first.
  bool hedgeable = false;
  TimePoint deadline;
  // Maximum number of attempts that reach a backend server; 0 means no limit.
  std::uint32_t max_attempts = 0;
  // Requests with the same key have similar latencies.
  std::string latency_key{};
  // An answer has its full value up to this latency; zero if not stated.
  Duration target_latency{};
  std::uint64_t body_bytes = 0;
  RequestFingerprint fingerprint{};
};

// How an attempt ended. "Unknown" below means that the backend server may or
// may not have run the request. Only with kSuccess did the caller get the
// backend server's answer, or may still get it.
enum class AttemptResult {
  // A complete answer arrived.
  kSuccess,
  // A complete answer with a 5xx status that is not a refusal: the request ran.
  kServerError,
  // No byte of the request was sent: it did not run.
  kNotSent,
  // The backend server reported that it did not run the request (load shedding,
  // draining).
  kRefused,
  // The connection was reset or closed before a complete answer: unknown.
  kBroken,
  // No progress within the timeout: unknown.
  kTimedOut,
  // The answer was truncated: unknown.
  kTruncated,
  // The answer belonged to another request: unknown.
  kMismatched,
  // Cancelled by the entry, or the caller left: unknown, and not counted
  // against the backend server.
  kCancelled,
};

struct AttemptReport {
  RequestId request;
  AttemptId attempt;
  AttemptResult result = AttemptResult::kSuccess;
  // The whole request is still available to be sent again.
  bool replayable = false;
  // The backend server reported that it is leaving.
  bool leaving = false;
  // The load that the backend server reported; may be stale or wrong (see
  // reported_load.h).
  std::optional<ReportedLoad> reported_load;
  // The requests per second that the backend server takes from all entries
  // together; nullopt when its answer names no limit.
  std::optional<double> rate_limit{};
};

// What the head of an answer says about its backend server.
struct BackendNotice {
  // It is leaving.
  bool leaving = false;
  // It wants no requests from this entry for this long.
  std::optional<Duration> pause{};
};

struct StartAttempt {
  RequestId request;
  AttemptId attempt;
  BackendId backend;
  // Use a new connection, or one that answered within kMaxProvenAge.
  bool proven_connection = false;
  // Network address of the backend server.
  std::string address{};
  std::string expected_instance{};
  // The chooser's assessment of the backend server, for the log.
  std::string belief{};
};

// Stop the attempt and close its connection. No OnAttemptEnd is expected.
struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
};

// Relay this attempt's answer to the caller. All other attempts of the request
// have been cancelled.
struct RelayAnswer {
  RequestId request;
  AttemptId attempt;
};

// Send the caller an error answer. The request is finished.
struct RefuseRequest {
  RequestId request;
  ErrorKind kind;
  // How long the caller should wait before it retries; nullopt if unknown.
  std::optional<Duration> retry_after{};
};

using DispatchAction =
    std::variant<StartAttempt, CancelAttempt, RelayAnswer, RefuseRequest>;
using DispatchActions = std::vector<DispatchAction>;

using AccountLimits = std::unordered_map<AccountId, AccountLimit>;

// Everything the entry knows about a service. Each view replaces the previous
// one.
struct ServiceView {
  ServicePolicy policy;
  std::vector<BackendServer> backend_servers;
  // Ejected for the whole fleet (see ejection.h).
  std::set<BackendId> ejected;
  std::set<BackendId> leaving;
  std::set<BackendId> cold;
  // Backend servers of this entry's cell (see cells.h). If empty, those of its
  // failure domain count as such.
  std::set<BackendId> cell_backends;
  // Number of entries that share evidence about the same backend servers.
  std::uint32_t cell_size = 1;
  // The instances that serve this service, this one included, in a stable
  // order. Input of the home assignment (see home_assignment.h).
  std::vector<InstanceId> entries;
  // Requests of this service have different ranks: when there is not room for
  // all, the entry holds them and decides which goes next.
  bool is_ordered = false;
  // Limits by account for this service at this entry; null if there are none.
  std::shared_ptr<const AccountLimits> accounts;
};

class BackendChooser;
class RequestQuarantine;

// Creates the policy that chooses backend servers. The random source outlives
// the returned chooser.
using ChooserFactory =
    std::function<std::unique_ptr<BackendChooser>(const ServiceName& service,
                                                  const InstanceId& self,
                                                  RandomSource& random)>;

class Dispatcher {
 public:
  // Uses a BackendPool if no factory is given. The quarantine, if given, is
  // that of all services and outlives the dispatcher.
  Dispatcher(const ServiceName& service,
             const InstanceId& self,
             std::unique_ptr<RandomSource> random,
             const ServiceView& view,
             TimePoint now,
             const ChooserFactory& make_chooser = {},
             RequestQuarantine* quarantine = nullptr,
             HedgeHook on_hedge = {});
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  DispatchActions OnView(const ServiceView& view, TimePoint now);
  // The configuration no longer has the service, and no further view comes.
  // Nothing more is sent; attempts in flight go on.
  DispatchActions OnServiceRemoved(TimePoint now);

  // Submits a request. It ends with RelayAnswer followed by OnAttemptEnd, with
  // RefuseRequest, or with OnCallerLeft.
  DispatchActions OnRequest(const Work& work, TimePoint now);

  // The head of an answer that is not a refusal arrived. Returns RelayAnswer or
  // a retry, or nothing if the attempt has been cancelled or another attempt's
  // answer is being relayed.
  DispatchActions OnAnswerHead(RequestId request,
                               AttemptId attempt,
                               int http_status,
                               bool replayable,
                               TimePoint now);

  // The head of any answer said something about the backend server.
  DispatchActions OnBackendNotice(RequestId request,
                                  AttemptId attempt,
                                  const BackendNotice& notice,
                                  TimePoint now);

  // The attempt ended. After RelayAnswer this ends the request, whatever the
  // result.
  DispatchActions OnAttemptEnd(const AttemptReport& report, TimePoint now);

  DispatchActions OnCallerLeft(RequestId request, TimePoint now);

  std::optional<TimePoint> NextTimer() const;
  DispatchActions OnTimer(TimePoint now);

  // Adds evidence about backend servers that the entry `from` gathered.
  DispatchActions OnFleetEvidence(
      const std::string& from,
      const std::vector<schema::BackendEvidenceT>& evidence,
      TimePoint now);

  // Returns the evidence gathered since the last call.
  std::vector<schema::BackendEvidenceT> TakeEvidence(TimePoint now);

  // Number of admitted, unfinished requests, including queued ones.
  std::uint32_t InFlight() const;

  // One human-readable line per backend server with its state and the reason.
  std::vector<std::string> Explain(TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_DISPATCHER_H_
