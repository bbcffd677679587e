// Length-prefixed frames on a TCP stream between processes of this project. A
// frame is a 4-byte little-endian length followed by that many bytes, which
// hold a FlatBuffers buffer that the receiver verifies before use.
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

// Returns the bytes of the next frame. kTooLarge: the announced length exceeds
// `max_bytes`. kClosed: the stream ended or failed.
boost::asio::awaitable<tl::expected<std::string, FrameError>> ReadFrame(
    boost::asio::ip::tcp::socket& socket,
    std::size_t max_bytes = kMaxFrameBytes);

// Only one write per socket may run at a time; the calling code keeps
// frames in order.
boost::asio::awaitable<tl::expected<void, FrameError>> WriteFrame(
    boost::asio::ip::tcp::socket& socket,
    std::string bytes);

}  // namespace acacia

#endif  // SRC_FRAMED_STREAM_H_
