// Carries messages between agents, or between entries, on one address: small
// ones as UDP datagrams, larger ones as frames over TCP. Both may be lost;
// nothing is retried here.
//
// A TCP connection carries frames one way and begins with a frame that holds
// the sender's own peer address, which tells the receiver where to send
// answers. Idle connections are closed after a while; connections and queues
// are bounded. Use from one strand.
#ifndef SRC_PEER_TRANSPORT_H_
#define SRC_PEER_TRANSPORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/framed_stream.h"
#include "src/ids.h"

namespace acacia {

struct PeerTransportOptions {
  std::size_t max_outgoing_connections = 64;
  std::size_t max_incoming_connections = 256;
  std::size_t max_queued_bytes_per_peer = 64 * 1024 * 1024;
  // A connection that announces a longer frame is closed.
  std::size_t max_frame_bytes = kMaxFrameBytes;
  Duration connect_timeout = std::chrono::seconds(2);
  // The sender closes a connection that carried no frame for this long.
  Duration idle_timeout = std::chrono::seconds(30);
  // Bounds the time from one frame to the end of the next for a receiver, and
  // the time to write a frame for a sender.
  Duration receive_timeout = std::chrono::seconds(60);
};

struct PeerTransportCounters {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  // Messages that were discarded: too large, no connection or a full queue.
  // Also refused incoming connections.
  std::uint64_t dropped = 0;
  // Datagrams or frames that were too large or malformed.
  std::uint64_t malformed = 0;
};

class PeerTransport {
 public:
  // `from` is the address on which the sender listens.
  using Handler =
      std::function<void(const PeerAddress& from, const std::string& bytes)>;

  PeerTransport(const boost::asio::any_io_executor& executor,
                Handler handler,
                const PeerTransportOptions& options = {});
  ~PeerTransport();

  // Opens both sockets on `listen`. `advertise` is the address given to peers;
  // empty means the one listened on. The error is the system's message.
  tl::expected<void, std::string> Listen(const std::string& listen,
                                         const std::string& advertise);
  PeerAddress Address() const;
  void Stop();

  void SendDatagram(const PeerAddress& to, std::string bytes);
  void SendFrame(const PeerAddress& to, std::string bytes);

  const PeerTransportCounters& Counters() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_PEER_TRANSPORT_H_
