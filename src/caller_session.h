// One connection from a caller, from its first request to its close. Reads
// request heads, gives each request an exchange of its own, and keeps their
// answers in the order of the requests.
//
// A further request is read while answers are awaited if the one before it may
// run again and has been read whole. What is read behind an answer that closes
// the connection is not passed on.
#ifndef SRC_CALLER_SESSION_H_
#define SRC_CALLER_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

#include "src/caller_connection.h"
#include "src/entry_context.h"

namespace acacia {

class ProxyExchange;

// Runs on one strand; CloseIfIdle and CloseNow may be called from any thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(EntryContext& context,
                boost::asio::ip::tcp::socket socket,
                const SessionStrand& strand);
  ~CallerSession();

  // Serves the connection in the background; holds itself while it does.
  void Start();

  // The entry is draining: closes the connection if it is idle.
  void CloseIfIdle();
  // Cuts the connection off.
  void CloseNow();

  // The rest is for its exchanges, on the strand.
  CallerConnection& Connection() { return this->caller; }
  const SessionStrand& Strand() const { return this->strand; }

  // Waits until the answers to all earlier requests have been written; false
  // when this one's cannot be written any more.
  boost::asio::awaitable<bool> AwaitTurn(const ProxyExchange& exchange);
  bool IsTurn(const ProxyExchange& exchange) const;
  // Further requests of the connection have been read.
  bool HasBehind(const ProxyExchange& exchange) const;
  // The exchange needs nothing more from the caller: the next request may be
  // read.
  void OnReleased();
  // The answer that is about to be written is the connection's last.
  void StopReading(const ProxyExchange& last);
  // Pauses or restarts the time-out that the caller must meet.
  void ExpectCaller(bool expected);
  // Closes after the last answer without destroying it by a reset.
  boost::asio::awaitable<void> CloseGracefully();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> ReadNext();
  bool MayRead() const;
  void Begin(tl::expected<void, HeadError> head);
  void OnDone(const std::shared_ptr<ProxyExchange>& exchange, bool keep);
  void Fail(BodyError error);
  void Changed();
  void ExpectNextRequest();
  void GuardDeadlines();
  void OnWatchdog();

  EntryContext& context;
  SessionStrand strand;
  CallerConnection caller;
  // In the order of their requests.
  std::deque<std::shared_ptr<ProxyExchange>> exchanges;
  // No further request is served.
  bool closing = false;
  // Cancelled whenever one of the above changes.
  boost::asio::steady_timer changed;
  boost::asio::steady_timer watchdog;
  TimePoint watchdog_armed = TimePoint::max();
  // When the caller must have sent or taken something.
  TimePoint caller_due = TimePoint::max();
  // When a first byte of the next request must have come.
  TimePoint idle_due = TimePoint::max();
};

}  // namespace acacia

#endif  // SRC_CALLER_SESSION_H_
