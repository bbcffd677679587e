// One attempt to run a caller's request on one backend server. The attempt
// takes a connection, sends the request, reads the head of the answer and, if
// the dispatcher decides so, relays the answer. It reports how it ended, and
// never reports that the request did not run once a byte of it may have been
// sent.
//
// Not thread-safe; runs on its session's strand.
#ifndef SRC_PROXY_ATTEMPT_H_
#define SRC_PROXY_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/backend_connection.h"
#include "src/buffer_budget.h"
#include "src/caller_connection.h"
#include "src/dispatcher.h"
#include "src/entry_context.h"
#include "src/read_ahead.h"
#include "src/span.h"

namespace acacia {

inline constexpr std::size_t kRelayBytes = 16 * 1024;
inline constexpr int kFirstServerError = 500;
// Turns of the strand within which an upload that has ended is finished.
inline constexpr int kMaxUnwindTurns = 16;

// Default size up to which a request body is buffered so that it can be sent
// again.
inline constexpr std::size_t kReplayableBodyBytes = 64 * 1024;

// The state of one caller request that its attempts share.
struct Exchange {
  RequestId id;
  Work work;
  // Time by which an attempt must have started and, for short work, by which
  // the head of the answer must have arrived. For long work and unfinished
  // uploads the dispatcher gets a later one, since only a progress timeout ends
  // these.
  TimePoint deadline;
  ServicePolicy policy;
  // Limit on this entry's connections to each backend server.
  std::uint32_t max_connections = 0;
  std::uint64_t max_body_bytes = 0;
  // The request id that the caller sent; empty if it sent none.
  std::string caller_request_id;
  // The head to send, without the headers that differ between attempts.
  boost::beast::http::request_header<> head;
  bool is_head_request = false;
  bool caller_is_http10 = false;
  // The caller's connection can carry another request after the answer.
  bool keep_alive = false;
  // The caller waits for "100 Continue" before it sends the body.
  bool must_send_continue = false;
  bool has_body = false;
  bool is_chunked = false;
  // The part of the body that has been read and is kept, up to
  // replayable_bytes.
  std::string body_prefix;
  // Holds the capacity of body_prefix.
  std::optional<BufferShare> body_share;
  // The body has been read to its end.
  bool body_complete = true;
  std::uint64_t body_bytes = 0;
  // The body is larger than replayable_bytes, or than the memory that was left
  // for it. It is not kept, so it cannot be sent again.
  bool exceeds_replay_buffer = false;
  // Number of attempts that are still uploading the body.
  int active_uploads = 0;
  // The request may have run: an attempt sent bytes of it and did not end with
  // the backend server's refusal.
  bool outcome_unknown = false;
  // The connections on which the request has been sent under its present id.
  std::vector<ConnectionId> carriers;
  TraceContext trace;

  // The whole request can be sent to another backend server.
  bool IsReplayable() const { return !this->exceeds_replay_buffer; }
  // Makes room for a prefix of `bytes`. Returns false if no memory is left.
  bool ReserveBody(std::size_t bytes);
  // Gives the memory of the prefix back.
  void DropBody();
  // Records a piece of the body. Returns false if the body exceeds the route's
  // limit.
  bool AddBodyBytes(std::string_view piece, bool is_last);
  // Size up to which the body is kept so that it can be sent again.
  std::size_t replayable_bytes = kReplayableBodyBytes;
};

class ProxyAttempt;

// The interface through which an attempt uses its exchange and the caller's
// connection. Called on the strand.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;

  virtual CallerConnection& Caller() = 0;
  virtual const SessionStrand& Strand() const = 0;
  // Returns a reference that keeps the owner alive.
  virtual std::shared_ptr<void> HoldReference() = 0;
  // Wakes the owner to check its state again.
  virtual void Signal() = 0;
  // Makes sure that the timer fires no later than the earliest deadline.
  virtual void ArmWatchdog() = 0;
  // Restarts or stops the timeout for the caller to send or receive data.
  virtual void EnableCallerTimeout(bool enabled) = 0;
  // Reports the status of the answer to the dispatcher. Returns true if this
  // attempt's answer is to be relayed now.
  virtual bool OnAnswerHead(ProxyAttempt& attempt, int http_status) = 0;
  virtual void OnBackendNotice(ProxyAttempt& attempt,
                               const BackendNotice& notice) = 0;
  virtual void OnAttemptEnd(ProxyAttempt& attempt, AttemptResult result) = 0;
  // The caller closed the connection, timed out or sent a malformed body.
  virtual void OnCallerFailed(BodyError error) = 0;
  // Logs an exception of the entry's own and ends the request with its final
  // answer.
  virtual void OnException(const std::exception_ptr& error) = 0;
  // The caller's connection must be closed after this answer.
  virtual bool MustClose() const = 0;
  // Called before writing an answer after which the connection is closed.
  virtual void OnClosingAnswer() = 0;
  // Waits until all earlier requests of the connection have been answered.
  // Returns false if this one can no longer be answered.
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

  // Runs the attempt to its end. The owner and the exchange must outlive it.
  boost::asio::awaitable<void> Run();

  // Closes the connection. The end of the attempt is then not reported to the
  // owner.
  void Cancel();

  // Time by which the backend server must have made progress; max() while the
  // attempt waits for the caller.
  TimePoint ProgressDeadline() const { return this->progress_deadline; }
  // Closes the connection because ProgressDeadline() has passed.
  void OnProgressTimeout();

