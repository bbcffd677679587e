#include "src/caller_connection.h"

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cerrno>
#include <string_view>
#include <utility>

#include "src/caller_headers.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string_view TextOf(const boost::beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

void SkipEmptyLines(boost::beast::flat_buffer& buffer) {
  while (TextOf(buffer).starts_with("\r\n")) {
    buffer.consume(2);
  }
}

}  // namespace

CallerConnection::CallerConnection(net::ip::tcp::socket socket,
                                   SessionStrand strand,
                                   std::size_t max_header_bytes)
    : socket(std::move(socket)),
      strand(std::move(strand)),
      max_header_bytes(max_header_bytes) {}

net::awaitable<tl::expected<void, HeadError>> CallerConnection::ReadHead() {
  this->parser.reset();
  this->buffer.shrink_to_fit();
  for (;;) {
    SkipEmptyLines(this->buffer);
    const std::string_view text = TextOf(this->buffer);
    this->reading_head = true;
    const std::size_t end = text.find(kHeadEnd);
    const std::size_t size =
        end == std::string_view::npos ? text.size() : end + kHeadEnd.size();
    if (size > this->max_header_bytes) {
      this->MarkOutOfSync();
      co_return tl::unexpected(HeadError::kTooLarge);
    }
    if (HasAmbiguousBytes(text.substr(0, size))) {
      this->MarkOutOfSync();
      co_return tl::unexpected(HeadError::kMalformed);
    }
    if (end != std::string_view::npos) {
      if (!this->ParseHead(size)) {
        this->MarkOutOfSync();
        co_return tl::unexpected(HeadError::kMalformed);
      }
      this->reading_head = false;
      co_return tl::expected<void, HeadError>();
    }
    const auto error = co_await FillBuffer(this->socket, this->buffer,
                                           kMaxRequestHeadReadBytes);
    if (error) {
      co_return tl::unexpected(HeadError::kClosed);
    }
  }
}

bool CallerConnection::ParseHead(std::size_t size) {
  this->parser.emplace();
  this->parser->header_limit(static_cast<std::uint32_t>(size) + 1);
  this->parser->body_limit(boost::none);
  boost::system::error_code error;
  const net::const_buffer head(this->buffer.data().data(), size);
  this->buffer.consume(this->parser->put(head, error));
  return !error && this->parser->is_header_done();
}

net::awaitable<tl::expected<std::size_t, BodyError>> CallerConnection::ReadBody(
    net::mutable_buffer out) {
  const BodyReadResult piece = co_await ReadSomeBody<true>(
      this->socket, this->buffer, *this->parser, out);
  if (!piece.error) {
    co_return piece.bytes;
  }
  const bool malformed =
      piece.error.category() ==
          http::make_error_code(http::error::bad_chunk).category() &&
      piece.error != http::error::partial_message;
  co_return tl::unexpected(malformed ? BodyError::kMalformed
                                     : BodyError::kClosed);
}

void CallerConnection::WatchForClose(std::function<void()> on_closed) {
  if (this->buffer.size() > 0) {
    return;
  }
  const std::uint64_t watch_id = ++*this->current_watch;
  const int handle = this->socket.native_handle();
  this->socket.async_wait(
      net::ip::tcp::socket::wait_read,
      net::bind_executor(
          this->strand, [current = this->current_watch, watch_id, handle,
                         on_closed = std::move(on_closed)](
                            const boost::system::error_code& error) {
            if (*current != watch_id ||
                error == net::error::operation_aborted) {
              return;
            }
            char byte = 0;
            const ssize_t got =
                ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got == 0 ||
                (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
              on_closed();
            }
          }));
}

bool CallerConnection::IsIdle() {
  if (!this->reading_head || this->buffer.size() > 0) {
    return false;
  }
  char byte = 0;
  const ssize_t got =
      ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got <= 0;
}

void CallerConnection::StopWatching() {
  ++*this->current_watch;
  this->CancelReads();
}

void CallerConnection::CancelReads() {
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
}

void CallerConnection::Close() {
  ++*this->current_watch;
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void CallerConnection::SetResetOnClose(bool enabled) {
  boost::system::error_code ignored;
  this->socket.set_option(net::socket_base::linger(enabled, 0), ignored);
}

void CallerConnection::Reset() {
  this->SetResetOnClose(true);
  this->Close();
}

}  // namespace acacia
