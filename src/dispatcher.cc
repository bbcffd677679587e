#include "src/dispatcher.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "src/account_limiter.h"
#include "src/admission_queue.h"
#include "src/backend_chooser.h"
#include "src/backend_pool.h"
#include "src/check.h"
#include "src/request_state.h"
#include "src/retry_after.h"
#include "src/retry_budget.h"
#include "src/windowed_retry_budget.h"

namespace acacia {

namespace {

constexpr std::uint32_t kMostAttempts = 32;
// Attempts that may have run, of one idempotent request.
constexpr std::uint32_t kMostUncertainAttempts = 3;
// At its deadline an attempt that ran this long tells against its backend
// server.
constexpr Duration kSilence = std::chrono::seconds(1);
// While requests wait, room is looked for at least this often.
constexpr Duration kQueuePoll = std::chrono::milliseconds(20);

}  // namespace

struct Dispatcher::State {
  State(const ServiceName& service,
        const InstanceId& self,
        std::unique_ptr<RandomSource> source,
        const ChooserFactory& make_chooser)
      : random(std::move(source)),
        pool(
            make_chooser
                ? make_chooser(service, self, *this->random)
                : std::make_unique<BackendPool>(service, self, *this->random)) {
  }

  RequestState* Find(RequestId request);
  bool Admit(const Work& work, TimePoint now);
  void Enqueue(RequestState& request, TimePoint now);
  bool TryStart(RequestState& request, TimePoint now);
  void StartOn(RequestState& request, PooledBackend& backend, TimePoint now);
  void Pump(TimePoint now);
  void PumpClass(WorkClass work_class, TimePoint now);
  void RefuseWaitingWithoutChoice(TimePoint now);
  void EndAttempt(RequestState& request, AttemptId attempt);
  void CancelAll(RequestState& request);
  bool MayRetry(const RequestState& request,
                AttemptResult result,
                bool replayable,
                TimePoint now);
  bool MayRetryRefused(TimePoint now);
  bool HasSendsLeft(const RequestState& request) const;
  bool SpendRetry(TimePoint now);
  bool CanRetry(const RequestState& request, TimePoint now);
  void Retry(RequestState& request, TimePoint now);
  void Refuse(RequestId request, ErrorKind not_run_kind, TimePoint now);
  void Finish(RequestId request);
  void Learn(const RequestState& request,
             const RunningAttempt& attempt,
             AttemptResult result,
             TimePoint now);
  void ExpireRunning(TimePoint now);
  void CheckOverdue(TimePoint now);
  void ForgetOverdue(const RequestState& request, RunningAttempt& attempt);
  void Hedge(RequestState& request, TimePoint now);
  void Arm(TimePoint now);
  DispatchActions TakeActions(TimePoint now);

