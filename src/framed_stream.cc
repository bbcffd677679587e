#include "src/framed_stream.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <utility>

namespace acacia {
namespace {

namespace net = boost::asio;
using Header = std::array<unsigned char, sizeof(std::uint32_t)>;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// The buffer of a frame grows in steps of this size as bytes arrive, so that
// an announced length alone allocates at most one step.
constexpr std::size_t kMaxReadStepBytes = 256 * 1024;

}  // namespace

net::awaitable<tl::expected<std::string, FrameError>> ReadFrame(
    net::ip::tcp::socket& socket,
    std::size_t max_bytes) {
  Header header;
  const auto [header_error, header_read] =
      co_await net::async_read(socket, net::buffer(header), kAwait);
  if (header_error) {
    co_return tl::unexpected(FrameError::kClosed);
  }
  const std::uint32_t length = boost::endian::load_little_u32(header.data());
  if (length > max_bytes) {
    co_return tl::unexpected(FrameError::kTooLarge);
  }
  std::string bytes;
  while (bytes.size() < length) {
    const std::size_t begin = bytes.size();
    bytes.resize(std::min<std::size_t>(length, begin + kMaxReadStepBytes));
    const auto [body_error, body_read] = co_await net::async_read(
        socket, net::buffer(bytes.data() + begin, bytes.size() - begin),
        kAwait);
    if (body_error) {
      co_return tl::unexpected(FrameError::kClosed);
    }
  }
  co_return bytes;
}

net::awaitable<tl::expected<void, FrameError>> WriteFrame(
    net::ip::tcp::socket& socket,
    std::string bytes) {
  if (bytes.size() > kMaxFrameBytes) {
    co_return tl::unexpected(FrameError::kTooLarge);
  }
  Header header;
  boost::endian::store_little_u32(header.data(),
                                  static_cast<std::uint32_t>(bytes.size()));
  const std::array<net::const_buffer, 2> buffers{net::buffer(header),
                                                 net::buffer(bytes)};
  const auto [error, written] =
      co_await net::async_write(socket, buffers, kAwait);
  if (error) {
    co_return tl::unexpected(FrameError::kClosed);
  }
  co_return tl::expected<void, FrameError>();
}

}  // namespace acacia
