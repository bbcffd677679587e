#include "src/peer_transport.h"

#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "src/agent_core.h"
#include "src/framed_stream.h"
#include "src/keep_running.h"
#include "src/listener.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;
using Udp = net::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::size_t kMaxAddressBytes = 64;
// Datagrams read per wake-up.
constexpr int kMaxDatagramBatch = 64;

std::string ToText(const net::ip::address& address, std::uint16_t port) {
  const std::string text = address.to_string();
  return (address.is_v6() ? "[" + text + "]" : text) + ":" +
         std::to_string(port);
}

// A connection to a peer and the frames queued for it.
struct Outgoing {
  explicit Outgoing(const net::any_io_executor& executor)
      : socket(executor), wake(executor) {}

  Tcp::socket socket;
  // Cancelled when a frame is queued; expires when the connection is idle.
  net::steady_timer wake;
  std::deque<std::string> frames;
  std::size_t queued_bytes = 0;
};

}  // namespace

struct PeerTransport::State : std::enable_shared_from_this<State> {
  State(const net::any_io_executor& executor,
        Handler handler,
        const PeerTransportOptions& options)
      : executor(executor),
        handler(std::move(handler)),
        options(options),
        datagrams(executor),
        acceptor(executor) {}

  tl::expected<void, std::string> Open(const SocketAddress& local);
  void Start();
  void Stop();

  net::awaitable<void> ReceiveDatagrams();
  bool ReceiveDatagram();
  net::awaitable<void> Accept();
  net::awaitable<void> Receive(std::shared_ptr<Tcp::socket> socket);
  net::awaitable<tl::expected<std::string, FrameError>> ReadFrameWithTimeout(
      std::shared_ptr<Tcp::socket> socket,
      std::size_t max_bytes);

  std::shared_ptr<Outgoing> Connection(const PeerAddress& to);
  net::awaitable<void> Transmit(PeerAddress to,
                                std::shared_ptr<Outgoing> outgoing);
  net::awaitable<bool> Connect(PeerAddress to,
                               std::shared_ptr<Outgoing> outgoing);
  net::awaitable<bool> WriteQueued(std::shared_ptr<Outgoing> outgoing);

  net::any_io_executor executor;
  Handler handler;
  PeerTransportOptions options;
  Udp::socket datagrams;
  Tcp::acceptor acceptor;
  std::string advertise;
  bool stopped = false;
  std::map<PeerAddress, std::shared_ptr<Outgoing>> outgoing;
  std::set<std::shared_ptr<Tcp::socket>> incoming;
  PeerTransportCounters counters;
};

tl::expected<void, std::string> PeerTransport::State::Open(
    const SocketAddress& local) {
  const auto listening =
      OpenListener(this->acceptor, ToText(local.address, local.port));
  if (!listening) {
    return tl::unexpected("peer stream: " + listening.error());
  }
  const std::uint16_t port = this->acceptor.local_endpoint().port();
  const Udp::endpoint datagram(local.address, port);
  const ErrorCode error = OpenWhenAvailable(ToText(local.address, port), [&] {
    ErrorCode failure;
    this->datagrams.close(failure);
    if (this->datagrams.open(datagram.protocol(), failure) ||
        this->datagrams.bind(datagram, failure)) {
      return failure;
    }
    this->datagrams.non_blocking(true, failure);
    return failure;
  });
  if (error) {
    return tl::unexpected("peer datagrams: " + error.message());
  }
  return {};
}

void PeerTransport::State::Start() {
  const auto self = this->shared_from_this();
  SpawnLoop(this->executor, "peer_datagrams",
            [self] { return self->ReceiveDatagrams(); });
  SpawnLoop(this->executor, "peer_connections",
            [self] { return self->Accept(); });
}

void PeerTransport::State::Stop() {
  this->stopped = true;
  this->handler = [](const PeerAddress&, const std::string&) {};
  ErrorCode ignored;
  this->acceptor.close(ignored);
  this->datagrams.close(ignored);
  for (auto& [to, connection] : this->outgoing) {
    connection->socket.close(ignored);
    connection->wake.cancel();
  }
  for (const auto& socket : this->incoming) {
    socket->close(ignored);
  }
}

net::awaitable<void> PeerTransport::State::ReceiveDatagrams() {
  while (!this->stopped) {
    const auto [error] =
        co_await this->datagrams.async_wait(Udp::socket::wait_read, kAwait);
    if (error) {
      co_return;
    }
    for (int i = 0; i < kMaxDatagramBatch && this->ReceiveDatagram(); ++i) {
    }
  }
}

