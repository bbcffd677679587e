// Opens the listening socket of a server.
#ifndef SRC_LISTENER_H_
#define SRC_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <tl/expected.hpp>

namespace acacia {

// Binds `acceptor` to `address` ("ip:port"; port 0 selects a free port) and
// listens. The error names the address and the reason.
tl::expected<void, std::string> OpenListener(
    boost::asio::ip::tcp::acceptor& acceptor,
    const std::string& address);

}  // namespace acacia

#endif  // SRC_LISTENER_H_
