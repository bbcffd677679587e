// The part of ProxyAttempt that deals with the answer: reading its head,
// telling refusals and foreign answers, and relaying it to the caller.
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
constexpr int kFirstFinalStatus = 200;
constexpr int kContinueStatus = 100;
constexpr int kSwitchingStatus = 101;
constexpr int kFirstRedirect = 300;
// Answers to other requests that are read and thrown away before the one that
// is awaited.
constexpr int kMostSkipped = 2;
// A longer one may have no end; reading on would cost the caller its time.
constexpr std::size_t kMostSkippedBytes = 256 * 1024;

// Seconds in "timeout=N" of a Keep-Alive header; zero without one.
Duration IdleLimit(std::string_view keep_alive) {
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
  for (int skipped = 0;;) {
    if (const auto failed = co_await this->ParseAnswerHead()) {
      co_return failed;
    }
    const int status = static_cast<int>(this->parser->get().result_int());
    if (status >= kFirstFinalStatus && this->IsForeign()) {
      const bool next = skipped < kMostSkipped && (co_await this->SkipAnswer());
      if (!next) {
        co_return this->Failed(AttemptResult::kMismatched);
      }
      ++skipped;
      continue;
    }
    if (status >= kFirstFinalStatus) {
      break;
    }
    if (status == kSwitchingStatus) {
      co_return AttemptResult::kBroken;
    }
    if (status == kContinueStatus) {
      continue;
    }
    const bool passed_on = co_await this->RelayInterim();
    if (!passed_on) {
      co_return this->Failed(AttemptResult::kCancelled);
    }
  }
  this->head_arrived = true;
  const auto& head = this->parser->get();
  this->NoteAnswerHeaders();
  const Dialect& dialect = this->context.dialect;
  if (dialect.says_not_run(head)) {
    this->DrainSmallAnswer();
    co_return AttemptResult::kRefused;
  }
  const int status = static_cast<int>(head.result_int());
  const bool success = status < kFirstRedirect;
  if (success && !dialect.answer_proof.empty() &&
      head[dialect.answer_proof].empty()) {
    co_return AttemptResult::kMismatched;
  }
  co_return std::nullopt;
}

// True when the answer names another request. Where backend servers echo the
// caller's own id, one that names none is foreign too.
bool ProxyAttempt::IsForeign() const {
  const auto echo = this->parser->get()[this->context.dialect.request_id];
  if (echo.empty()) {
    return this->context.dialect.passes_request_id && !this->request_id.empty();
  }
  return echo != this->request_id;
}

// Reads an answer to another request to its end. False when it has no end of
// its own or breaks off. Without ids of the callers the order of the answers
// cannot be trusted, and nothing is skipped.
net::awaitable<bool> ProxyAttempt::SkipAnswer() {
  if (!this->context.dialect.passes_request_id || this->parser->need_eof()) {
    co_return false;
  }
  std::vector<char> space(kRelayBytes);
  std::size_t skipped = 0;
  while (!this->parser->is_done()) {
    const BodyPiece piece = co_await ReadBodyPiece<false>(
        this->connection->socket, this->connection->buffer, *this->parser,
        net::buffer(space));
    skipped += piece.bytes;
    if (piece.error || skipped > kMostSkippedBytes) {
      co_return false;
    }
  }
  co_return true;
}

// Reads a small answer to its end, so that one that breaks off can still be
// tried elsewhere. Larger ones are relayed as they come.
net::awaitable<std::optional<AttemptResult>> ProxyAttempt::BufferAnswer() {
  const std::size_t most = this->context.settings.buffered_answer_bytes;
  const auto length = this->parser->content_length();
  if (most == 0 || this->exchange.is_head_request ||
      (length && *length > most)) {
    co_return std::nullopt;
  }
  std::string body;
  std::vector<char> space(kRelayBytes);
  while (!this->parser->is_done()) {
    const BodyPiece piece = co_await ReadBodyPiece<false>(
        this->connection->socket, this->connection->buffer, *this->parser,
        net::buffer(space));
    if (piece.error) {
      this->last_error = piece.error;
      co_return this->Failed(AttemptResult::kTruncated);
    }
    body.append(space.data(), piece.bytes);
    if (body.size() > most) {
      break;
    }
    this->Progress();
  }
  this->buffered_body = std::move(body);
  co_return std::nullopt;
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
      error = co_await FillBuffer(this->connection->socket, buffer, kReadBytes);
    }
    if (error) {
      this->last_error = error;
      co_return this->Failed(AttemptResult::kBroken);
    }
  }
  co_return std::nullopt;
}

// An interim answer (103 and the like) goes on to callers that know HTTP/1.1.
net::awaitable<bool> ProxyAttempt::RelayInterim() {
  if (this->exchange.caller_is_http10 || !this->owner.IsTurn()) {
    co_return true;
  }
  http::response<http::empty_body> interim(this->parser->get().base());
  StripHopByHop(interim);
  http::response_serializer<http::empty_body> serializer(interim);
  const auto [error, bytes] = co_await http::async_write_header(
      this->owner.Caller().Socket(), serializer, kAwait);
  this->Progress();
  co_return !error;
}