  std::unique_ptr<RandomSource> random;
  std::unique_ptr<BackendChooser> pool;
  AdmissionQueue queue;
  RetryBudget budget;
  // In force in place of `budget` when the policy says so.
  std::optional<WindowedRetryBudget> windowed_budget;
  AccountLimiter account_limiter;
  std::shared_ptr<const AccountLimits> accounts;
  std::unordered_map<RequestId, RequestState> requests;
  // Requests with attempts, none of them relayed, by deadline.
  std::set<std::pair<TimePoint, RequestId>> by_deadline;
  std::set<std::tuple<TimePoint, RequestId, AttemptId>> by_overdue;
  std::optional<TimePoint> wake;
  DispatchActions actions;
};

RequestState* Dispatcher::State::Find(RequestId request) {
  const auto found = this->requests.find(request);
  return found == this->requests.end() ? nullptr : &found->second;
}

bool Dispatcher::State::Admit(const Work& work, TimePoint now) {
  if (!this->accounts) {
    return true;
  }
  const auto found = this->accounts->find(work.account);
  return found == this->accounts->end() ||
         this->account_limiter.Admit(work.account, found->second, now);
}

void Dispatcher::State::Enqueue(RequestState& request, TimePoint now) {
  const Work& work = request.work;
  const WaitingRequest waiting{work.request, work.account, work.work_class,
                               work.deadline - this->pool->MedianLatency(work)};
  const std::optional<RequestId> shed = this->queue.Push(waiting, now);
  if (shed) {
    this->Refuse(*shed, ErrorKind::kQueueFull, now);
  }
}

bool Dispatcher::State::TryStart(RequestState& request, TimePoint now) {
  PooledBackend* backend = this->pool->Pick(
      {request.work, request.failed, this->CanRetry(request, now)}, now);
  if (backend == nullptr) {
    return false;
  }
  this->StartOn(request, *backend, now);
  return true;
}

void Dispatcher::State::StartOn(RequestState& request,
                                PooledBackend& backend,
                                TimePoint now) {
  const Work& work = request.work;
  request.last_attempt = request.last_attempt.Next();
  RunningAttempt attempt{request.last_attempt,
                         &backend,
                         now,
                         {},
                         false,
                         this->pool->IsFull(backend, now)};
  if (const auto slow = this->pool->SlowAfter(work)) {
    attempt.overdue_at = now + *slow;
    this->by_overdue.emplace(now + *slow, work.request, attempt.id);
  }
  request.running.push_back(attempt);
  std::string belief = this->pool->DescribeBelief(backend, now);
  this->pool->OnStart(backend, work, now);
  this->by_deadline.emplace(work.deadline, work.request);
  this->actions.push_back(
      StartAttempt{work.request, request.last_attempt, backend.server.id,
                   !work.idempotent, backend.server.address,
                   backend.server.expected_instance, std::move(belief)});
}

void Dispatcher::State::Pump(TimePoint now) {
  this->PumpClass(WorkClass::kShort, now);
  this->PumpClass(WorkClass::kLong, now);
}

void Dispatcher::State::PumpClass(WorkClass work_class, TimePoint now) {
  while (const std::optional<RequestId> next =
             this->queue.Front(work_class, now)) {
    RequestState* request = this->Find(*next);
    ACACIA_CHECK(request != nullptr);
    if (!this->TryStart(*request, now)) {
      return;
    }
    this->queue.PopFront(*next);
  }
}

void Dispatcher::State::RefuseWaitingWithoutChoice(TimePoint now) {
  if (this->queue.IsEmpty()) {
    return;
  }
  std::vector<RequestId> hopeless;
  for (const auto& [id, request] : this->requests) {
    if (request.running.empty() && !this->pool->HasChoice(request.failed)) {
      hopeless.push_back(id);
    }
  }
  std::sort(hopeless.begin(), hopeless.end());
  for (const RequestId id : hopeless) {
    this->Refuse(id, ErrorKind::kNoBackend, now);
  }
}

// Frees the attempt's slot and forgets it.
void Dispatcher::State::EndAttempt(RequestState& request, AttemptId attempt) {
  const auto found = std::find_if(
      request.running.begin(), request.running.end(),
      [attempt](const RunningAttempt& each) { return each.id == attempt; });
  PooledBackend* backend = found->backend;
  const bool was_overdue = found->was_overdue;
  this->ForgetOverdue(request, *found);
  request.running.erase(found);
  this->pool->OnRelease(*backend, request.work, was_overdue);
  if (request.running.empty()) {
    this->by_deadline.erase({request.work.deadline, request.work.request});
  }
}

void Dispatcher::State::ForgetOverdue(const RequestState& request,
                                      RunningAttempt& attempt) {
  if (attempt.overdue_at) {
    this->by_overdue.erase(
        {*attempt.overdue_at, request.work.request, attempt.id});
    attempt.overdue_at.reset();
  }
}

void Dispatcher::State::CancelAll(RequestState& request) {
  while (!request.running.empty()) {
    const AttemptId attempt = request.running.back().id;
    this->actions.push_back(CancelAttempt{request.work.request, attempt});
    this->EndAttempt(request, attempt);
  }
}

bool Dispatcher::State::MayRetry(const RequestState& request,
                                 AttemptResult result,
                                 bool replayable,
                                 TimePoint now) {
  const bool not_run = !UncertainKind(result).has_value();
  const Duration needed = this->pool->MedianLatency(request.work);
  if (!replayable || now + needed >= request.work.deadline ||
      request.last_attempt.Value() >= kMostAttempts ||
      !this->HasSendsLeft(request) || !this->pool->HasChoice(request.failed)) {
    return false;
  }
  if (this->windowed_budget && result == AttemptResult::kNotSent) {
    // Nothing arrived anywhere, so nothing is spent.
    return true;
  }
  if (result == AttemptResult::kRefused && !this->windowed_budget) {
    return this->MayRetryRefused(now);
  }
  if (!not_run && (!request.work.idempotent ||
                   request.uncertain_attempts >= kMostUncertainAttempts)) {
    return false;
  }
  return this->SpendRetry(now);
}

bool Dispatcher::State::HasSendsLeft(const RequestState& request) const {
  return request.work.max_attempts == 0 ||
         request.sends + request.running.size() < request.work.max_attempts;
}

// Whether an attempt may be risked where it is likelier to fail.
bool Dispatcher::State::CanRetry(const RequestState& request, TimePoint now) {
  const Work& work = request.work;
  const bool has_sends =
      work.max_attempts == 0 || request.sends + 2 <= work.max_attempts;
  return work.idempotent && has_sends &&
         (!this->windowed_budget || this->windowed_budget->HasSpare(now));
}

bool Dispatcher::State::SpendRetry(TimePoint now) {
  return this->windowed_budget ? this->windowed_budget->Spend(now)
                               : this->budget.Spend();
}

bool Dispatcher::State::MayRetryRefused(TimePoint now) {
  if (this->budget.SpendAfterRefusal()) {
    return true;
  }
  this->pool->PauseSpill(now);
  return this->budget.HasAnswered(now);
}

void Dispatcher::State::Retry(RequestState& request, TimePoint now) {
  if (!this->TryStart(request, now)) {
    this->Enqueue(request, now);
  }
}

// Ends the request. The kind given holds only if no attempt may have run.
void Dispatcher::State::Refuse(RequestId request,
                               ErrorKind not_run_kind,
                               TimePoint now) {
  RequestState* found = this->Find(request);
  ACACIA_CHECK(found != nullptr);
  const ErrorKind kind = found->uncertain.value_or(not_run_kind);
  std::optional<Duration> retry_after;
  if (const auto load = this->pool->Load(found->work, now)) {
    retry_after = RetryAfter(*load, this->random->Fraction());
  }
  this->actions.push_back(RefuseRequest{request, kind, retry_after});
  this->Finish(request);
}

void Dispatcher::State::Finish(RequestId request) {
  const auto found = this->requests.find(request);
  if (found->second.account_limited) {
    this->account_limiter.Release(found->second.work.account);
  }
  this->queue.Remove(request);
  this->requests.erase(found);
}

void Dispatcher::State::Learn(const RequestState& request,
                              const RunningAttempt& attempt,
                              AttemptResult result,
                              TimePoint now) {
  if (result == AttemptResult::kSuccess) {
    this->budget.OnAnswer(now);
  }
  this->pool->OnOutcome(*attempt.backend,
                        {request.work, result, attempt.started,
                         attempt.was_overdue, attempt.began_full},
                        now);
}

void Dispatcher::State::ExpireRunning(TimePoint now) {
  while (!this->by_deadline.empty() &&
         this->by_deadline.begin()->first <= now) {
    const RequestId id = this->by_deadline.begin()->second;
    RequestState& request = *this->Find(id);
    request.MarkUncertain(ErrorKind::kBackendTimeout);
    for (const RunningAttempt& attempt : request.running) {
      const bool had_time = now - attempt.started >= kSilence;
      if (had_time && !attempt.was_overdue) {
        this->Learn(request, attempt, AttemptResult::kTimedOut, now);
      }
    }
    this->CancelAll(request);
    this->Refuse(id, ErrorKind::kBackendTimeout, now);
  }
}

// Attempts that take much longer than usual are evidence before they end, and
// short ones are tried a second time beside the first.
void Dispatcher::State::CheckOverdue(TimePoint now) {
  while (!this->by_overdue.empty() &&
         std::get<TimePoint>(*this->by_overdue.begin()) <= now) {
    const auto [at, request_id, attempt_id] = *this->by_overdue.begin();
    RequestState& request = *this->Find(request_id);
    RunningAttempt& attempt = *request.FindAttempt(attempt_id);
    this->ForgetOverdue(request, attempt);
    attempt.was_overdue = true;
    this->pool->OnOverdue(*attempt.backend,
                          {request.work, attempt.started, attempt.began_full},
                          now);
    this->Hedge(request, now);
  }
}

void Dispatcher::State::Hedge(RequestState& request, TimePoint now) {
  const Work& work = request.work;
  const Duration needed = this->pool->MedianLatency(work);
  if (!work.hedgeable || !work.idempotent ||
      work.work_class != WorkClass::kShort || request.running.size() != 1 ||
      request.last_attempt.Value() >= kMostAttempts ||
      !this->HasSendsLeft(request) || !this->queue.IsEmpty() ||
      now + needed >= work.deadline) {
    return;
  }
  std::vector<BackendId> excluded = request.failed;
  excluded.push_back(request.running.front().backend->server.id);
  // A second attempt that waits behind others helps nobody.
  PooledBackend* backend = this->pool->Pick({work, excluded}, now);
  if (backend != nullptr && !this->pool->IsFull(*backend, now) &&
      this->SpendRetry(now)) {
    this->StartOn(request, *backend, now);
  }
}

void Dispatcher::State::Arm(TimePoint now) {
  this->wake = this->queue.NextExpiry();
  const auto sooner = [this](TimePoint at) {
    this->wake = std::min(this->wake.value_or(at), at);
  };
  if (!this->by_deadline.empty()) {
    sooner(this->by_deadline.begin()->first);
  }
  if (!this->by_overdue.empty()) {
    sooner(std::get<TimePoint>(*this->by_overdue.begin()));
  }
  if (!this->queue.IsEmpty()) {
    sooner(std::min(this->pool->NextOpening(now).value_or(now + kQueuePoll),
                    now + kQueuePoll));
  }
}

DispatchActions Dispatcher::State::TakeActions(TimePoint now) {
  this->Pump(now);
  this->Arm(now);
  return std::exchange(this->actions, {});
}

Dispatcher::Dispatcher(const ServiceName& service,
                       const InstanceId& self,
                       std::unique_ptr<RandomSource> random,
                       const ServiceView& view,
                       TimePoint now,
                       const ChooserFactory& make_chooser)
    : state(std::make_unique<State>(service,
                                    self,
                                    std::move(random),
                                    make_chooser)) {
  this->OnView(view, now);
}

Dispatcher::~Dispatcher() = default;

DispatchActions Dispatcher::OnView(const ServiceView& view, TimePoint now) {
  this->state->pool->Apply(view, now);
  if (view.policy.retry_window) {
    if (!this->state->windowed_budget) {
      this->state->windowed_budget.emplace();
    }
    this->state->windowed_budget->Configure(*view.policy.retry_window);
  }
  this->state->queue.Configure(view.policy.queue_length);
  this->state->budget.Configure(view.policy.retry_budget_percent);
  this->state->accounts = view.accounts;
  this->state->RefuseWaitingWithoutChoice(now);
  return this->state->TakeActions(now);
}

DispatchActions Dispatcher::OnRequest(const Work& work, TimePoint now) {
  State& state = *this->state;
  if (!state.Admit(work, now)) {
    return {RefuseRequest{work.request, ErrorKind::kAccountLimited}};
  }
  const bool limited = state.accounts && state.accounts->contains(work.account);
  RequestState& request = state.requests[work.request];
  request.work = work;
  request.account_limited = limited;
  state.budget.OnRequest();
  if (state.windowed_budget) {
    state.windowed_budget->OnRequest(now);
  }
  if (work.deadline <= now) {
    state.Refuse(work.request, ErrorKind::kDeadlineTooShort, now);
  } else if (!state.pool->HasChoice({})) {
    state.Refuse(work.request, ErrorKind::kNoBackend, now);
  } else if (state.queue.Size(work.work_class) > 0 ||
             !state.TryStart(request, now)) {
    state.Enqueue(request, now);
  }
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnAnswerHead(RequestId request_id,
                                         AttemptId attempt_id,
                                         int http_status,
                                         bool replayable,
                                         TimePoint now) {
  State& state = *this->state;
  RequestState* request = state.Find(request_id);
  RunningAttempt* attempt =
      request == nullptr ? nullptr : request->FindAttempt(attempt_id);
  if (attempt == nullptr || request->relayed) {
    return {};
  }
  const bool server_error = http_status >= 500;
  const AttemptResult result =
      server_error ? AttemptResult::kServerError : AttemptResult::kSuccess;
  state.Learn(*request, *attempt, result, now);
  if (server_error) {
    request->MarkUncertain(ErrorKind::kBackendBroken);
    request->failed.push_back(attempt->backend->server.id);
    const bool others = request->running.size() > 1;
    if (others || state.MayRetry(*request, result, replayable, now)) {
      state.actions.push_back(CancelAttempt{request_id, attempt_id});
      state.EndAttempt(*request, attempt_id);
      ++request->sends;
      if (!others) {
        state.Retry(*request, now);
      }
      return state.TakeActions(now);
    }
  }
  for (std::size_t i = request->running.size(); i-- > 0;) {
    const AttemptId other = request->running[i].id;
    if (!(other == attempt_id)) {
      state.actions.push_back(CancelAttempt{request_id, other});
      state.EndAttempt(*request, other);
    }
  }
  request->relayed = attempt_id;
  state.ForgetOverdue(*request, request->running.front());
  state.by_deadline.erase({request->work.deadline, request_id});
  state.actions.push_back(RelayAnswer{request_id, attempt_id});
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnAttemptEnd(const AttemptReport& report,
                                         TimePoint now) {
  State& state = *this->state;
  RequestState* request = state.Find(report.request);
  RunningAttempt* attempt =
      request == nullptr ? nullptr : request->FindAttempt(report.attempt);
  if (attempt == nullptr) {
    return {};
  }
  if (report.leaving) {
    state.pool->OnLeavingSeen(*attempt->backend, now);
  }
  if (report.reported_load) {
    state.pool->OnReportedLoad(*attempt->backend, *report.reported_load, now);
  }
  if (request->relayed) {
    if (report.result != AttemptResult::kSuccess &&
        report.result != AttemptResult::kServerError) {
      state.Learn(*request, *attempt, report.result, now);
    }
    state.EndAttempt(*request, report.attempt);
    state.Finish(report.request);
    return state.TakeActions(now);
  }
  state.Learn(*request, *attempt, report.result, now);
  const std::optional<ErrorKind> uncertain = UncertainKind(report.result);
  if (uncertain || report.result == AttemptResult::kSuccess) {
    request->MarkUncertain(uncertain.value_or(ErrorKind::kInternal));
  }
  if (report.result != AttemptResult::kNotSent) {
    ++request->sends;
  }
  if (report.result != AttemptResult::kRefused || state.windowed_budget) {
    request->failed.push_back(attempt->backend->server.id);
  }
  state.EndAttempt(*request, report.attempt);
  if (!request->running.empty()) {
    return state.TakeActions(now);
  }
  if (state.MayRetry(*request, report.result, report.replayable, now)) {
    state.Retry(*request, now);
  } else {
    state.Refuse(report.request,
                 report.result == AttemptResult::kRefused
                     ? ErrorKind::kBackendRefused
                     : ErrorKind::kConnectFailed,
                 now);
  }
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnCallerLeft(RequestId request_id, TimePoint now) {
  State& state = *this->state;
  RequestState* request = state.Find(request_id);
  if (request == nullptr) {
    return {};
  }
  state.CancelAll(*request);
  state.Finish(request_id);
  return state.TakeActions(now);
}

std::optional<TimePoint> Dispatcher::NextTimer() const {
  return this->state->wake;
}

DispatchActions Dispatcher::OnTimer(TimePoint now) {
  State& state = *this->state;
  for (const RequestId expired : state.queue.TakeExpired(now)) {
    state.Refuse(expired, ErrorKind::kDeadlineTooShort, now);
  }
  state.ExpireRunning(now);
  state.CheckOverdue(now);
  return state.TakeActions(now);
}

DispatchActions Dispatcher::OnFleetEvidence(
    const std::string& from,
    const std::vector<schema::BackendEvidenceT>& evidence,
    TimePoint now) {
  this->state->pool->OnFleetEvidence(from, evidence, now);
  return this->state->TakeActions(now);
}

std::vector<schema::BackendEvidenceT> Dispatcher::TakeEvidence(TimePoint now) {
  return this->state->pool->TakeEvidence(now);
}

std::uint32_t Dispatcher::InFlight() const {
  return static_cast<std::uint32_t>(this->state->requests.size());
}

std::vector<std::string> Dispatcher::Explain(TimePoint now) const {
  return this->state->pool->Explain(now);
}

}  // namespace acacia
