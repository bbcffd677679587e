// Handles one request of a caller from the parsed head to the end of the
// answer. The exchange validates and routes the request, carries out the
// actions of the service's dispatcher, and writes the answer or an error once
// all earlier requests of the connection have been answered.
#ifndef SRC_PROXY_EXCHANGE_H_
#define SRC_PROXY_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "src/caller_connection.h"
#include "src/caller_headers.h"
#include "src/caller_session.h"
#include "src/entry_context.h"
#include "src/error_answer.h"
#include "src/proxy_attempt.h"
#include "src/request_registry.h"
#include "src/retry_after.h"

namespace acacia {

// Runs on the session's strand; Push and Wake may be called from any thread.
class ProxyExchange : public ActionSink,
                      public AttemptOwner,
                      public std::enable_shared_from_this<ProxyExchange> {
 public:
  ProxyExchange(EntryContext& context, std::shared_ptr<CallerSession> session);

  // Serves the request whose head the connection has just read. Returns true if
  // the connection can carry another request afterwards.
  boost::asio::awaitable<bool> Run(tl::expected<void, HeadError> head);

  // Ends the exchange because the caller closed the connection, timed out or
  // sent a malformed body, or because an earlier answer closed the connection.
  void OnCallerFailed(BodyError error) override;
  bool HasCallerFailed() const { return this->caller_failed.has_value(); }

  // Refuses the request if nothing has been sent of it and it may no longer be
  // passed on, since the entry stops.
  void OnAdmissionEnd();
  // Ends the request with its final answer, since the process ends.
  void OnStopEnd();

  // True if the next request of the connection may be read before this one is
  // answered: this one may be retried, and its body has been read to the end.
  bool AllowsPipelining() const { return this->allows_pipelining; }

  void OnException(const std::exception_ptr& error) override;

  void Push(const DispatchAction& action) override;
  void Wake() override;

 private:
  CallerConnection& Caller() override { return this->session->Connection(); }
  const SessionStrand& Strand() const override {
    return this->session->Strand();
  }
  std::shared_ptr<void> HoldReference() override;
  void Signal() override;
  void ArmWatchdog() override;
  void EnableCallerTimeout(bool enabled) override;
  bool OnAnswerHead(ProxyAttempt& attempt, int http_status) override;
  void OnBackendNotice(ProxyAttempt& attempt,
                       const BackendNotice& notice) override;
  void OnAttemptEnd(ProxyAttempt& attempt, AttemptResult result) override;
  bool MustClose() const override;
  // Later requests of the connection have been read and must be answered on it.
  bool MustKeepOpen() const;
  void OnClosingAnswer() override;
  boost::asio::awaitable<bool> AwaitTurn() override;
  bool IsTurn() const override;

  boost::asio::awaitable<bool> Answer(tl::expected<void, HeadError> head);
  boost::asio::awaitable<bool> AnswerRequest();
  // Writes the final answer of a request whose handling threw.
  boost::asio::awaitable<bool> AnswerAfterException();
  boost::asio::awaitable<bool> AnswerLookup();
  boost::asio::awaitable<bool> ProxyTo(
      std::shared_ptr<const EntrySnapshot> snapshot,
      const Route& route,
      CallerOptions options);
  tl::expected<const ClientAccount*, ErrorKind> Authenticate(
      const EntrySnapshot& snapshot,
      const Route& route) const;
  bool LogDropped();
  ServiceName ChooseService(const Route& route);
  void PrepareExchange(const EntrySnapshot& snapshot,
                       const Route& route,
                       const CallerOptions& options,
                       const ClientAccount* account);
  void PrepareHead();
  void PrepareAccount(const ClientAccount* account);
  boost::asio::awaitable<std::optional<ErrorKind>> BufferBody();
  boost::asio::awaitable<std::optional<ErrorKind>> ClaimKey(std::string key);
  boost::asio::awaitable<bool> Dispatch();
  boost::asio::awaitable<bool> FinishDispatch();
  boost::asio::awaitable<void> WaitForSignal();
  boost::asio::awaitable<bool> Refuse(ErrorKind kind);
  boost::asio::awaitable<bool> WriteReply(StringResponse reply);
  boost::asio::awaitable<bool> DiscardBody();

  void PrepareWork();
  void AllowPipelining();
  void EndAtDeadline(ErrorKind kind);
  bool MayHaveBeenSent() const;
  // Nothing has been sent of it and the entry stops too soon to pass it on.
  bool IsTooLateToPassOn() const;
  // Part of the request has not been read.
  bool IsCallerSending() const;
  void RefuseForStop();
  void ReportCallerLeft();
  // Runs a callback, whose exception must end this request only.
  void RunGuarded(const std::function<void()>& callback);
  void OnAttemptDone(const std::shared_ptr<ProxyAttempt>& attempt,
                     const std::exception_ptr& error);
  bool IsOver() const;
  void ProcessActions();
  std::optional<DispatchAction> PopAction();
  void Handle(const StartAttempt& action);
  void Handle(const CancelAttempt& action);
  void Handle(const RelayAnswer& action);
  void Handle(const RefuseRequest& action);
  void CancelAttempts();
  void AbortAnswer();
  ErrorKind ErrorKindForOutcome(ErrorKind kind) const;
  void OnWatchdog();
  void LogRefusal(ErrorKind kind);
  std::string LoggedId() const;
  void WriteSpan(std::string_view result);

  EntryContext& context;
  std::shared_ptr<CallerSession> session;
  CallerConnection& caller;
  boost::asio::steady_timer signal;
  boost::asio::steady_timer watchdog;
  TimePoint watchdog_expiry = TimePoint::max();
  // Time by which an attempt must have started.
  TimePoint start_deadline = TimePoint::max();
  // Time by which a request must have ended that the dispatcher does not end.
  TimePoint upload_deadline = TimePoint::max();

  // Set once the request is routed.
  std::optional<Exchange> exchange;
  // The request id that the caller sent; empty if it sent none.
  std::string caller_request_id;
  bool is_head_request = false;
  bool allows_pipelining = false;
  // Suspended in a read of the body, before the request is dispatched.
  bool is_reading_body = false;
  bool is_dispatched = false;
  // Counted towards the limit of its account.
  bool is_charged = false;
  // An answer of the entry's own is being, or has been, written.
  bool reply_begun = false;
  TimePoint start_time;
  ServiceName service_name;
  // Generation of the configuration that routed the request.
  Generation generation;
  std::uint64_t parent_span = 0;
  std::shared_ptr<DispatchedService> service;
  ServiceMetrics* metrics = nullptr;
  std::vector<std::shared_ptr<ProxyAttempt>> attempts;
  // The attempt whose answer is relayed to the caller.
  std::shared_ptr<ProxyAttempt> relaying;
  std::optional<ErrorKind> refusal;
  Duration retry_after = kDefaultRetryAfter;
  std::optional<BodyError> caller_failed;

  std::mutex pending_actions_mutex;
  std::deque<DispatchAction> pending_actions;
};

}  // namespace acacia

#endif  // SRC_PROXY_EXCHANGE_H_
