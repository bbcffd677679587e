// Serves one connection from a caller until it is closed. The session reads
// request heads, runs a ProxyExchange for each request, and keeps the answers
// in the order of the requests.
//
// Requests may be pipelined: the next one is read before earlier answers are
// written if the previous one is idempotent and has been read to its end.
// Requests that follow an answer which closes the connection are not
// dispatched.
#ifndef SRC_CALLER_SESSION_H_
#define SRC_CALLER_SESSION_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <exception>
#include <memory>

#include "src/caller_connection.h"
#include "src/entry_context.h"

namespace acacia {

class ProxyExchange;

// Runs on one strand; the functions that close the connection or end its
// requests may be called from any thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(EntryContext& context,
                boost::asio::ip::tcp::socket socket,
                const SessionStrand& strand);
  ~CallerSession();

  // Serves the connection in the background and keeps this object alive
  // meanwhile.
  void Start();

  // Closes the connection if it is idle; for an entry that is draining.
  void CloseIfIdle();
  // The time since which no request has been read; max() while one is served.
  TimePoint IdleSince() const { return this->idle_since.load(); }
  // Whether a request has ever been read.
  bool WasUsed() const { return this->was_used.load(); }
  // Closes the connection if it is idle. IdleSince is max() from now on.
  void CloseForAnother();
  // Closes the connection at once and aborts its requests.
  void CloseNow();
  // Refuses the requests that have not been passed on and may no longer be.
  void EndAdmission();
  // Gives the open requests their final answer.
  void EndRequests();

  // The functions below are for the session's exchanges, on the strand.
  CallerConnection& Connection() { return this->caller; }
  const SessionStrand& Strand() const { return this->strand; }

  // Waits until the answers to all earlier requests have been written. Returns
  // false if the answer to this one can no longer be written.
  boost::asio::awaitable<bool> AwaitTurn(const ProxyExchange& exchange);
  bool IsTurn(const ProxyExchange& exchange) const;
  // True if later requests of the connection have been read.
  bool HasLaterRequests(const ProxyExchange& exchange) const;
  // The latest exchange needs no more input from the caller, so the next
  // request may be read.
  void OnPipeliningAllowed();
  // Aborts all exchanges but `last`, whose answer closes the connection, and
  // reads no further request.
  void StopReading(const ProxyExchange& last);
  // Restarts or stops the timeout for the caller to send or receive data.
  void EnableCallerTimeout(bool enabled);
  // Shuts down sending and discards input for a short time, so that a TCP reset
  // does not destroy the last answer before the caller has read it. A caller
  // that `is_sending` is given until the end of a stop that has begun.
  boost::asio::awaitable<void> CloseGracefully(bool is_sending);

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> ReadNext();
  bool MayReadNext() const;
  void StartExchange(tl::expected<void, HeadError> head);
  void OnExchangeDone(const std::shared_ptr<ProxyExchange>& exchange,
                      bool keep_open);
  void AbortExchanges(BodyError error);
  void ForEachExchange(void (ProxyExchange::*action)());
  void NotifyChanged();
  void LogException(const std::exception_ptr& error) const;
  void StartIdleTimeout();
  void ArmWatchdog();
  void OnWatchdog();

  EntryContext& context;
  SessionStrand strand;
  CallerConnection caller;
  // The unanswered requests, oldest first.
  std::deque<std::shared_ptr<ProxyExchange>> exchanges;
  std::atomic<TimePoint> idle_since{TimePoint::max()};
  std::atomic<bool> was_used{false};
  // No further request is read.
  bool closing = false;
  // Never expires; cancelled to wake waiters when `exchanges`, `closing` or the
  // state of an exchange has changed.
  boost::asio::steady_timer state_changed;
  boost::asio::steady_timer watchdog;
  TimePoint watchdog_expiry = TimePoint::max();
  // Time by which the caller must have sent or received data.
  TimePoint caller_deadline = TimePoint::max();
  // Time by which the next request's head must have arrived.
  TimePoint idle_deadline = TimePoint::max();
};

}  // namespace acacia

#endif  // SRC_CALLER_SESSION_H_
