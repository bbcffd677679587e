// The socket of one connection from a caller. Reads request heads and bodies,
// gives access to the socket for writing answers, and detects that the caller
// closes the connection before its answer is written.
//
// Not thread-safe; all calls and completions run on the session's strand.
#ifndef SRC_CALLER_CONNECTION_H_
#define SRC_CALLER_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/error_kind.h"
#include "src/message_reader.h"

namespace acacia {

using SessionStrand = boost::asio::strand<boost::asio::any_io_executor>;

enum class HeadError {
  // The connection was closed, by the caller or by a timeout, before the head
  // was complete.
  kClosed,
  kMalformed,
  kTooLarge,
};

enum class BodyError { kClosed, kMalformed };

class CallerConnection {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   SessionStrand strand,
                   std::size_t max_header_bytes);

  // Reads the next request's head, after which Head() is valid. Skips empty
  // lines before it.
  boost::asio::awaitable<tl::expected<void, HeadError>> ReadHead();

  const boost::beast::http::request_header<>& Head() const {
    return this->parser->get().base();
  }
  bool HasChunkedBody() const { return this->parser->chunked(); }
  // 0 if there is no body or it is chunked.
  std::uint64_t ContentLength() const {
    return this->parser->content_length().value_or(0);
  }
  bool IsBodyDone() const { return this->parser->is_done(); }

  bool WantsKeepAlive() const { return this->parser->get().keep_alive(); }

  // Records that the start of the next request can no longer be determined, so
  // the connection must be closed.
  void MarkOutOfSync() { this->in_sync = false; }
  bool IsInSync() const { return this->in_sync; }

  // Reads at least one byte of the body into `out` and returns the number of
  // bytes; 0 at the end of the body.
  boost::asio::awaitable<tl::expected<std::size_t, BodyError>> ReadBody(
      boost::asio::mutable_buffer out);

  // Calls `on_closed` once if the caller closes the connection before
  // StopWatching. Consumes no input; the watch ends when bytes of the next
  // request arrive.
  void WatchForClose(std::function<void()> on_closed);
  void StopWatching();

  // Cancels pending operations; the connection stays open.
  void CancelReads();

  boost::asio::ip::tcp::socket& Socket() { return this->socket; }

  // True between two requests if no byte of the next one has arrived.
  bool IsIdle();

  // Closes the connection at once; pending operations fail.
  void Close();
  // While set, the connection ends with a TCP reset, also when the process
  // ends.
  void SetResetOnClose(bool enabled);
  // Closes the connection with a TCP reset, so that the caller cannot take a
  // truncated answer that ends with the connection for a complete one.
  void Reset();

 private:
  bool ParseHead(std::size_t size);

  boost::asio::ip::tcp::socket socket;
  SessionStrand strand;
  std::size_t max_header_bytes;
  boost::beast::flat_buffer buffer;
  std::optional<MessageParser<true>> parser;
  bool reading_head = false;
  bool in_sync = true;
  // Id of the current watch, by which a handler detects that its watch was
  // cancelled. Shared because a handler may outlive this object.
  std::shared_ptr<std::uint64_t> current_watch =
      std::make_shared<std::uint64_t>(0);
};

}  // namespace acacia

#endif  // SRC_CALLER_CONNECTION_H_
