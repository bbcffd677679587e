// One attempt of a caller's request at one backend server: takes a connection,
// sends the request, reads the answer's head, and relays the answer when the
// dispatcher says so. It reports how the attempt ended, and never claims that a
// request did not run once a byte of it may have reached the wire.
//
// Not thread-safe; runs on its session's strand.
#ifndef SRC_PROXY_ATTEMPT_H_
#define SRC_PROXY_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/backend_connection.h"
#include "src/caller_connection.h"
#include "src/dispatcher.h"
#include "src/entry_context.h"
#include "src/span.h"

namespace acacia {

inline constexpr std::size_t kRelayBytes = 16 * 1024;
inline constexpr int kFirstServerError = 500;

// Request bodies up to this size can be sent again.
inline constexpr std::size_t kReplayableBodyBytes = 64 * 1024;

// One caller request, as far as its attempts need it.
struct Exchange {
  RequestId id;
  Work work;
  // Bounds the wait for an attempt, and for a short answer's head. The
  // dispatcher is told a later one for work that only lack of progress ends.
  TimePoint deadline;
  ServicePolicy policy;
  // Connections to each backend server that this entry may hold.
  std::uint32_t max_connections = 0;
  std::uint64_t max_body_bytes = 0;
  // The caller's own id of the request; empty without one.
  std::string caller_request_id;
  // The head for backend servers, without the headers that differ by attempt.
  boost::beast::http::request_header<> head;
  bool is_head_request = false;
  bool caller_is_http10 = false;
  // The caller's connection can carry another request after the answer.
  bool keep_alive = false;
  // The caller waits for "100 Continue" before it sends the body.
  bool must_continue = false;
  bool has_body = false;
  bool is_chunked = false;
  // What has been read of the body, up to kReplayableBodyBytes.
  std::string prefix;
  // The body has been read to its end.
  bool body_read = true;
  std::uint64_t body_bytes = 0;
  // Bytes past the prefix went to one attempt and are gone.
  bool streaming = false;
  // Uploads that still read from the caller.
  int uploads = 0;
  // An attempt may have run, and did not end with the backend server's refusal.
  bool outcome_unknown = false;
  TraceContext trace;

  // The whole request can still be sent (again).
  bool IsReplayable() const { return !this->streaming; }
  // Notes a piece of the body; false when the body is larger than the route
  // allows.
  bool Keep(std::string_view piece, bool is_last);
  // Bodies up to this size can be sent again.
  std::size_t replayable_bytes = kReplayableBodyBytes;
};

class ProxyAttempt;

// What an attempt asks of its session. Called on the strand.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;

  virtual CallerConnection& Caller() = 0;
  virtual const SessionStrand& Strand() const = 0;
  // Holds the owner while a coroutine of the attempt runs.
  virtual std::shared_ptr<void> KeepAlive() = 0;
  // Something that the owner waits for may have happened.
  virtual void Signal() = 0;
  // A deadline has become earlier.
  virtual void GuardDeadlines() = 0;
  // Pauses or restarts the time-out that the caller must meet.
  virtual void ExpectCaller(bool expected) = 0;
  // True when this attempt's answer is to be relayed now.
  virtual bool OnAnswerHead(ProxyAttempt& attempt, int http_status) = 0;
  virtual void OnAttemptEnd(ProxyAttempt& attempt, AttemptResult result) = 0;
  // The caller closed, stalled, or sent a malformed body.
  virtual void OnCallerFailed(BodyError error) = 0;
  // The connection to the caller must close after the answer.
  virtual bool MustClose() const = 0;
  // Further requests that were passed on wait for their answers on it.
  virtual bool MustKeep() const = 0;
  // The answer that is about to be written closes the connection.
  virtual void OnClosingAnswer() = 0;
  // Waits until earlier requests of the connection have their answers; false
  // when this one can get none any more.
  virtual boost::asio::awaitable<bool> AwaitTurn() = 0;
  virtual bool IsTurn() const = 0;
};

class ProxyAttempt : public std::enable_shared_from_this<ProxyAttempt> {
 public:
  ProxyAttempt(EntryContext& context,
               AttemptOwner& owner,
               Exchange& exchange,
               const StartAttempt& start);
  ~ProxyAttempt();

