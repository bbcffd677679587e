#include "src/listener.h"

#include <boost/asio.hpp>
#include <chrono>
#include <thread>

#include "src/log_event.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kMaxOpenAttempts = 50;
constexpr std::chrono::milliseconds kOpenRetryDelay{100};
constexpr std::chrono::milliseconds kAcceptRetryDelay{10};

bool MayPass(const error_code& error) {
  return error == boost::asio::error::address_in_use ||
         error == boost::system::errc::address_not_available;
}

}  // namespace

error_code OpenWhenAvailable(const std::string& address,
                             const std::function<error_code()>& open) {
  error_code error = open();
  for (int attempt = 1; MayPass(error) && attempt < kMaxOpenAttempts;
       ++attempt) {
    if (attempt == 1) {
      LogEvent("address_unavailable", LogSeverity::kWarning)
          .With("address", address)
          .With("reason", error.message());
    }
    std::this_thread::sleep_for(kOpenRetryDelay);
    error = open();
  }
  return error;
}

boost::asio::awaitable<void> AwaitAcceptRetry() {
  boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor,
                                  kAcceptRetryDelay);
  co_await pause.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

tl::expected<void, std::string> OpenListener(Tcp::acceptor& acceptor,
                                             const std::string& address,
                                             Availability availability) {
  const auto endpoint = ParseSocketAddress(address);
  if (!endpoint) {
    return tl::unexpected("\"" + address + "\" is not an address");
  }
  const Tcp::endpoint local(endpoint->address, endpoint->port);
  const auto open = [&] {
    error_code failure;
    acceptor.close(failure);
    if (acceptor.open(local.protocol(), failure) ||
        acceptor.set_option(Tcp::acceptor::reuse_address(true), failure) ||
        acceptor.bind(local, failure)) {
      return failure;
    }
    acceptor.listen(Tcp::acceptor::max_listen_connections, failure);
    return failure;
  };
  const error_code error = availability == Availability::kAwaited
                               ? OpenWhenAvailable(address, open)
                               : open();
  if (error) {
    return tl::unexpected(address + ": " + error.message());
  }
  return {};
}

}  // namespace acacia