  AttemptId Id() const { return this->start.attempt; }
  const BackendId& Backend() const { return this->start.backend; }
  bool IsCancelled() const { return this->cancelled; }
  bool IsUploading() const { return this->uploading; }
  bool IsLeaving() const { return this->leaving; }
  const std::optional<ReportedLoad>& LastReportedLoad() const {
    return this->load;
  }
  // Requests per second; nullopt when the answer names no limit.
  std::optional<double> NamedRateLimit() const { return this->rate_limit; }
  // Writing the answer to the caller has begun.
  bool HasRelayStarted() const { return this->relay_started; }
  bool IsRelayComplete() const { return this->relay_complete; }
  // The answer has neither a length nor chunks: closing the connection ends it.
  bool EndsWithClose() const { return this->ends_with_close; }

 private:
  using Parser = MessageParser<false>;

  boost::asio::awaitable<AttemptResult> Execute();
  boost::asio::awaitable<bool> AwaitPreviousUpload();
  boost::asio::awaitable<bool> Connect();
  boost::asio::awaitable<bool> OpenConnection();
  boost::beast::http::request_header<> BuildHead() const;
  void MarkSending();
  boost::asio::awaitable<bool> SendBuffered();
  boost::asio::awaitable<bool> SendHead(
      boost::beast::http::request_header<> head);
  void StartUpload();
  boost::asio::awaitable<void> Upload();
  void OnUploadDone(const std::exception_ptr& error);
  boost::asio::awaitable<bool> UploadBody();
  boost::asio::awaitable<bool> SendPiece(boost::asio::const_buffer piece);
  boost::asio::awaitable<tl::expected<std::size_t, BodyError>> ReadUploadPiece(
      std::vector<char>& scratch);
  boost::asio::awaitable<std::optional<AttemptResult>> ReadAnswerHead();
  boost::asio::awaitable<std::optional<AttemptResult>> ParseAnswerHead();
  void ConsumeBufferedRefusal();
  boost::asio::awaitable<bool> RelayInterim();
  boost::asio::awaitable<bool> SkipAnswer();
  bool IsForOtherRequest() const;
  boost::asio::awaitable<std::optional<AttemptResult>> BufferAnswer();
  boost::asio::awaitable<BodyReadResult> ReadAnswerPiece(
      std::vector<char>& scratch);
  boost::asio::awaitable<AttemptResult> RelayBuffered(
      boost::beast::http::response<boost::beast::http::buffer_body> answer);
  void RecordAnswerHeaders();
  boost::asio::awaitable<AttemptResult> Relay();
  boost::beast::http::response<boost::beast::http::buffer_body> BuildAnswer();
  boost::asio::awaitable<AttemptResult> RelayBody(
      boost::beast::http::response<boost::beast::http::buffer_body> answer);
  boost::asio::awaitable<AttemptResult> RelayAhead(
      boost::beast::http::response<boost::beast::http::buffer_body> answer,
      std::string_view first);
  boost::asio::awaitable<std::optional<AttemptResult>> ReadRest();
  boost::asio::awaitable<bool> AwaitRoom();
  boost::asio::awaitable<void> WriteWhatWasRead();
  bool IsUnread(UnreadTimeout& timeout);
  void EndUnreadAnswer();
  void StartWriting(
      boost::beast::http::response<boost::beast::http::buffer_body> answer);
  boost::asio::awaitable<void> WriteAnswer(
      boost::beast::http::response<boost::beast::http::buffer_body> answer);
  void OnAnswerReceived();
  void FinishRelay(bool whole);
  void ReportEnd(AttemptResult result);
  void RestartProgressTimeout();
  void StartCallerTimeout();
  AttemptResult ClassifyFailure(AttemptResult fallback) const;
  void WriteSpan(AttemptResult result);
  void LogEnd(AttemptResult result) const;
  void ReleaseConnection(bool reusable);
  void CloseConnection();

  EntryContext& context;
  AttemptOwner& owner;
  Exchange& exchange;
  StartAttempt start;
  std::string request_id;
  TraceContext trace;
  TimePoint start_time;
  TimePoint progress_deadline = TimePoint::max();
  bool checked_out = false;
  bool cancelled = false;
  bool timed_out = false;
  // At least one byte of the request may have been sent.
  bool may_have_sent_bytes = false;
  bool request_sent = false;
  bool head_arrived = false;
  // The connection has carried an earlier request.
  bool reused = false;
  // Kept for the log after the connection has been released; 0 if there was
  // none.
  ConnectionId connection_id;
  // The last I/O error on the connection, for the log.
  boost::system::error_code last_error;
  bool uploading = false;
  bool upload_failed = false;
  bool end_reported = false;
  bool relay_started = false;
  bool relay_complete = false;
  bool ends_with_close = false;
  bool has_no_body = false;
  // The result of the attempt unless relaying the answer fails.
  AttemptResult final_result = AttemptResult::kSuccess;
  bool leaving = false;
  std::optional<ReportedLoad> load;
  std::optional<double> rate_limit;
  // The part of the answer's body that was read before relaying: all of it, or
  // the beginning of one that exceeds buffered_answer_bytes.
  std::optional<std::string> buffered_body;
  // Holds the capacity of buffered_body.
  BufferShare buffer_share;
  BackendConnectionPtr connection;
  std::unique_ptr<Parser> parser;
  // The pieces of an answer between reading and writing. Adding one, or the end
  // of the answer, cancels `piece_added`; writing one cancels `piece_written`.
  std::optional<ReadAhead> ahead;
  boost::asio::steady_timer piece_added;
  boost::asio::steady_timer piece_written;
  // WriteAnswer runs.
  bool writing = false;
  bool answer_read = false;
  bool stop_writing = false;
  bool write_failed = false;
};

}  // namespace acacia

#endif  // SRC_PROXY_ATTEMPT_H_
