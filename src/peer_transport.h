// Carries messages between agents on one address: datagrams over UDP, larger
// messages as frames over TCP. Both may be lost; nothing is retried here.
//
// A TCP connection carries frames one way and begins with a frame that names
// the sender's own peer address, so that a receiver knows whom to answer.
// Connections are kept for a while and bounded, as are queues. Use from one
// strand.
#ifndef SRC_PEER_TRANSPORT_H_
#define SRC_PEER_TRANSPORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/ids.h"

namespace acacia {

struct PeerTransportOptions {
  std::size_t max_outgoing_connections = 64;
  std::size_t max_incoming_connections = 256;
  std::size_t max_queued_bytes_per_peer = 64 * 1024 * 1024;
  Duration connect_timeout = std::chrono::seconds(2);
  // A connection without a frame for this long is closed by its sender.
  Duration idle_timeout = std::chrono::seconds(30);
  // Time without progress in a frame, or between frames, for a receiver.
  Duration receive_timeout = std::chrono::seconds(60);
};

struct PeerTransportCounters {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  // Messages given up: too large, no connection, a full queue.
  std::uint64_t dropped = 0;
  // Datagrams or frames that were too large or out of form.
  std::uint64_t malformed = 0;
};

class PeerTransport {
 public:
  // `from` is the address at which the sender listens.
  using Handler =
      std::function<void(const PeerAddress& from, const std::string& bytes)>;

  PeerTransport(const boost::asio::any_io_executor& executor,
                Handler handler,
                const PeerTransportOptions& options = {});
  ~PeerTransport();

  // Opens both sockets on `listen`. `advertise` is the address that peers are
  // told; empty: the one listened on. The error is the system's message.
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
