#include "src/peer_transport.h"

#include <map>
#include <vector>

#include "src/agent_core.h"
#include "test/io_fixture.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;

struct Received {
  PeerAddress from;
  std::string bytes;
};

// A transport that records the messages it receives.
struct Peer {
  explicit Peer(net::io_context& context,
                const PeerTransportOptions& options = {})
      : transport(
            context.get_executor(),
            [this](const PeerAddress& from, const std::string& bytes) {
              this->received.push_back({from, bytes});
            },
            options) {
    REQUIRE(this->transport.Listen("127.0.0.1:0", ""));
  }

  std::vector<Received> received;
  PeerTransport transport;
};

TEST_CASE("datagrams and frames arrive with the sender's listening address") {
  net::io_context context;
  Peer a(context);
  Peer b(context);
  const std::string large(3 * 1024 * 1024, 'x');
  a.transport.SendDatagram(b.transport.Address(), "hello");
  a.transport.SendFrame(b.transport.Address(), large);
  a.transport.SendFrame(b.transport.Address(), "second");
  RunUntil(context, [&] { return b.received.size() == 3; });
  std::map<std::string, int> seen;
  for (const Received& message : b.received) {
    CHECK(message.from == a.transport.Address());
    ++seen[message.bytes];
  }
  CHECK(seen.size() == 3);
  CHECK(seen[large] == 1);
  // The answer goes to that address.
  b.transport.SendFrame(b.received[0].from, "answer");
  RunUntil(context, [&] { return a.received.size() == 1; });
  CHECK(a.received[0].from == b.transport.Address());
}

TEST_CASE("what cannot be sent is dropped and counted") {
  net::io_context context;
  PeerTransportOptions small;
  small.max_queued_bytes_per_peer = 10;
  small.max_outgoing_connections = 1;
  Peer a(context, small);
  Peer b(context);
  const PeerAddress to = b.transport.Address();
  const auto& counters = a.transport.Counters();
  a.transport.SendDatagram(to, std::string(kMaxDatagramBytes + 1, 'x'));
  CHECK(counters.dropped == 1);
  a.transport.SendDatagram(PeerAddress("not an address"), "x");
  CHECK(counters.dropped == 2);
  a.transport.SendFrame(to, "fits");
  a.transport.SendFrame(to, "too much");
  CHECK(counters.dropped == 3);
  a.transport.SendFrame(PeerAddress("127.0.0.1:1"), "one connection only");
  CHECK(counters.dropped == 4);
  RunUntil(context, [&] { return b.received.size() == 1; });
  CHECK(b.received[0].bytes == "fits");
}

TEST_CASE(
    "frames for an unreachable peer are dropped, later ones try it again") {
  net::io_context context;
  Peer a(context);
  Tcp::acceptor taken(context, {net::ip::make_address("127.0.0.1"), 0});
  const std::uint16_t port = taken.local_endpoint().port();
  taken.close();
  const std::string address = "127.0.0.1:" + std::to_string(port);
  a.transport.SendFrame(PeerAddress(address), "lost");
  a.transport.SendFrame(PeerAddress(address), "lost");
  RunUntil(context, [&] { return a.transport.Counters().dropped == 2; });
  std::vector<Received> received;
  PeerTransport late(context.get_executor(),
                     [&](const PeerAddress& from, const std::string& bytes) {
                       received.push_back({from, bytes});
                     });
  REQUIRE(late.Listen(address, ""));
  a.transport.SendFrame(PeerAddress(address), "now");
  RunUntil(context, [&] { return received.size() == 1; });
  CHECK(received[0].bytes == "now");
}

// Sends raw bytes on a new connection and closes it.
void SendRaw(net::io_context& context,
             const PeerAddress& to,
             const std::string& bytes) {
  Tcp::socket socket(context);
  const std::string& text = to.Value();
  const int port = std::stoi(text.substr(text.rfind(':') + 1));
  socket.connect(
      {net::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
  net::write(socket, net::buffer(bytes));
  socket.shutdown(Tcp::socket::shutdown_send);
}

TEST_CASE("malformed streams are counted and reach no handler") {
  net::io_context context;
  Peer a(context);
  const auto& counters = a.transport.Counters();
  const std::vector<std::string> streams{
      std::string("\xff\xff\xff\xff", 4),  // announces 4 GiB
      std::string("\x05\0\0\0hello", 9),   // not an address
      std::string("\x64\0\0\0", 4) + std::string(100, '1'),
  };
  for (std::size_t i = 0; i < streams.size(); ++i) {
    SendRaw(context, a.transport.Address(), streams[i]);
    RunUntil(context, [&] { return counters.malformed == i + 1; });
  }
  // A truncated frame is neither counted as malformed nor delivered, and the
  // transport still works.
  SendRaw(context, a.transport.Address(), std::string("\x05\0\0\0he", 6));
  Peer b(context);
  b.transport.SendFrame(a.transport.Address(), "fine");
  RunUntil(context, [&] { return !a.received.empty(); });
  CHECK(a.received.size() == 1);
  CHECK(counters.malformed == streams.size());
}

// Guards FAULT: an exception while a datagram was handled ended the receiving
// without a trace.
TEST_CASE(
    "datagrams and frames are received on after one whose handler threw") {
  net::io_context context;
  std::vector<std::string> received;
  PeerTransport receiver(context.get_executor(),
                         [&](const PeerAddress&, const std::string& bytes) {
                           if (bytes == "bad") {
                             throw std::bad_alloc();
                           }
                           received.push_back(bytes);
                         },
                         {});
  REQUIRE(receiver.Listen("127.0.0.1:0", ""));
  Peer sender(context);
  for (int i = 0; i < 3; ++i) {
    sender.transport.SendDatagram(receiver.Address(), "bad");
    sender.transport.SendFrame(receiver.Address(), "bad");
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
  }
  // A frame that fails ends its connection.
  sender.transport.SendFrame(receiver.Address(), "frame");
  context.restart();
  context.run_for(std::chrono::milliseconds(600));
  sender.transport.SendFrame(receiver.Address(), "frame");
  sender.transport.SendDatagram(receiver.Address(), "datagram");
  RunUntil(context, [&] {
    return std::count(received.begin(), received.end(), "datagram") == 1 &&
           std::count(received.begin(), received.end(), "frame") >= 1;
  });
}

}  // namespace
}  // namespace acacia
