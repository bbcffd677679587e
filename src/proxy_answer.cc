// The part of ProxyAttempt that handles the answer: it reads the head, detects
// refusals and answers to other requests, and relays the answer to the caller.
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include "src/caller_headers.h"
#include "src/proxy_attempt.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::uint32_t kMaxAnswerHeadBytes = 64 * 1024;
constexpr int kContinueStatus = 100;
constexpr int kProcessingStatus = 102;
constexpr int kEarlyHintsStatus = 103;
// Interim answers before the final one. More may be endless.
constexpr int kMaxInterimAnswers = 16;
constexpr int kFirstRedirect = 300;
// Number of answers to other requests that are skipped before the expected one.
constexpr int kMaxSkippedAnswers = 2;
// Size up to which an answer to another request is skipped. A longer one may be
// endless, and reading it would use up the request's deadline.
constexpr std::size_t kMaxSkippedBytes = 256 * 1024;

// Returns the value of "timeout=N" (seconds) in a Keep-Alive header; zero if
// there is none.
Duration ParseKeepAliveTimeout(std::string_view keep_alive) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = keep_alive.find(kTimeout);
  std::uint32_t seconds = 0;
  if (at != std::string_view::npos) {
    const std::string_view text = keep_alive.substr(at + kTimeout.size());
    std::from_chars(text.data(), text.data() + text.size(), seconds);
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

net::awaitable<std::optional<AttemptResult>> ProxyAttempt::ReadAnswerHead() {
  int interim_answers = 0;
  for (int skipped = 0;;) {
    if (const auto failed = co_await this->ParseAnswerHead()) {
      co_return failed;
    }
    const int status = static_cast<int>(this->parser->get().result_int());
    if (status > kLastFinalStatus) {
      co_return AttemptResult::kBroken;
    }
    if (status >= kFirstFinalStatus && this->IsForOtherRequest()) {
      const bool next =
          skipped < kMaxSkippedAnswers && (co_await this->SkipAnswer());
      if (!next) {
        co_return this->ClassifyFailure(AttemptResult::kMismatched);
      }
      ++skipped;
      continue;
    }
    if (status >= kFirstFinalStatus) {
      break;
    }
    const bool is_known = status == kContinueStatus ||
                          status == kProcessingStatus ||
                          status == kEarlyHintsStatus;
    if (!is_known || ++interim_answers > kMaxInterimAnswers) {
      co_return AttemptResult::kBroken;
    }
    if (status == kContinueStatus) {
      continue;
    }
    const bool caller_connected = co_await this->RelayInterim();
    if (!caller_connected) {
      co_return this->ClassifyFailure(AttemptResult::kCancelled);
    }
  }
  this->head_arrived = true;
  const auto& head = this->parser->get();
  this->RecordAnswerHeaders();
  const Dialect& dialect = this->context.dialect;
  if (dialect.reports_not_run(head)) {
    this->ConsumeBufferedRefusal();
    co_return AttemptResult::kRefused;
  }
  const int status = static_cast<int>(head.result_int());
  const bool success = status < kFirstRedirect;
  if (success && !dialect.required_success_header.empty() &&
      head[dialect.required_success_header].empty()) {
    co_return AttemptResult::kMismatched;
  }
  co_return std::nullopt;
}

// True if the answer carries the id of another request. Where backend servers
// echo the caller's request id, an answer without an id counts as one too.
bool ProxyAttempt::IsForOtherRequest() const {
  const auto echo = this->parser->get()[this->context.dialect.request_id];
  if (echo.empty()) {
    return this->context.dialect.forwards_request_id &&
           !this->request_id.empty();
  }
  return echo != this->request_id;
}

// Reads and discards an answer to another request. Returns false if the answer
// ends only with the connection, is truncated or exceeds kMaxSkippedBytes.
// Unless backend servers echo the callers' request ids, the order of the
// answers is unreliable and nothing is skipped.
net::awaitable<bool> ProxyAttempt::SkipAnswer() {
  if (!this->context.dialect.forwards_request_id || this->parser->need_eof()) {
    co_return false;
  }
  std::vector<char> scratch(kRelayBytes);
  std::size_t skipped = 0;
  while (!this->parser->is_done()) {
    const BodyReadResult piece = co_await ReadSomeBody<false>(
        this->connection->socket, this->connection->buffer, *this->parser,
        net::buffer(scratch));
    skipped += piece.bytes;
    if (piece.error || skipped > kMaxSkippedBytes) {
      co_return false;
    }
  }
  co_return true;
}

// Reads a small answer to its end before relaying it, so that a truncated one
// can still be retried on another backend server. Larger answers are streamed.
net::awaitable<std::optional<AttemptResult>> ProxyAttempt::BufferAnswer() {
  const std::size_t max_bytes = this->context.settings.buffered_answer_bytes;
  const auto length = this->parser->content_length();
  if (max_bytes == 0 || this->exchange.is_head_request ||
      (length && *length > max_bytes)) {
    co_return std::nullopt;
  }
  std::string body;
  std::vector<char> scratch(kRelayBytes);
  while (!this->parser->is_done()) {
    const std::size_t wanted = body.size() + scratch.size();
    const bool has_room = this->buffer_share.Reserve(
        body, length ? std::min(*length, wanted) : wanted, max_bytes);
    // Without room the rest is passed on as it comes.
    if (!has_room) {
      break;
    }
    const BodyReadResult piece = co_await this->ReadAnswerPiece(scratch);
    if (piece.error) {
      this->last_error = piece.error;
      co_return this->ClassifyFailure(AttemptResult::kTruncated);
    }
    body.append(scratch.data(), piece.bytes);
    if (body.size() > max_bytes) {
      break;
    }
    this->RestartProgressTimeout();
  }
  this->buffered_body = std::move(body);
  co_return std::nullopt;
}

// Reads the next piece of the answer's body. An end of file ends an answer
// without a length only if the whole request was sent and the connection ended
// cleanly; otherwise the answer may have been cut off.
net::awaitable<BodyReadResult> ProxyAttempt::ReadAnswerPiece(
    std::vector<char>& scratch) {
  BodyReadResult piece = co_await ReadSomeBody<false>(
      this->connection->socket, this->connection->buffer, *this->parser,
      net::buffer(scratch));
  if (piece.error || !this->parser->need_eof() || !this->parser->is_done()) {
    co_return piece;
  }
  // The end of an upload that has already been written may still be queued on
  // the strand.
  for (int turn = 0; this->uploading && turn < kMaxUnwindTurns; ++turn) {
    co_await net::post(this->owner.Strand(), net::use_awaitable);
  }
  if (this->cancelled || this->timed_out || !this->request_sent ||
      !EndedCleanly(this->connection->socket)) {
    piece.error = http::error::partial_message;
  }
  co_return piece;
}

net::awaitable<std::optional<AttemptResult>> ProxyAttempt::ParseAnswerHead() {
  boost::beast::flat_buffer& buffer = this->connection->buffer;
  this->parser = std::make_unique<Parser>();
  this->parser->header_limit(kMaxAnswerHeadBytes);
  this->parser->body_limit(boost::none);
  this->parser->skip(this->exchange.is_head_request);
  while (!this->parser->is_header_done()) {
    boost::system::error_code error = http::error::need_more;
    if (buffer.size() > 0) {
      buffer.consume(this->parser->put(buffer.data(), error));
    }
    if (error == http::error::need_more) {
      error =
          co_await FillBuffer(this->connection->socket, buffer, kMaxReadBytes);
    }
    if (error) {
      this->last_error = error;
      co_return this->ClassifyFailure(AttemptResult::kBroken);
    }
  }
  co_return std::nullopt;
}

// Relays an interim answer (such as 103) if the caller speaks HTTP/1.1 and no
// earlier request is unanswered. Returns false if writing to the caller failed.
net::awaitable<bool> ProxyAttempt::RelayInterim() {
  if (this->exchange.caller_is_http10 || !this->owner.IsTurn()) {
    co_return true;
  }
  http::response<http::empty_body> interim(this->parser->get().base());
  StripHopByHop(interim);
  http::response_serializer<http::empty_body> serializer(interim);
  const auto [error, bytes] = co_await http::async_write_header(
      this->owner.Caller().Socket(), serializer, kAwait);
  this->RestartProgressTimeout();
  co_return !error;
}

void ProxyAttempt::RecordAnswerHeaders() {
  const auto& head = this->parser->get();
  const Dialect& dialect = this->context.dialect;
  this->leaving = dialect.announces_leaving(head);
  BackendNotice notice{this->leaving};
  if (dialect.read_pause) {
    notice.pause = dialect.read_pause(head);
  }
  if (notice.leaving || notice.pause) {
    this->owner.OnBackendNotice(*this, notice);
  }
  this->load = dialect.parse_load(head[dialect.load]);
  if (!dialect.rate_limit.empty()) {
    this->rate_limit = dialect.parse_rate_limit(head[dialect.rate_limit]);
  }
  this->connection->server_idle_timeout =
      ParseKeepAliveTimeout(std::string_view(head[http::field::keep_alive]));
}

// Parses the part of a refusal's body that has already been received, so that
// the connection can be reused if that is all of it.
void ProxyAttempt::ConsumeBufferedRefusal() {
  std::vector<char> scratch(kRelayBytes);
  const BodyReadResult piece = ParseBufferedBody<false>(
      this->connection->buffer, *this->parser, net::buffer(scratch));
  this->ReleaseConnection(!piece.error && this->parser->is_done() &&
                          this->parser->get().keep_alive() &&
                          this->request_sent &&
                          this->connection->buffer.size() == 0);
}

http::response<http::buffer_body> ProxyAttempt::BuildAnswer() {
  http::response<http::buffer_body> answer(this->parser->get().base());
  const bool chunked = this->parser->chunked();
  StripHopByHop(answer);
  for (const std::string& name : this->context.dialect.hidden_from_callers) {
    answer.erase(name);
  }
  answer.version(11);
  // An answer of unknown length is sent in chunks. To a caller that does not
  // know these, only closing the connection can end it.
  const bool whole =
      this->has_no_body || (this->buffered_body && this->parser->is_done());
  const bool has_unknown_length =
      !whole && (this->parser->need_eof() || chunked);
  const bool in_chunks = has_unknown_length && !this->exchange.caller_is_http10;
  this->ends_with_close = has_unknown_length && !in_chunks;
  if (this->ends_with_close) {
    this->owner.Caller().SetResetOnClose(true);
  }
  if (in_chunks) {
    answer.set(http::field::transfer_encoding, "chunked");
  }
  const bool close = this->ends_with_close || !this->request_sent ||
                     !this->exchange.keep_alive || this->owner.MustClose();
  this->exchange.keep_alive = !close;
  if (close) {
    this->owner.OnClosingAnswer();
    answer.set(http::field::connection, "close");
  } else if (this->exchange.caller_is_http10) {
    answer.set(http::field::connection, "keep-alive");
  }
  return answer;
}

net::awaitable<AttemptResult> ProxyAttempt::Relay() {
  const int status = static_cast<int>(this->parser->get().result_int());
  this->final_result = status >= kFirstServerError ? AttemptResult::kServerError
                                                   : AttemptResult::kSuccess;
  this->has_no_body =
      this->exchange.is_head_request || status == 204 || status == 304;
  const bool complete =
      this->has_no_body || (this->buffered_body && this->parser->is_done());
  this->progress_deadline = TimePoint::max();
  if (complete) {
    this->OnAnswerReceived();
  }
  if (!co_await this->owner.AwaitTurn()) {
    this->FinishRelay(false);
    co_return this->final_result;
  }
  this->relay_started = true;
  auto answer = this->BuildAnswer();
  if (!complete) {
    this->RestartProgressTimeout();
    co_return co_await this->RelayBody(std::move(answer));
  }
  if (!this->has_no_body) {
    co_return co_await this->RelayBuffered(std::move(answer));
  }
  http::response_serializer<http::buffer_body> serializer(answer);
  this->StartCallerTimeout();
  const auto [error, bytes] = co_await http::async_write_header(
      this->owner.Caller().Socket(), serializer, kAwait);
  this->FinishRelay(!error);
  co_return this->final_result;
}

net::awaitable<AttemptResult> ProxyAttempt::RelayBuffered(
    http::response<http::buffer_body> answer) {
  http::response<http::string_body> message(std::move(answer.base()));
  message.body() = std::move(*this->buffered_body);
  message.content_length(message.body().size());
  this->StartCallerTimeout();
  const auto [error, bytes] = co_await http::async_write(
      this->owner.Caller().Socket(), message, kAwait);
  this->owner.EnableCallerTimeout(false);
  this->FinishRelay(!error);
  co_return this->final_result;
}

net::awaitable<AttemptResult> ProxyAttempt::RelayBody(
    http::response<http::buffer_body> answer) {
  if (this->buffered_body) {
    // The beginning of an answer that exceeds buffered_answer_bytes, or the
    // memory that was left for it.
    const std::string first = std::exchange(*this->buffered_body, {});
    co_return co_await this->RelayAhead(std::move(answer), first);
  }
  std::vector<char> scratch(kRelayBytes);
  const BodyReadResult piece = ParseBufferedBody<false>(
      this->connection->buffer, *this->parser, net::buffer(scratch));
  if (piece.error && piece.error != http::error::need_more) {
    this->last_error = piece.error;
    co_return this->ClassifyFailure(AttemptResult::kTruncated);
  }
  if (!this->parser->is_done()) {
    co_return co_await this->RelayAhead(std::move(answer),
                                        {scratch.data(), piece.bytes});
  }
  this->OnAnswerReceived();
  http::response_serializer<http::buffer_body> serializer(answer);
  answer.body().data = piece.bytes > 0 ? scratch.data() : nullptr;
  answer.body().size = piece.bytes;
  answer.body().more = false;
  this->StartCallerTimeout();
  const auto [error, bytes] = co_await http::async_write(
      this->owner.Caller().Socket(), serializer, kAwait);
  this->owner.EnableCallerTimeout(false);
  this->FinishRelay(!error);
  co_return this->final_result;
}

// The backend server's answer has been received to its end. Frees its slot and
// connection without waiting for the caller to read the last bytes.
void ProxyAttempt::OnAnswerReceived() {
  const bool whole_request = this->request_sent && !this->upload_failed;
  const bool reusable = whole_request && !this->parser->need_eof() &&
                        this->parser->get().keep_alive() &&
                        this->connection->buffer.size() == 0;
  this->ReleaseConnection(reusable && !this->uploading);
  this->progress_deadline = TimePoint::max();
  this->ReportEnd(this->final_result);
}

void ProxyAttempt::FinishRelay(bool whole) {
  this->relay_complete = whole;
  if (whole && this->ends_with_close) {
    this->owner.Caller().SetResetOnClose(false);
  }
  if (!whole) {
    this->final_result = AttemptResult::kCancelled;
    this->owner.OnCallerFailed(BodyError::kClosed);
  }
}

}  // namespace acacia
