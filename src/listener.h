// Opens the listening socket of a server.
#ifndef SRC_LISTENER_H_
#define SRC_LISTENER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace acacia {

// Calls `open` until it succeeds or fails for another reason than that its
// address is in use or not on this machine, for some seconds at most. A process
// that is about to end may hold the address, or, for a port that the system
// also gives to outgoing connections, one of these; a machine that has just
// started may get its address a moment later. Blocks; `address` is for the log.
boost::system::error_code OpenWhenAvailable(
    const std::string& address,
    const std::function<boost::system::error_code()>& open);

// Pauses an accept loop after an error. For example, the process may be out of
// file descriptors until some have been closed.
boost::asio::awaitable<void> AwaitAcceptRetry();

// What to do while an address is not available.
enum class Availability { kAwaited, kRequired };

// Binds `acceptor` to `address` ("ip:port"; port 0 selects a free port) and
// listens. An address whose availability is awaited is opened by
// OpenWhenAvailable. The error names the address and the reason.
tl::expected<void, std::string> OpenListener(
    boost::asio::ip::tcp::acceptor& acceptor,
    const std::string& address,
    Availability availability = Availability::kAwaited);

}  // namespace acacia

#endif  // SRC_LISTENER_H_
