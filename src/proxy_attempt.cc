#include "src/proxy_attempt.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <string_view>
#include <utility>

#include "src/caller_headers.h"
#include "src/log_event.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// Longer than two round trips of 55 ms between regions, and short enough to try
// another backend server before the request's deadline.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Upper bound of TCP_USER_TIMEOUT, after which unacknowledged bytes to a
// backend server end the connection.
constexpr Duration kMaxUserTimeout = std::chrono::seconds(5);
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

bool Exchange::ReserveBody(std::size_t bytes) {
  return this->body_share->Reserve(this->body_prefix, bytes,
                                   this->replayable_bytes);
}

void Exchange::DropBody() {
  this->body_prefix = std::string();
  this->body_share->Release();
}

bool Exchange::AddBodyBytes(std::string_view piece, bool is_last) {
  this->body_bytes += piece.size();
  this->body_complete = is_last;
  if (this->body_bytes > this->max_body_bytes) {
    return false;
  }
  if (this->exceeds_replay_buffer) {
    return true;
  }
  if (this->body_bytes > this->replayable_bytes ||
      !this->ReserveBody(this->body_bytes)) {
    this->exceeds_replay_buffer = true;
    this->DropBody();
    return true;
  }
  this->body_prefix.append(piece);
  return true;
}

ProxyAttempt::ProxyAttempt(EntryContext& context,
                           AttemptOwner& owner,
                           Exchange& exchange,
                           const StartAttempt& start)
    : context(context),
      owner(owner),
      exchange(exchange),
      start(start),
      request_id(context.request_id_prefix + "-" +
                 std::to_string(start.request.Value()) + "." +
                 std::to_string(start.attempt.Value())),
      trace(exchange.trace),
      start_time(context.clock.Now()),
      buffer_share(context.buffers),
      piece_added(owner.Strand()),
      piece_written(owner.Strand()) {
  if (context.dialect.forwards_request_id) {
    this->request_id = exchange.caller_request_id;
  }
  if (context.spans.IsOn()) {
    this->trace = context.NewChild(exchange.trace);
  }
}

ProxyAttempt::~ProxyAttempt() {
  this->ReleaseConnection(false);
}

net::awaitable<void> ProxyAttempt::Run() {
  const AttemptResult result = co_await this->Execute();
  this->ReleaseConnection(false);
  this->ReportEnd(result);
}

net::awaitable<AttemptResult> ProxyAttempt::Execute() {
  if (!co_await this->AwaitPreviousUpload()) {
    co_return AttemptResult::kNotSent;
  }
  if (!co_await this->Connect()) {
    co_return AttemptResult::kNotSent;
  }
  this->RestartProgressTimeout();
  if (!this->exchange.body_complete) {
    this->StartUpload();
  } else if (!co_await this->SendBuffered()) {
    const bool may_be_answered =
        this->may_have_sent_bytes && !this->cancelled && !this->timed_out;
    if (!may_be_answered) {
      co_return this->ClassifyFailure(AttemptResult::kBroken);
    }
    // The backend server may have answered before it closed the connection.
    this->upload_failed = true;
  }
  if (const auto failed = co_await this->ReadAnswerHead()) {
    co_return *failed;
  }
  if (const auto failed = co_await this->BufferAnswer()) {
    co_return *failed;
  }
  const int status = static_cast<int>(this->parser->get().result_int());
  if (!this->owner.OnAnswerHead(*this, status)) {
    co_return status >= kFirstServerError ? AttemptResult::kServerError
                                          : AttemptResult::kCancelled;
  }
  co_return co_await this->Relay();
}

// Only one attempt at a time may read the body from the caller. The upload of
// an attempt that has ended needs a few turns of the strand to finish. Returns
// false if it has not finished by then, if the body cannot be sent again, or if
// this attempt has been cancelled.
net::awaitable<bool> ProxyAttempt::AwaitPreviousUpload() {
  for (int turn = 0;
       this->exchange.active_uploads > 0 && turn < kMaxUnwindTurns; ++turn) {
    co_await net::post(this->owner.Strand(), net::use_awaitable);
  }
  co_return this->exchange.IsReplayable() &&
      this->exchange.active_uploads == 0 && !this->cancelled;
}

