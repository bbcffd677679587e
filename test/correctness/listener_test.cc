#include "src/listener.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "src/peer_transport.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;
using Udp = net::ip::udp;

constexpr std::chrono::milliseconds kHeldFor{300};

// Guards FAULT: an entry that was started while another process still had one
// of its addresses ended at once.
TEST_CASE("A listener waits for its address to become free") {
  net::io_context context;
  const net::ip::address loopback = net::ip::address_v4::loopback();
  Tcp::acceptor holder(context, Tcp::endpoint(loopback, 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(holder.local_endpoint().port());
  std::thread release([&] {
    std::this_thread::sleep_for(kHeldFor);
    holder.close();
  });
  Tcp::acceptor acceptor(context);
  CHECK(OpenListener(acceptor, address));
  release.join();
}

TEST_CASE("Datagrams between entries wait for their address to become free") {
  net::io_context context;
  // Outgoing connections have ports of 127.0.0.1, for a minute after their end
  // too, so that a port that is free for datagrams may not be for streams.
  const auto host = net::ip::make_address("127.0.0.2");
  Udp::socket holder(context, Udp::endpoint(host, 0));
  const std::string address =
      "127.0.0.2:" + std::to_string(holder.local_endpoint().port());
  std::thread release([&] {
    std::this_thread::sleep_for(kHeldFor);
    holder.close();
  });
  PeerTransport transport(context.get_executor(),
                          [](const PeerAddress&, const std::string&) {}, {});
  CHECK(transport.Listen(address, ""));
  release.join();
}

// Guards FAULT: an entry that was started on a machine without its address
// ended at once.
TEST_CASE("An address that comes to the machine later is waited for") {
  int attempts = 0;
  const auto error = OpenWhenAvailable("10.1.0.35:8144", [&] {
    return ++attempts < 3 ? boost::system::errc::make_error_code(
                                boost::system::errc::address_not_available)
                          : boost::system::error_code();
  });
  CHECK_FALSE(error);
  CHECK(attempts == 3);
}

TEST_CASE("An address that stays in use is an error that names it") {
  net::io_context context;
  Tcp::acceptor holder(context,
                       Tcp::endpoint(net::ip::address_v4::loopback(), 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(holder.local_endpoint().port());
  Tcp::acceptor acceptor(context);
  const auto opened = OpenListener(acceptor, address);
  REQUIRE_FALSE(opened);
  CHECK(opened.error().find(address) != std::string::npos);
}

}  // namespace
}  // namespace acacia