  // Runs to the end; the owner and the exchange must outlive it.
  boost::asio::awaitable<void> Run();

  // Closes the connection; no report follows.
  void Cancel();

  // When the backend server must have made progress by; max() while the attempt
  // waits for the caller.
  TimePoint Due() const { return this->due; }
  // Due has passed.
  void Expire();

  AttemptId Id() const { return this->start.attempt; }
  const BackendId& Backend() const { return this->start.backend; }
  bool IsCancelled() const { return this->cancelled; }
  bool IsUploading() const { return this->uploading; }
  bool IsLeaving() const { return this->leaving; }
  const std::optional<ReportedLoad>& LoadSeen() const { return this->load; }
  // The caller got the first bytes of an answer, and all of it.
  bool HasBegunRelay() const { return this->begun_relay; }
  bool IsRelayedWhole() const { return this->relayed_whole; }
  // The answer has no length of its own: it ends with the connection.
  bool EndsWithClose() const { return this->ends_with_close; }

 private:
  using Parser = MessageParser<false>;

  boost::asio::awaitable<AttemptResult> Try();
  boost::asio::awaitable<bool> MaySend();
  boost::asio::awaitable<bool> Connect();
  boost::asio::awaitable<bool> OpenConnection();
  boost::beast::http::request_header<> BuildHead() const;
  boost::asio::awaitable<bool> SendBuffered();
  boost::asio::awaitable<bool> SendHeadOf(
      boost::beast::http::request_header<> head);
  void StartUpload();
  boost::asio::awaitable<void> Upload();
  boost::asio::awaitable<bool> UploadBody();
  boost::asio::awaitable<bool> SendPiece(boost::asio::const_buffer piece);
  boost::asio::awaitable<tl::expected<std::size_t, BodyError>> NextUploadPiece(
      std::vector<char>& space);
  boost::asio::awaitable<std::optional<AttemptResult>> ReadAnswerHead();
  boost::asio::awaitable<std::optional<AttemptResult>> ParseAnswerHead();
  void DrainSmallAnswer();
  boost::asio::awaitable<bool> RelayInterim();
  boost::asio::awaitable<bool> SkipAnswer();
  bool IsForeign() const;
  boost::asio::awaitable<std::optional<AttemptResult>> BufferAnswer();
  boost::asio::awaitable<AttemptResult> RelayBuffered(
      boost::beast::http::response<boost::beast::http::buffer_body> answer);
  void NoteAnswerHeaders();
  boost::asio::awaitable<AttemptResult> Relay();
  boost::beast::http::response<boost::beast::http::buffer_body> BuildAnswer();
  boost::asio::awaitable<AttemptResult> RelayBody(
      boost::beast::http::response<boost::beast::http::buffer_body> answer);
  void EndAnswer();
  void FinishRelay(bool whole);
  void ReportEnd(AttemptResult result);
  void Progress();
  void AwaitCaller();
  AttemptResult Failed(AttemptResult otherwise) const;
  void WriteSpan(AttemptResult result);
  void LogEnd(AttemptResult result) const;
  void Release(bool reusable);

  EntryContext& context;
  AttemptOwner& owner;
  Exchange& exchange;
  StartAttempt start;
  std::string request_id;
  TraceContext trace;
  TimePoint began;
  TimePoint due = TimePoint::max();
  bool checked_out = false;
  bool cancelled = false;
  bool timed_out = false;
  // A byte of the request may have reached the wire.
  bool sent_bytes = false;
  bool request_sent = false;
  bool head_arrived = false;
  // The connection had carried a request before.
  bool reused = false;
  // Why the connection could not be used, for the log.
  boost::system::error_code last_error;
  bool uploading = false;
  bool upload_failed = false;
  bool reported = false;
  bool begun_relay = false;
  bool relayed_whole = false;
  bool ends_with_close = false;
  bool has_no_body = false;
  // How the attempt ends if nothing goes wrong any more.
  AttemptResult success = AttemptResult::kSuccess;
  bool leaving = false;
  std::optional<ReportedLoad> load;
  // The answer's body when it was read whole before relaying.
  std::optional<std::string> buffered_body;
  BackendConnectionPtr connection;
  std::unique_ptr<Parser> parser;
};

}  // namespace acacia

#endif  // SRC_PROXY_ATTEMPT_H_