AttemptResult ProxyAttempt::ClassifyFailure(AttemptResult fallback) const {
  if (this->cancelled) {
    return AttemptResult::kCancelled;
  }
  if (!this->may_have_sent_bytes) {
    return AttemptResult::kNotSent;
  }
  return this->timed_out ? AttemptResult::kTimedOut : fallback;
}

void ProxyAttempt::Cancel() {
  this->cancelled = true;
  this->progress_deadline = TimePoint::max();
  if (this->may_have_sent_bytes && !this->end_reported) {
    this->exchange.outcome_unknown = true;
  }
  this->CloseConnection();
  this->stop_writing = true;
  this->piece_added.cancel();
  this->piece_written.cancel();
  if (this->uploading) {
    this->owner.Caller().CancelReads();
  }
}

void ProxyAttempt::OnProgressTimeout() {
  this->progress_deadline = TimePoint::max();
  this->timed_out = true;
  this->CloseConnection();
}

void ProxyAttempt::CloseConnection() {
  if (this->connection) {
    boost::system::error_code ignored;
    this->connection->socket.close(ignored);
  }
}

// Restarts the progress timeout for the backend server. Between the end of the
// request and the head of the answer, short work must also meet the request's
// deadline, and long work may take until that deadline without progress.
void ProxyAttempt::RestartProgressTimeout() {
  if (this->timed_out || this->cancelled) {
    return;
  }
  this->progress_deadline =
      this->context.clock.Now() + this->exchange.policy.progress_timeout;
  if (this->request_sent && !this->head_arrived) {
    const TimePoint deadline = this->exchange.deadline;
    this->progress_deadline =
        this->exchange.work.work_class == WorkClass::kShort
            ? std::min(this->progress_deadline, deadline)
            : std::max(this->progress_deadline, deadline);
  }
  this->owner.ArmWatchdog();
}

void ProxyAttempt::StartCallerTimeout() {
  this->progress_deadline = TimePoint::max();
  this->owner.EnableCallerTimeout(true);
}

net::awaitable<bool> ProxyAttempt::Connect() {
  const TimePoint now = this->context.clock.Now();
  const auto need = this->start.proven_connection ? ConnectionNeed::kProven
                                                  : ConnectionNeed::kAny;
  auto out = this->context.pool.TryCheckOut(
      this->start.backend, need, this->exchange.carriers,
      this->exchange.max_connections, now);
  this->checked_out = out.granted;
  if (!out.granted) {
    co_return false;
  }
  this->connection = std::move(out.connection);
  this->reused = this->connection != nullptr;
  if (this->connection) {
    this->connection_id = this->connection->id;
    co_return true;
  }
  EntryMetrics& metrics = this->context.metrics;
  (out.passed_over ? metrics.connections_for_repeats
                   : metrics.connections_without_idle)
      ->Increment();
  co_return co_await this->OpenConnection();
}

net::awaitable<bool> ProxyAttempt::OpenConnection() {
  const auto address = ParseSocketAddress(this->start.address.empty()
                                              ? this->start.backend.Value()
                                              : this->start.address);
  if (!address) {
    co_return false;
  }
  this->connection = std::make_unique<BackendConnection>(
      this->owner.Caller().Socket().get_executor(),
      this->context.pool.NextId());
  this->connection_id = this->connection->id;
  const TimePoint now = this->context.clock.Now();
  this->progress_deadline =
      std::min(now + kConnectTimeout, this->exchange.deadline);
  this->owner.ArmWatchdog();
  const net::ip::tcp::endpoint endpoint(address->address, address->port);
  const auto [error] =
      co_await this->connection->socket.async_connect(endpoint, kAwait);
  this->last_error = error;
  if (error || this->cancelled || this->timed_out) {
    co_return false;
  }
  SetStreamOptions(
      this->connection->socket,
      std::min(this->exchange.policy.progress_timeout, kMaxUserTimeout));
  co_return true;
}

