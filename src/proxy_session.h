// One connection from a caller, from its first request to its close: reads each
// request's head, refuses or routes it, has the service's dispatcher decide,
// carries out the dispatcher's actions, and writes the answer or the error.
#ifndef SRC_PROXY_SESSION_H_
#define SRC_PROXY_SESSION_H_

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
#include "src/entry_context.h"
#include "src/error_answer.h"
#include "src/proxy_attempt.h"
#include "src/request_registry.h"

namespace acacia {

// Runs on one strand; Push and Wake may be called from any thread.
class ProxySession : public ActionSink,
                     public AttemptOwner,
                     public std::enable_shared_from_this<ProxySession> {
 public:
  ProxySession(EntryContext& context,
               boost::asio::ip::tcp::socket socket,
               const SessionStrand& strand);
  ~ProxySession() override;

  // Serves the connection in the background; holds itself while it does.
  void Start();

  // The entry is draining: closes the connection if it is idle. Thread-safe.
  void CloseIfIdle();

  // Cuts the connection off. Thread-safe.
  void CloseNow();

  void Push(const DispatchAction& action) override;
  void Wake() override;

 private:
  CallerConnection& Caller() override { return this->caller; }
  const SessionStrand& Strand() const override { return this->strand; }
  std::shared_ptr<void> KeepAlive() override;
  void Signal() override;
  void GuardDeadlines() override;
  void ExpectCaller(bool expected) override;
  bool OnAnswerHead(ProxyAttempt& attempt, int http_status) override;
  void OnAttemptEnd(ProxyAttempt& attempt, AttemptResult result) override;
  void OnCallerFailed(BodyError error) override;
  bool MustClose() const override;

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<bool> AnswerRequest();
  boost::asio::awaitable<bool> AnswerLookup();
  boost::asio::awaitable<bool> ProxyTo(
      std::shared_ptr<const EntrySnapshot> snapshot,
      const Route& route,
      CallerOptions options);
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
  boost::asio::awaitable<void> CloseGracefully();

  void PrepareWork();
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
  SessionStrand strand;
  CallerConnection caller;
  boost::asio::steady_timer signal;
  boost::asio::steady_timer watchdog;
  TimePoint watchdog_armed = TimePoint::max();
  // When the caller must have sent or taken something.
  TimePoint caller_due = TimePoint::max();
  // When an attempt must have started.
  TimePoint start_due = TimePoint::max();

  // The request that is being answered.
  std::optional<Exchange> exchange;
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
  std::optional<BodyError> caller_failed;

  std::mutex mailbox_mutex;
  std::deque<DispatchAction> mailbox;
};

}  // namespace acacia

#endif  // SRC_PROXY_SESSION_H_
