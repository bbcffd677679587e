// Reads HTTP messages incrementally from a socket through a Beast parser: first
// the head, then the body into buffers that the calling code provides. Buffered
// bytes are parsed before the socket is read again, so a small message needs
// one read.
#ifndef SRC_MESSAGE_READER_H_
#define SRC_MESSAGE_READER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace acacia {

// The most bytes of one socket read for a body or for an answer's head.
inline constexpr std::size_t kMaxReadBytes = 16 * 1024;
// The most bytes of one socket read for a request's head. Heads are small, and
// each idle connection keeps a buffer of this size.
inline constexpr std::size_t kMaxRequestHeadReadBytes = 2 * 1024;

// A body's parser leaves at most this many bytes unparsed: a longer chunk
// header or trailer is refused.
inline constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

template <bool kIsRequest>
using MessageParser =
    boost::beast::http::parser<kIsRequest, boost::beast::http::buffer_body>;

// The result of reading a part of a body.
struct BodyReadResult {
  boost::system::error_code error;
  std::size_t bytes = 0;
};

// Parses buffered bytes into `out`. The error is `need_more` if the buffer
// yields no byte of the body and the socket must be read first.
template <bool kIsRequest>
BodyReadResult ParseBufferedBody(boost::beast::flat_buffer& buffer,
                                 MessageParser<kIsRequest>& parser,
                                 boost::asio::mutable_buffer out) {
  namespace http = boost::beast::http;
  BodyReadResult piece;
  auto& body = parser.get().body();
  body.data = out.data();
  body.size = out.size();
  while (!parser.is_done() && piece.bytes < out.size()) {
    if (buffer.size() == 0) {
      piece.error = http::error::need_more;
      break;
    }
    buffer.consume(parser.put(buffer.data(), piece.error));
    piece.bytes = out.size() - body.size;
    if (piece.error == http::error::need_buffer) {
      piece.error = {};
      break;
    }
    if (piece.error) {
      break;
    }
  }
  if (piece.bytes > 0 && piece.error == http::error::need_more) {
    piece.error = {};
  }
  return piece;
}

// Reads from the socket once and appends at most `max_bytes` bytes to the
// buffer.
inline boost::asio::awaitable<boost::system::error_code> FillBuffer(
    boost::asio::ip::tcp::socket& socket,
    boost::beast::flat_buffer& buffer,
    std::size_t max_bytes) {
  constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
  const auto space = buffer.prepare(max_bytes);
  const auto [error, bytes] = co_await socket.async_read_some(space, kAwait);
  buffer.commit(bytes);
  co_return error;
}

// Reads at least one byte of the body, or none if the message is complete. The
// error is `partial_message` if the stream ends before the message does, and
// `buffer_overflow` if the parser takes none of kMaxUnparsedBytes.
template <bool kIsRequest>
boost::asio::awaitable<BodyReadResult> ReadSomeBody(
    boost::asio::ip::tcp::socket& socket,
    boost::beast::flat_buffer& buffer,
    MessageParser<kIsRequest>& parser,
    boost::asio::mutable_buffer out) {
  namespace http = boost::beast::http;
  for (;;) {
    BodyReadResult piece = ParseBufferedBody<kIsRequest>(buffer, parser, out);
    if (piece.error != http::error::need_more) {
      co_return piece;
    }
    if (buffer.size() >= kMaxUnparsedBytes) {
      piece.error = http::error::buffer_overflow;
      co_return piece;
    }
    const auto error = co_await FillBuffer(socket, buffer, kMaxReadBytes);
    if (error == boost::asio::error::eof) {
      piece.error = {};
      parser.put_eof(piece.error);
      co_return piece;
    }
    if (error) {
      piece.error = error;
      co_return piece;
    }
  }
}

}  // namespace acacia

#endif  // SRC_MESSAGE_READER_H_
