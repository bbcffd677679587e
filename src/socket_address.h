// Parses addresses of the form "ip:port", as used in settings, file sets and
// messages.
#ifndef SRC_SOCKET_ADDRESS_H_
#define SRC_SOCKET_ADDRESS_H_

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace acacia {

struct SocketAddress {
  boost::asio::ip::address address;
  std::uint16_t port = 0;
};

// Parses a numeric IP address, IPv6 in brackets, and a port from 0 to 65535.
// Returns nullopt if `text` is anything else.
std::optional<SocketAddress> ParseSocketAddress(const std::string& text);

}  // namespace acacia

#endif  // SRC_SOCKET_ADDRESS_H_