// Reads one datagram and passes it to the handler; returns false when there is
// none left or the transport has stopped.
bool PeerTransport::State::ReceiveDatagram() {
  std::array<char, kMaxDatagramBytes + 1> buffer;
  Udp::endpoint from;
  ErrorCode error;
  const std::size_t size =
      this->datagrams.receive_from(net::buffer(buffer), from, 0, error);
  if (error) {
    // The refusal of a datagram sent earlier is reported here; there may be
    // more to read.
    return error == net::error::connection_refused;
  }
  this->counters.bytes_received += size;
  if (size > kMaxDatagramBytes || size == 0) {
    ++this->counters.malformed;
    return true;
  }
  ++this->counters.datagrams_received;
  this->handler(PeerAddress(ToText(from.address(), from.port())),
                std::string(buffer.data(), size));
  return !this->stopped;
}

net::awaitable<void> PeerTransport::State::Accept() {
  while (!this->stopped) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (this->stopped || error == net::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // For example too many open files: retry after others may have been
      // closed.
      net::steady_timer pause(this->executor, std::chrono::milliseconds(100));
      co_await pause.async_wait(kAwait);
      continue;
    }
    if (this->incoming.size() >= this->options.max_incoming_connections) {
      ++this->counters.dropped;
      continue;
    }
    auto accepted = std::make_shared<Tcp::socket>(std::move(socket));
    this->incoming.insert(accepted);
    net::co_spawn(
        this->executor,
        [](std::shared_ptr<State> state,
           std::shared_ptr<Tcp::socket> accepted) -> net::awaitable<void> {
          co_await state->Receive(accepted);
        }(this->shared_from_this(), accepted),
        [state = this->shared_from_this(),
         accepted](const std::exception_ptr& error) {
          state->incoming.erase(accepted);
          LogFailureOf("peer_frames")(error);
        });
  }
}

net::awaitable<tl::expected<std::string, FrameError>>
PeerTransport::State::ReadFrameWithTimeout(std::shared_ptr<Tcp::socket> socket,
                                           std::size_t max_bytes) {
  net::steady_timer timeout(this->executor);
  timeout.expires_after(this->options.receive_timeout);
  timeout.async_wait([socket](const ErrorCode& error) {
    if (!error) {
      ErrorCode ignored;
      socket->close(ignored);
    }
  });
  auto frame = co_await ReadFrame(*socket, max_bytes);
  if (!frame && frame.error() == FrameError::kTooLarge) {
    ++this->counters.malformed;
  }
  co_return frame;
}

net::awaitable<void> PeerTransport::State::Receive(
    std::shared_ptr<Tcp::socket> socket) {
  const auto hello =
      co_await this->ReadFrameWithTimeout(socket, kMaxAddressBytes);
  if (!hello) {
    co_return;
  }
  if (!ParseSocketAddress(*hello)) {
    ++this->counters.malformed;
    co_return;
  }
  const PeerAddress from(*hello);
  for (;;) {
    const auto frame = co_await this->ReadFrameWithTimeout(
        socket, this->options.max_frame_bytes);
    if (!frame || this->stopped) {
      co_return;
    }
    ++this->counters.frames_received;
    this->counters.bytes_received += frame->size();
    this->handler(from, *frame);
  }
}

// Returns the connection to a peer and opens it if there is none; null when
// there are too many or the address is invalid.
std::shared_ptr<Outgoing> PeerTransport::State::Connection(
    const PeerAddress& to) {
  const auto found = this->outgoing.find(to);
  if (found != this->outgoing.end()) {
    return found->second;
  }
  if (this->outgoing.size() >= this->options.max_outgoing_connections ||
      !ParseSocketAddress(to.Value())) {
    return nullptr;
  }
  auto connection = std::make_shared<Outgoing>(this->executor);
  this->outgoing.emplace(to, connection);
  net::co_spawn(
      this->executor,
      [](std::shared_ptr<State> state, PeerAddress to,
         std::shared_ptr<Outgoing> connection) -> net::awaitable<void> {
        co_await state->Transmit(to, connection);
      }(this->shared_from_this(), to, connection),
      [state = this->shared_from_this(), to,
       connection](const std::exception_ptr& error) {
        state->counters.dropped += connection->frames.size();
        state->outgoing.erase(to);
        LogFailureOf("peer_transmission")(error);
      });
  return connection;
}