void ProxyAttempt::NoteAnswerHeaders() {
  const auto& head = this->parser->get();
  const Dialect& dialect = this->context.dialect;
  this->leaving = dialect.says_leaving(head);
  this->load = dialect.parse_load(head[dialect.load]);
  this->connection->idle_limit =
      IdleLimit(std::string_view(head[http::field::keep_alive]));
}

// A refusal's body that has arrived with its head is read, so that the
// connection can be kept.
void ProxyAttempt::DrainSmallAnswer() {
  std::vector<char> space(kRelayBytes);
  const BodyPiece piece = ParseBufferedBody<false>(
      this->connection->buffer, *this->parser, net::buffer(space));
  this->Release(!piece.error && this->parser->is_done() &&
                this->parser->get().keep_alive() && this->request_sent &&
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
  // Without a length the answer ends with the connection, or is sent in chunks
  // while others wait behind it.
  const bool whole =
      this->has_no_body || (this->buffered_body && this->parser->is_done());
  const bool must_chunk = this->parser->need_eof() && this->owner.MustKeep();
  const bool in_chunks =
      !whole && !this->exchange.caller_is_http10 && (chunked || must_chunk);
  this->ends_with_close =
      !whole && !in_chunks && (this->parser->need_eof() || chunked);
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
  this->success = status >= kFirstServerError ? AttemptResult::kServerError
                                              : AttemptResult::kSuccess;
  this->has_no_body =
      this->exchange.is_head_request || status == 204 || status == 304;
  const bool complete =
      this->has_no_body || (this->buffered_body && this->parser->is_done());
  this->due = TimePoint::max();
  if (complete) {
    this->EndAnswer();
  }
  if (!co_await this->owner.AwaitTurn()) {
    this->FinishRelay(false);
    co_return this->success;
  }
  this->begun_relay = true;
  auto answer = this->BuildAnswer();
  if (!complete) {
    this->Progress();
    co_return co_await this->RelayBody(std::move(answer));
  }
  if (!this->has_no_body) {
    co_return co_await this->RelayBuffered(std::move(answer));
  }
  http::response_serializer<http::buffer_body> serializer(answer);
  this->AwaitCaller();
  const auto [error, bytes] = co_await http::async_write_header(
      this->owner.Caller().Socket(), serializer, kAwait);
  this->FinishRelay(!error);
  co_return this->success;
}

net::awaitable<AttemptResult> ProxyAttempt::RelayBuffered(
    http::response<http::buffer_body> answer) {
  http::response<http::string_body> message(std::move(answer.base()));
  message.body() = std::move(*this->buffered_body);
  message.content_length(message.body().size());
  this->AwaitCaller();
  const auto [error, bytes] = co_await http::async_write(
      this->owner.Caller().Socket(), message, kAwait);
  this->owner.ExpectCaller(false);
  this->FinishRelay(!error);
  co_return this->success;
}

net::awaitable<AttemptResult> ProxyAttempt::RelayBody(
    http::response<http::buffer_body> answer) {
  http::response_serializer<http::buffer_body> serializer(answer);
  std::vector<char> space(kRelayBytes);
  BodyPiece piece;
  if (this->buffered_body) {
    // What was read before the answer turned out to be too large to hold.
    piece.bytes = this->buffered_body->size();
    space.assign(this->buffered_body->begin(), this->buffered_body->end());
  } else {
    piece = ParseBufferedBody<false>(this->connection->buffer, *this->parser,
                                     net::buffer(space));
  }
  for (;;) {
    if (piece.error && piece.error != http::error::need_more) {
      co_return this->Failed(AttemptResult::kTruncated);
    }
    const bool done = this->parser->is_done();
    if (done) {
      this->EndAnswer();
    }
    answer.body().data = piece.bytes > 0 ? space.data() : nullptr;
    answer.body().size = piece.bytes;
    answer.body().more = !done;
    this->AwaitCaller();
    const auto [error, bytes] = co_await http::async_write(
        this->owner.Caller().Socket(), serializer, kAwait);
    this->owner.ExpectCaller(false);
    if (done || (error && error != http::error::need_buffer)) {
      this->FinishRelay(!error || error == http::error::need_buffer);
      co_return this->success;
    }
    this->Progress();
    piece = co_await ReadBodyPiece<false>(this->connection->socket,
                                          this->connection->buffer,
                                          *this->parser, net::buffer(space));
  }
}

// The backend server's part is over: its slot and connection are free before
// the caller has read the last bytes.
void ProxyAttempt::EndAnswer() {
  const bool whole_request = this->request_sent && !this->upload_failed;
  const bool reusable = whole_request && !this->parser->need_eof() &&
                        this->parser->get().keep_alive() &&
                        this->connection->buffer.size() == 0;
  this->Release(reusable && !this->uploading);
  this->due = TimePoint::max();
  this->ReportEnd(this->success);
}

void ProxyAttempt::FinishRelay(bool whole) {
  this->relayed_whole = whole;
  if (!whole) {
    this->success = AttemptResult::kCancelled;
    this->owner.OnCallerFailed(BodyError::kClosed);
  }
}

}  // namespace acacia
