// "ip:port" as text: the form in which settings, file sets and messages name an
// address.
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

// A numeric address and a port of 0 to 65535; IPv6 in brackets. Nothing when it
// is anything else.
std::optional<SocketAddress> ParseSocketAddress(const std::string& text);

}  // namespace acacia

#endif  // SRC_SOCKET_ADDRESS_H_
