// The part of ProxyAttempt that relays an answer of which a part is still to
// come. The attempt reads ahead of the caller while WriteAnswer writes.
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <utility>
#include <vector>

#include "src/log_event.h"
#include "src/proxy_attempt.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// How often an attempt without room looks again: other answers may have freed
// some, and the caller may have read.
constexpr Duration kRoomPoll = std::chrono::milliseconds(100);

}  // namespace

// `first` is the part of the body that has already been read.
net::awaitable<AttemptResult> ProxyAttempt::RelayAhead(
    http::response<http::buffer_body> answer,
    std::string_view first) {
  this->ahead.emplace(this->context.buffers);
  if (!first.empty()) {
    this->ahead->Add(first);
  }
  this->StartWriting(std::move(answer));
  std::optional<AttemptResult> failure = co_await this->ReadRest();
  this->progress_deadline = TimePoint::max();
  if (failure) {
    this->ReleaseConnection(false);
    co_await this->WriteWhatWasRead();
  } else if (!this->uploading) {
    this->OnAnswerReceived();
  }
  // The end of an attempt that uploads cancels operations on the caller's
  // connection, so it is reported when the answer has been written.
  this->answer_read = !failure;
  this->piece_added.cancel();
  while (this->writing) {
    this->piece_written.expires_at(TimePoint::max());
    co_await this->piece_written.async_wait(kAwait);
  }
  if (failure && !this->write_failed) {
    co_return *failure;
  }
  this->FinishRelay(!this->write_failed);
  co_return this->final_result;
}

// Reads the answer to its end. Returns why that failed; the result does not
// count if the caller failed.
net::awaitable<std::optional<AttemptResult>> ProxyAttempt::ReadRest() {
  std::vector<char> scratch(kRelayBytes);
  while (!this->parser->is_done()) {
    if (!co_await this->AwaitRoom()) {
      co_return AttemptResult::kCancelled;
    }
    this->RestartProgressTimeout();
    const BodyReadResult piece = co_await this->ReadAnswerPiece(scratch);
    if (piece.error) {
      this->last_error = piece.error;
      co_return this->ClassifyFailure(AttemptResult::kTruncated);
    }
    if (piece.bytes > 0) {
      this->ahead->Add({scratch.data(), piece.bytes});
      this->piece_added.cancel();
    }
  }
  co_return std::nullopt;
}

// Waits until the next piece may be read. Returns false if the caller has
// failed, or has left no room and not read for too long.
net::awaitable<bool> ProxyAttempt::AwaitRoom() {
  UnreadTimeout timeout;
  while (!this->write_failed && !this->cancelled) {
    if (this->ahead->Reserve()) {
      co_return true;
    }
    this->progress_deadline = TimePoint::max();
    if (this->IsUnread(timeout)) {
      this->EndUnreadAnswer();
      co_return false;
    }
    this->piece_written.expires_after(kRoomPoll);
    co_await this->piece_written.async_wait(kAwait);
  }
  co_return false;
}

// Writes the pieces that were read before the answer broke off, unless the
// caller does not read.
net::awaitable<void> ProxyAttempt::WriteWhatWasRead() {
  UnreadTimeout timeout;
  while (this->writing && !this->write_failed && !this->ahead->IsEmpty()) {
    if (this->IsUnread(timeout)) {
      this->EndUnreadAnswer();
      co_return;
    }
    this->piece_written.expires_after(kRoomPoll);
    co_await this->piece_written.async_wait(kAwait);
  }
  this->stop_writing = true;
}

bool ProxyAttempt::IsUnread(UnreadTimeout& timeout) {
  return timeout.HasPassed(
      UnacknowledgedBytes(this->owner.Caller().Socket()).value_or(0),
      this->ahead->PoppedBlocks(), this->context.clock.Now());
}

// The caller sees that the answer is incomplete: the connection ends with a
// reset.
void ProxyAttempt::EndUnreadAnswer() {
  if (this->cancelled || std::exchange(this->stop_writing, true)) {
    return;
  }
  this->context.metrics.unread_answers->Increment();
  LogEvent("answer_unread", LogSeverity::kWarning)
      .With("request", this->request_id)
      .With("route", this->exchange.work.latency_key)
      .With("backend_server", this->start.backend)
      .With("blocks_written", this->ahead->PoppedBlocks())
      .With("held_bytes", this->context.buffers.HeldBytes());
  this->write_failed = true;
  // A reset frees what the kernel holds for the caller.
  this->owner.Caller().SetResetOnClose(true);
  this->owner.Caller().CancelReads();
}

void ProxyAttempt::StartWriting(http::response<http::buffer_body> answer) {
  this->writing = true;
  net::co_spawn(this->owner.Strand(), this->WriteAnswer(std::move(answer)),
                [self = this->shared_from_this(),
                 owner_reference = this->owner.HoldReference()](
                    const std::exception_ptr& error) {
                  self->writing = false;
                  if (error) {
                    self->write_failed = true;
                    self->CloseConnection();
                    self->owner.OnException(error);
                  }
                  self->piece_written.cancel();
                });
}

// Writes the head, and the pieces as they are read. An answer that broke off
// gets no last piece.
net::awaitable<void> ProxyAttempt::WriteAnswer(
    http::response<http::buffer_body> answer) {
  http::response_serializer<http::buffer_body> serializer(answer);
  for (bool is_first = true, done = false; !done; is_first = false) {
    while (!is_first && this->ahead->IsEmpty() && !this->answer_read &&
           !this->stop_writing) {
      this->piece_added.expires_at(TimePoint::max());
      co_await this->piece_added.async_wait(kAwait);
    }
    if (this->stop_writing) {
      co_return;
    }
    const bool has_block = !this->ahead->IsEmpty();
    auto& body = answer.body();
    body.data = nullptr;
    body.size = 0;
    if (has_block) {
      this->ahead->BeginWrite();
      std::string& block = this->ahead->Front();
      body.data = block.data();
      body.size = block.size();
    }
    done = this->answer_read && (!has_block || this->ahead->HasOneBlock());
    body.more = !done;
    this->owner.EnableCallerTimeout(true);
    const auto [error, bytes] = co_await http::async_write(
        this->owner.Caller().Socket(), serializer, kAwait);
    this->owner.EnableCallerTimeout(false);
    if (has_block) {
      this->ahead->Pop();
    }
    if (error && error != http::error::need_buffer) {
      this->write_failed = true;
      this->CloseConnection();
      co_return;
    }
    this->piece_written.cancel();
  }
}

}  // namespace acacia
