// The state of a Dispatcher, shared by the files that implement it:
// dispatcher.cc (events and attempts), dispatcher_queueing.cc,
// dispatcher_retries.cc and dispatcher_hedging.cc.
#ifndef SRC_DISPATCHER_STATE_H_
#define SRC_DISPATCHER_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "src/account_limiter.h"
#include "src/admission_queue.h"
#include "src/backend_chooser.h"
#include "src/backend_pool.h"
#include "src/dispatcher.h"
#include "src/hedge_policy.h"
#include "src/held_requests.h"
#include "src/request_quarantine.h"
#include "src/request_state.h"
#include "src/retry_budget.h"
#include "src/start_share.h"
#include "src/waiting_reports.h"
#include "src/windowed_retry_budget.h"

namespace acacia {

// Limits the attempts of one request.
inline constexpr std::uint32_t kMaxAttempts = 32;
// While requests are queued, free slots are looked for at least this often.
inline constexpr Duration kQueuePollInterval = std::chrono::milliseconds(20);

struct Dispatcher::State {
  State(const ServiceName& service,
        const InstanceId& self,
        std::unique_ptr<RandomSource> source,
        const ChooserFactory& make_chooser,
        RequestQuarantine* quarantine,
        HedgeHook on_hedge)
      : service(service),
        quarantine(quarantine),
        hedging(std::move(on_hedge)),
        random(std::move(source)),
        chooser(
            make_chooser
                ? make_chooser(service, self, *this->random)
                : std::make_unique<BackendPool>(service, self, *this->random)) {
  }

  RequestState* Find(RequestId request);
  bool Admit(const Work& work, TimePoint now);
  void Enqueue(RequestState& request, TimePoint now);
  void EnqueueOrRefuse(RequestState& request, TimePoint now);
  bool TryStart(RequestState& request, TimePoint now);
  void StartOn(RequestState& request, PooledBackend& backend, TimePoint now);
  void StartQueued(TimePoint now);
  void StartQueuedClass(WorkClass work_class, TimePoint now);
  void RefuseQueuedWithoutChoice(TimePoint now);
  void EndAttempt(RequestState& request, AttemptId attempt);
  void CancelAll(RequestState& request);
  bool MayRetry(const RequestState& request,
                AttemptResult result,
                bool replayable,
                TimePoint now);
  bool MayRetryAfterRefusal(TimePoint now);
  bool CanSendAgain(const RequestState& request,
                    bool replayable,
                    TimePoint now) const;
  bool HasAttemptsLeft(const RequestState& request) const;
  // True if the request may be sent to a backend server that has not had it.
  bool HasOtherBackend(const RequestState& request, TimePoint now) const;
  bool HasRepeat(const RequestState& request, TimePoint now) const;
  bool MayHold(const RequestState& request,
               AttemptResult result,
               bool replayable,
               TimePoint now);
  void Hold(RequestState& request,
            AttemptResult result,
            bool needs_budget,
            TimePoint now);
  // Until when the request waits for a backend server with a recent good
  // answer.
  TimePoint ProvenUntil(const RequestState& request, TimePoint now) const;
  void StartHeld(TimePoint now);
  bool TryStartHeld(const HeldRequest& held, TimePoint now);
  void TrimHeld(TimePoint now);
  // True when a request of this rank leaves the room to higher ranks, which
  // wait at other entries.
  bool Yields(std::uint32_t rank, TimePoint now);
  // Whether this entry may start a waiting request of this rank by its share of
  // the room.
  bool HasStartShare(std::uint32_t rank, TimePoint now);
  bool SpendRetry(TimePoint now);
  bool CanRetry(const RequestState& request, TimePoint now);
  void Retry(RequestState& request, TimePoint now);
  // Called when the last attempt of a request that is not answered has ended.
  void RetryOrRefuse(RequestState& request,
                     const AttemptReport& report,
                     TimePoint now);
  void AddWaitingLoad(std::uint32_t rank,
                      ServiceLoad& load,
                      TimePoint now) const;
  // Refuses waiting requests that will not start in time.
  void RefuseEarly(TimePoint now);
  void Refuse(RequestId request, ErrorKind not_run_kind, TimePoint now);
  // How long requests like this one are refused because they crash backend
  // servers; nullopt if they are not.
  std::optional<Duration> QuarantineLeft(const Work& work, TimePoint now) const;
  void ReportToQuarantine(const RequestState& request,
                          const RunningAttempt& attempt,
                          AttemptResult result,
                          TimePoint now);
  void Finish(RequestId request);
  void RecordOutcome(const RequestState& request,
                     const RunningAttempt& attempt,
                     AttemptResult result,
                     TimePoint now);
  void ExpireRunning(TimePoint now);
  void CheckOverdue(TimePoint now);
  void ClearOverdueTimer(const RequestState& request, RunningAttempt& attempt);
  void Hedge(RequestState& request, TimePoint now);
  bool CanHedge(const RequestState& request, TimePoint now) const;
  PooledBackend* PickForHedge(const RequestState& request, TimePoint now);
  void SendDueHedges(TimePoint now);
  void ReportHedgeOutcome(const RequestState& request,
                          const RunningAttempt& answered,
                          TimePoint now);
  void UpdateNextTimer(TimePoint now);
  DispatchActions TakeActions(TimePoint now);

  const ServiceName service;
  // Null if no requests are quarantined.
  RequestQuarantine* quarantine;
  // Replaces the hedges of overdue attempts if the policy has a limit for them.
  HedgePolicy hedging;
  std::unique_ptr<RandomSource> random;
  std::unique_ptr<BackendChooser> chooser;
  AdmissionQueue queue;
  // Used where the policy has a retry window.
  HeldRequests held;
  // The requests of the service have different ranks.
  bool is_ordered = false;
  WaitingReports waiting_reports;
  StartShare start_share;
  TimePoint next_early_refusal{};
  // Requests refused early since the last log line.
  std::uint64_t refused_early = 0;
  TimePoint next_overload_log{};
  std::uint32_t max_waiting = 0;
  RetryBudget budget;
  // Replaces `budget` if the policy has a retry window.
  std::optional<WindowedRetryBudget> windowed_budget;
  AccountLimiter account_limiter;
  std::shared_ptr<const AccountLimits> accounts;
  std::unordered_map<RequestId, RequestState> requests;
  // Requests with running attempts and no relayed answer, by deadline.
  std::set<std::pair<TimePoint, RequestId>> by_deadline;
  std::set<std::tuple<TimePoint, RequestId, AttemptId>> by_overdue;
  std::optional<TimePoint> next_timer;
  DispatchActions actions;
};

}  // namespace acacia

#endif  // SRC_DISPATCHER_STATE_H_