http::request_header<> ProxyAttempt::BuildHead() const {
  http::request_header<> head = this->exchange.head;
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->exchange.deadline - this->context.clock.Now());
  const Dialect& dialect = this->context.dialect;
  if (!this->request_id.empty()) {
    head.set(dialect.request_id, this->request_id);
  }
  head.set(dialect.deadline,
           std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
  if (!dialect.expected_instance.empty()) {
    head.set(dialect.expected_instance, this->start.expected_instance);
  }
  if (this->trace.span != 0) {
    head.set(kTraceHeader, FormatTraceparent(this->trace));
  }
  return head;
}

// Call before the first byte of the request is written.
void ProxyAttempt::MarkSending() {
  this->may_have_sent_bytes = true;
  // Where each attempt has an id of its own, the ids tell the answers apart.
  if (this->context.dialect.forwards_request_id) {
    this->exchange.carriers.push_back(this->connection->id);
  }
}

net::awaitable<bool> ProxyAttempt::SendBuffered() {
  using Body = http::span_body<const char>;
  http::request<Body> message(this->BuildHead());
  const std::string& body = this->exchange.body_prefix;
  message.body() = Body::value_type(body.data(), body.size());
  if (this->exchange.has_body) {
    message.content_length(body.size());
  }
  this->MarkSending();
  const auto [error, bytes] =
      co_await http::async_write(this->connection->socket, message, kAwait);
  this->may_have_sent_bytes = bytes > 0;
  this->last_error = error;
  this->request_sent = !error;
  this->RestartProgressTimeout();
  co_return !error;
}

net::awaitable<bool> ProxyAttempt::SendHead(http::request_header<> head) {
  http::request<http::empty_body> message(std::move(head));
  http::request_serializer<http::empty_body> serializer(message);
  this->MarkSending();
  const auto [error, bytes] = co_await http::async_write_header(
      this->connection->socket, serializer, kAwait);
  this->may_have_sent_bytes = bytes > 0;
  co_return !error;
}

void ProxyAttempt::StartUpload() {
  this->uploading = true;
  ++this->exchange.active_uploads;
  net::co_spawn(
      this->owner.Strand(), this->Upload(),
      [self = this->shared_from_this(),
       owner_reference = this->owner.HoldReference()](
          const std::exception_ptr& error) { self->OnUploadDone(error); });
}

void ProxyAttempt::OnUploadDone(const std::exception_ptr& error) {
  this->uploading = false;
  --this->exchange.active_uploads;
  if (error) {
    this->upload_failed = true;
    this->owner.EnableCallerTimeout(false);
    this->owner.OnException(error);
  }
  this->owner.Signal();
}

// Runs concurrently with reading the answer, because a backend server may
// answer before it has received the whole request.
net::awaitable<void> ProxyAttempt::Upload() {
  bool sent = co_await this->SendHead(this->BuildHead());
  if (sent) {
    sent = co_await this->UploadBody();
  }
  this->request_sent = sent;
  this->upload_failed = !sent;
  if (sent) {
    this->RestartProgressTimeout();
  }
}

net::awaitable<bool> ProxyAttempt::SendPiece(net::const_buffer piece) {
  net::ip::tcp::socket& socket = this->connection->socket;
  if (!this->exchange.is_chunked) {
    const auto [error, count] =
        co_await net::async_write(socket, net::const_buffers_1(piece), kAwait);
    co_return !error;
  }
  const auto [error, count] =
      co_await net::async_write(socket, http::make_chunk(piece), kAwait);
  co_return !error;
}

net::awaitable<bool> ProxyAttempt::UploadBody() {
  std::vector<char> scratch(kRelayBytes);
  net::const_buffer piece = net::buffer(this->exchange.body_prefix);
  for (;;) {
    if (piece.size() > 0) {
      this->RestartProgressTimeout();
      if (!co_await this->SendPiece(piece)) {
        co_return false;
      }
    }
    if (this->exchange.body_complete) {
      break;
    }
    const auto read = co_await this->ReadUploadPiece(scratch);
    if (this->cancelled || this->end_reported) {
      co_return false;
    }
    if (!read) {
      this->owner.OnCallerFailed(read.error());
      co_return false;
    }
    piece = net::buffer(scratch.data(), *read);
  }
  if (this->exchange.is_chunked) {
    const auto [error, count] = co_await net::async_write(
        this->connection->socket, http::make_chunk_last(), kAwait);
    co_return !error;
  }
  co_return true;
}

