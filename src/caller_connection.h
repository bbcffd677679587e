// The caller's side of one connection: reads request heads and bodies, writes
// answers, and notices that the caller has left while an answer is awaited.
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
  // The caller closed, or the idle time-out passed, between two requests.
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

  // Reads the next request's head; afterwards Head() is valid. Empty lines
  // before it are skipped.
  boost::asio::awaitable<tl::expected<void, HeadError>> ReadHead();

  const boost::beast::http::request_header<>& Head() const {
    return this->parser->get().base();
  }
  bool HasChunkedBody() const { return this->parser->chunked(); }
  // 0 when there is no body or it is chunked.
  std::uint64_t ContentLength() const {
    return this->parser->content_length().value_or(0);
  }
  bool IsBodyDone() const { return this->parser->is_done(); }

  bool WantsKeepAlive() const { return this->parser->get().keep_alive(); }

  // The rest of the stream cannot be told apart into requests any more.
  void Distrust() { this->trusted = false; }
  bool IsTrusted() const { return this->trusted; }

  // Reads at least one byte of the body; 0 at its end.
  boost::asio::awaitable<tl::expected<std::size_t, BodyError>> ReadBody(
      boost::asio::mutable_buffer out);

  // Calls `left` once if the caller closes before StopWatching. Reads nothing;
  // bytes of a next request end the watch.
  void WatchForLeaving(std::function<void()> left);
  void StopWatching();

  // Ends pending reads; the connection stays open.
  void CancelReads();

  boost::asio::ip::tcp::socket& Socket() { return this->socket; }

  // True between two requests when no byte of the next one has arrived.
  bool IsQuiet();

  // Closes at once; pending operations fail.
  void Close();
  // Makes the close visible as a reset, so that an answer that ends with the
  // connection cannot be taken for whole.
  void Reset();

 private:
  bool ParseHead(std::size_t size);

  boost::asio::ip::tcp::socket socket;
  SessionStrand strand;
  std::size_t max_header_bytes;
  boost::beast::flat_buffer buffer;
  std::optional<MessageParser<true>> parser;
  bool reading_head = false;
  bool trusted = true;
  // Tells a cancelled watch from the current one; outlives this object in the
  // watch's handler.
  std::shared_ptr<std::uint64_t> watch = std::make_shared<std::uint64_t>(0);
};

}  // namespace acacia

#endif  // SRC_CALLER_CONNECTION_H_
