// One request of a caller, from its head to the end of its answer: refuses or
// routes it, has the service's dispatcher decide, carries out the dispatcher's
// actions, and writes the answer or the error when its turn on the connection
// has come.
#ifndef SRC_PROXY_EXCHANGE_H_
#define SRC_PROXY_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
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

  // Serves the request whose head the connection has just read. True when the
  // connection can carry another request afterwards.
  boost::asio::awaitable<bool> Run(tl::expected<void, HeadError> head);

  // The caller closed, stalled, or sent a malformed body, or an earlier answer
  // closed the connection.
  void OnCallerFailed(BodyError error) override;
  bool HasCallerFailed() const { return this->caller_failed.has_value(); }

  // The request may run again and has been read whole.
  bool IsReleased() const { return this->released; }

  void LogException() const;

  void Push(const DispatchAction& action) override;
  void Wake() override;

 private:
  CallerConnection& Caller() override { return this->session->Connection(); }
  const SessionStrand& Strand() const override {
    return this->session->Strand();
  }
  std::shared_ptr<void> KeepAlive() override;
  void Signal() override;
  void GuardDeadlines() override;
  void ExpectCaller(bool expected) override;
  bool OnAnswerHead(ProxyAttempt& attempt, int http_status) override;
  void OnAttemptEnd(ProxyAttempt& attempt, AttemptResult result) override;
  bool MustClose() const override;
  bool MustKeep() const override;
  void OnClosingAnswer() override;
  boost::asio::awaitable<bool> AwaitTurn() override;
  bool IsTurn() const override;

  boost::asio::awaitable<bool> AnswerRequest();
  boost::asio::awaitable<bool> AnswerLookup();
  boost::asio::awaitable<bool> ProxyTo(
      std::shared_ptr<const EntrySnapshot> snapshot,
      const Route& route,
      CallerOptions options);
  bool DropUnread();
  ServiceName ChooseService(const Route& route);
  void PrepareExchange(const EntrySnapshot& snapshot,
                       const Route& route,
                       const CallerOptions& options);
  void PrepareHead();
  boost::asio::awaitable<std::optional<ErrorKind>> BufferBody();
  boost::asio::awaitable<std::optional<ErrorKind>> ClaimKey(std::string key);
  boost::asio::awaitable<bool> Dispatch();
  boost::asio::awaitable<bool> FinishDispatch();
  boost::asio::awaitable<void> WaitForSignal();
  boost::asio::awaitable<bool> Refuse(ErrorKind kind);
  boost::asio::awaitable<bool> WriteReply(StringResponse reply);
  boost::asio::awaitable<bool> DiscardBody();

  void PrepareWork();
  void ReleaseCaller();
  void RefuseUnstarted();
  void TellDispatcherOfLeaving();
  bool IsOver() const;
  void Drain();
  std::optional<DispatchAction> TakeAction();
  void Handle(const StartAttempt& action);
  void Handle(const CancelAttempt& action);
  void Handle(const RelayAnswer& action);
  void Handle(const RefuseRequest& action);
  void CancelAttempts();
  void AbortAnswer();
  ErrorKind TruthfulKind(ErrorKind kind) const;
  void OnWatchdog();
  void LogRefusal(ErrorKind kind);
  std::string LoggedId() const;
  void WriteSpan(std::string_view result);

  EntryContext& context;
  std::shared_ptr<CallerSession> session;
  CallerConnection& caller;
  boost::asio::steady_timer signal;
  boost::asio::steady_timer watchdog;
  TimePoint watchdog_armed = TimePoint::max();
  // When an attempt must have started.
  TimePoint start_due = TimePoint::max();

  // Set once the request is routed.
  std::optional<Exchange> exchange;
  // The caller's own id of the request; empty without one.
  std::string caller_request_id;
  bool is_head_request = false;
  bool released = false;
  TimePoint began;
  ServiceName service_name;
  // Of the configuration that routed it.
  Generation generation;
  std::uint64_t parent_span = 0;
  std::shared_ptr<DispatchedService> service;
  ServiceMetrics* metrics = nullptr;
  std::vector<std::shared_ptr<ProxyAttempt>> attempts;
  // The attempt whose answer the caller gets.
  std::shared_ptr<ProxyAttempt> relaying;
  std::optional<ErrorKind> refusal;
  Duration retry_after = kDefaultRetryAfter;
  std::optional<BodyError> caller_failed;

  std::mutex mailbox_mutex;
  std::deque<DispatchAction> mailbox;
};

}  // namespace acacia

#endif  // SRC_PROXY_EXCHANGE_H_
