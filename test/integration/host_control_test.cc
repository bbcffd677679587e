// Tests the start of an entry on the host platform.
#include "src/host_control.h"

#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "platform/host_adapter.h"
#include "src/entry_server.h"
#include "src/peer_messages.h"
#include "src/socket_address.h"
#include "test/process_fleet.h"

namespace acacia {
namespace {

namespace net = boost::asio;

// Sends what another entry reports, without a pause, until it is destroyed.
class TalkativePeer {
 public:
  explicit TalkativePeer(const std::string& address)
      : thread([this, to = *ParseSocketAddress(address)] {
          ShareHeader header;
          header.instance = "e2";
          header.known.fill(RowVersion(2));
          const std::string message = SerializeShare(header, {});
          net::io_context context;
          net::ip::udp::socket socket(context, net::ip::udp::v4());
          while (!this->stop) {
            boost::system::error_code ignored;
            socket.send_to(net::buffer(message), {to.address, to.port}, 0,
                           ignored);
          }
        }) {}
  ~TalkativePeer() {
    this->stop = true;
    this->thread.join();
  }
  TalkativePeer(const TalkativePeer&) = delete;
  TalkativePeer& operator=(const TalkativePeer&) = delete;

 private:
  std::atomic<bool> stop{false};
  std::thread thread;
};

// Guards FAULT: an entry that was told of changes by other entries before it
// had made its followers of the store ended.
TEST_CASE("An entry that hears of other entries while it starts, starts") {
  FreeAddresses addresses;
  schema::EntrySettingsT settings;
  settings.instance = "e1";
  settings.failure_domain = "a";
  settings.caller_listen = addresses.Take();
  settings.operator_listen = addresses.Take();
  settings.worker_threads = 1;
  settings.host_platform = std::make_unique<schema::HostPlatformSettingsT>();
  settings.host_platform->store_address = addresses.Take();
  settings.host_platform->lookup_listen = addresses.Take();
  settings.host_platform->ready_listen = addresses.Take();
  settings.host_platform->peer_listen = addresses.Take();
  HostAdapter adapter = platform::MakeHostAdapter(*settings.host_platform);
  adapter.make_store = [make = adapter.make_store] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return make();
  };
  const SystemClock clock;
  EntryPolicy policy;
  policy.dialect = adapter.dialect;
  EntryServer server(settings, clock, std::move(policy));
  HostControl control(settings, adapter, server, clock);
  const TalkativePeer peer(settings.host_platform->peer_listen);
  // Threads that already run, as in an order of the starts that this one does
  // not ask for.
  REQUIRE(server.Listen());
  server.Start();
  REQUIRE(control.Start());
  Await("the entry to answer", [&] {
    return SendHttpRequest(settings.host_platform->ready_listen, "GET",
                           adapter.ready_path)
               .status == 503;
  });
}

}  // namespace
}  // namespace acacia
