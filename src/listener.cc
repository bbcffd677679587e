#include "src/listener.h"

#include "src/socket_address.h"

namespace acacia {

using Tcp = boost::asio::ip::tcp;

tl::expected<void, std::string> OpenListener(Tcp::acceptor& acceptor,
                                             const std::string& address) {
  const auto endpoint = ParseSocketAddress(address);
  if (!endpoint) {
    return tl::unexpected("\"" + address + "\" is not an address");
  }
  const Tcp::endpoint local(endpoint->address, endpoint->port);
  boost::system::error_code error;
  if (acceptor.open(local.protocol(), error) ||
      acceptor.set_option(Tcp::acceptor::reuse_address(true), error) ||
      acceptor.bind(local, error) ||
      acceptor.listen(Tcp::acceptor::max_listen_connections, error)) {
    return tl::unexpected(address + ": " + error.message());
  }
  return {};
}

}  // namespace acacia
