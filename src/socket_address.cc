#include "src/socket_address.h"

#include <charconv>

namespace acacia {

std::optional<SocketAddress> ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  SocketAddress result;
  result.address = boost::asio::ip::make_address(host, error);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, result.port);
  if (error || begin == end || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return result;
}

}  // namespace acacia
