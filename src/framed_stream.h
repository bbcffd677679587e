// Frames on a TCP stream between our own processes: a 4-byte little-endian
// length, then the bytes. The bytes are a FlatBuffers buffer that the receiver
// verifies before use.
#ifndef SRC_FRAMED_STREAM_H_
#define SRC_FRAMED_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <tl/expected.hpp>

namespace acacia {

enum class FrameError { kClosed, kTooLarge };

inline constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;

boost::asio::awaitable<tl::expected<std::string, FrameError>> ReadFrame(
    boost::asio::ip::tcp::socket& socket);

// One write at a time per socket; the caller keeps frames in order.
boost::asio::awaitable<tl::expected<void, FrameError>> WriteFrame(
    boost::asio::ip::tcp::socket& socket,
    std::string bytes);

}  // namespace acacia

#endif  // SRC_FRAMED_STREAM_H_