net::awaitable<void> PeerTransport::State::Transmit(
    PeerAddress to,
    std::shared_ptr<Outgoing> outgoing) {
  bool is_usable = co_await this->Connect(to, outgoing);
  while (is_usable) {
    is_usable = co_await this->WriteQueued(outgoing);
    if (!is_usable) {
      co_return;
    }
    outgoing->wake.expires_after(this->options.idle_timeout);
    co_await outgoing->wake.async_wait(kAwait);
    is_usable = !outgoing->frames.empty() && !this->stopped;
  }
}

// Connects and sends this process's own peer address.
net::awaitable<bool> PeerTransport::State::Connect(
    PeerAddress to,
    std::shared_ptr<Outgoing> outgoing) {
  const auto parsed = ParseSocketAddress(to.Value());
  net::steady_timer timeout(this->executor);
  timeout.expires_after(this->options.connect_timeout);
  timeout.async_wait([outgoing](const ErrorCode& error) {
    if (!error) {
      ErrorCode ignored;
      outgoing->socket.close(ignored);
    }
  });
  const Tcp::endpoint endpoint(parsed->address, parsed->port);
  const auto [error] =
      co_await outgoing->socket.async_connect(endpoint, kAwait);
  if (error) {
    co_return false;
  }
  const auto written = co_await WriteFrame(outgoing->socket, this->advertise);
  co_return written.has_value();
}

net::awaitable<bool> PeerTransport::State::WriteQueued(
    std::shared_ptr<Outgoing> outgoing) {
  while (!outgoing->frames.empty()) {
    std::string frame = std::move(outgoing->frames.front());
    outgoing->frames.pop_front();
    const std::size_t size = frame.size();
    net::steady_timer timeout(this->executor);
    timeout.expires_after(this->options.receive_timeout);
    timeout.async_wait([outgoing](const ErrorCode& error) {
      if (!error) {
        ErrorCode ignored;
        outgoing->socket.close(ignored);
      }
    });
    const auto written =
        co_await WriteFrame(outgoing->socket, std::move(frame));
    outgoing->queued_bytes -= size;
    if (!written) {
      ++this->counters.dropped;
      co_return false;
    }
    ++this->counters.frames_sent;
    this->counters.bytes_sent += size;
  }
  co_return true;
}

PeerTransport::PeerTransport(const net::any_io_executor& executor,
                             Handler handler,
                             const PeerTransportOptions& options)
    : state(std::make_shared<State>(executor, std::move(handler), options)) {}

PeerTransport::~PeerTransport() {
  this->state->Stop();
}

tl::expected<void, std::string> PeerTransport::Listen(
    const std::string& listen,
    const std::string& advertise) {
  const auto local = ParseSocketAddress(listen);
  if (!local) {
    return tl::unexpected("\"" + listen + "\" is not an address");
  }
  const auto opened = this->state->Open(*local);
  if (!opened) {
    return opened;
  }
  const auto endpoint = this->state->acceptor.local_endpoint();
  this->state->advertise = advertise.empty()
                               ? ToText(endpoint.address(), endpoint.port())
                               : advertise;
  this->state->Start();
  return {};
}

PeerAddress PeerTransport::Address() const {
  return PeerAddress(this->state->advertise);
}

void PeerTransport::Stop() {
  this->state->Stop();
}

void PeerTransport::SendDatagram(const PeerAddress& to, std::string bytes) {
  State& state = *this->state;
  const auto parsed = ParseSocketAddress(to.Value());
  if (state.stopped || !parsed || bytes.size() > kMaxDatagramBytes) {
    ++state.counters.dropped;
    return;
  }
  ErrorCode error;
  const Udp::endpoint endpoint(parsed->address, parsed->port);
  state.datagrams.send_to(net::buffer(bytes), endpoint, 0, error);
  if (error) {
    ++state.counters.dropped;
    return;
  }
  ++state.counters.datagrams_sent;
  state.counters.bytes_sent += bytes.size();
}

void PeerTransport::SendFrame(const PeerAddress& to, std::string bytes) {
  State& state = *this->state;
  const auto connection = state.stopped ? nullptr : state.Connection(to);
  if (connection == nullptr || connection->queued_bytes + bytes.size() >
                                   state.options.max_queued_bytes_per_peer) {
    ++state.counters.dropped;
    return;
  }
  connection->queued_bytes += bytes.size();
  connection->frames.push_back(std::move(bytes));
  connection->wake.cancel();
}

const PeerTransportCounters& PeerTransport::Counters() const {
  return this->state->counters;
}

}  // namespace acacia