// Reads the next piece of the body from the caller, after sending "100
// Continue" if the caller waits for it. The piece is also kept for another
// attempt while the body fits in replayable_bytes.
net::awaitable<tl::expected<std::size_t, BodyError>>
ProxyAttempt::ReadUploadPiece(std::vector<char>& scratch) {
  CallerConnection& caller = this->owner.Caller();
  this->StartCallerTimeout();
  if (std::exchange(this->exchange.must_send_continue, false)) {
    const auto [error, count] = co_await net::async_write(
        caller.Socket(), net::buffer(kContinueResponse), kAwait);
    if (error) {
      co_return tl::unexpected(BodyError::kClosed);
    }
  }
  const auto read = co_await caller.ReadBody(net::buffer(scratch));
  this->owner.EnableCallerTimeout(false);
  if (!read) {
    co_return read;
  }
  if (!this->exchange.AddBodyBytes({scratch.data(), *read},
                                   caller.IsBodyDone())) {
    co_return tl::unexpected(BodyError::kMalformed);
  }
  co_return read;
}

void ProxyAttempt::ReportEnd(AttemptResult result) {
  if (this->end_reported) {
    return;
  }
  this->end_reported = true;
  this->progress_deadline = TimePoint::max();
  if (this->uploading) {
    this->owner.Caller().CancelReads();
  }
  const bool known_not_run =
      result == AttemptResult::kNotSent || result == AttemptResult::kRefused;
  if (!known_not_run && this->may_have_sent_bytes) {
    this->exchange.outcome_unknown = true;
  }
  this->LogEnd(result);
  if (!this->cancelled) {
    this->owner.OnAttemptEnd(*this, result);
  }
  this->WriteSpan(result);
}

void ProxyAttempt::LogEnd(AttemptResult result) const {
  const bool succeeded = result == AttemptResult::kSuccess;
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->context.clock.Now() - this->start_time);
  LogEvent event("attempt_ended",
                 succeeded ? LogSeverity::kInfo : LogSeverity::kWarning);
  event.With("request", this->request_id)
      .With("attempt", this->start.attempt)
      .With("route", this->exchange.work.latency_key)
      .With("backend_server", this->start.backend)
      .With("result", AttemptResultName(result))
      .With("ms", elapsed.count())
      .With("connection", this->reused ? "reused" : "new")
      .With("connection_id", this->connection_id);
  if (!this->start.belief.empty()) {
    event.With("belief", this->start.belief);
  }
  if (this->head_arrived) {
    event.With("status", this->parser->get().result_int());
  }
  if (this->rate_limit) {
    event.With("rate_limit", *this->rate_limit);
  }
  if (this->last_error) {
    event.With("error", this->last_error.message())
        .With("fingerprint", this->exchange.work.fingerprint);
  }
}

void ProxyAttempt::WriteSpan(AttemptResult result) {
  if (!this->context.spans.IsOn()) {
    return;
  }
  Span span{"attempt", this->trace, this->exchange.trace.span, {}, {}, {}};
  span.duration = this->context.clock.Now() - this->start_time;
  span.start = this->context.clock.UnixNow() -
               std::chrono::duration_cast<UnixTime>(span.duration);
  span.tags = {{"backend_server", this->start.backend.Value()},
               {"request", this->request_id},
               {"result", std::string(AttemptResultName(result))}};
  this->context.spans.Write(span);
}

// Returns the connection to the pool if it is reusable; closes it otherwise.
void ProxyAttempt::ReleaseConnection(bool reusable) {
  if (!std::exchange(this->checked_out, false)) {
    return;
  }
  if (reusable && this->connection && !this->cancelled && !this->timed_out) {
    this->context.pool.CheckIn(this->start.backend, std::move(this->connection),
                               this->context.clock.Now());
    return;
  }
  if (this->connection) {
    boost::system::error_code ignored;
    this->connection->socket.close(ignored);
  }
  this->context.pool.Discard(this->start.backend);
}

}  // namespace acacia
