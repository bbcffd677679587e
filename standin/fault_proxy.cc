#include "standin/fault_proxy.h"

#include <array>
#include <boost/asio.hpp>
#include <list>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/http_server.h"
#include "src/random_source.h"
#include "src/socket_address.h"
#include "standin/path_faults.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;
using Udp = net::ip::udp;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::size_t kBufferBytes = 64 * 1024;
constexpr std::uint32_t kPermille = 1000;
constexpr std::uint64_t kDropSeed = 1;
// How often a connection checks whether a cut has been removed.
constexpr std::chrono::milliseconds kCutPollInterval{20};

enum class Direction { kToTarget, kToCaller };

// One proxied TCP connection.
struct ProxiedConnection {
  explicit ProxiedConnection(Tcp::socket caller)
      : caller(std::move(caller)), target(this->caller.get_executor()) {}

  void Close() {
    boost::system::error_code ignored;
    this->caller.close(ignored);
    this->target.close(ignored);
  }
  void Reset() {
    boost::system::error_code ignored;
    this->caller.set_option(net::socket_base::linger(true, 0), ignored);
    this->target.set_option(net::socket_base::linger(true, 0), ignored);
    this->Close();
  }

  Tcp::socket caller;
  Tcp::socket target;
  bool silenced = false;
};

net::awaitable<void> Sleep(Duration time) {
  net::steady_timer timer(co_await net::this_coro::executor, time);
  co_await timer.async_wait(kAwait);
}

}  // namespace

struct FaultProxy::State : std::enable_shared_from_this<FaultProxy::State> {
  State(const net::any_io_executor& executor,
        schema::FaultProxySettingsT settings)
      : settings(std::move(settings)),
        acceptor(executor),
        datagrams(executor),
        random(kDropSeed) {}

  bool IsCut(Direction direction) const {
    return direction == Direction::kToTarget ? this->faults.cut_to_target
                                             : this->faults.cut_to_caller;
  }
  // Waits for the delay, then while the direction is cut.
  net::awaitable<void> WaitToForward(Direction direction);
  void SetFaults(const PathFaults& next);

  net::awaitable<void> Accept();
  net::awaitable<void> Serve(std::shared_ptr<ProxiedConnection> connection);
  net::awaitable<void> Forward(std::shared_ptr<ProxiedConnection> connection,
                               Direction direction);

  net::awaitable<void> ReceiveDatagrams();
  net::awaitable<void> ReturnDatagrams(std::shared_ptr<Udp::socket> socket,
                                       Udp::endpoint caller);
  bool ShouldDropDatagram(Direction direction);
  std::shared_ptr<Udp::socket> DatagramSocketFor(const Udp::endpoint& caller);

  net::awaitable<HttpReply> HandleOperatorRequest(HttpRequest request);

  schema::FaultProxySettingsT settings;
  PathFaults faults;
  Tcp::acceptor acceptor;
  Udp::socket datagrams;
  Udp::endpoint datagram_target;
  std::map<Udp::endpoint, std::shared_ptr<Udp::socket>> datagram_sockets;
  std::set<std::shared_ptr<ProxiedConnection>> connections;
  std::uint64_t accepted = 0;
  SeededRandom random;
  std::unique_ptr<HttpServer> operator_server;
};

net::awaitable<void> FaultProxy::State::WaitToForward(Direction direction) {
  if (this->faults.delay_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(this->faults.delay_ms));
  }
  while (this->IsCut(direction)) {
    co_await Sleep(kCutPollInterval);
  }
}

void FaultProxy::State::SetFaults(const PathFaults& next) {
  this->faults = next;
  for (const auto& connection : this->connections) {
    if (next.silence_existing) {
      connection->silenced = true;
    }
    if (next.reset_existing) {
      connection->Reset();
    }
  }
}

net::awaitable<void> FaultProxy::State::Accept() {
  const auto self = this->shared_from_this();
  while (this->acceptor.is_open()) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (error == net::error::operation_aborted || !this->acceptor.is_open()) {
      co_return;
    }
    if (error) {
      continue;
    }
    ++this->accepted;
    auto connection = std::make_shared<ProxiedConnection>(std::move(socket));
    if (this->faults.refuse_new) {
      connection->Reset();
      continue;
    }
    this->connections.insert(connection);
    auto executor = this->acceptor.get_executor();
    net::co_spawn(executor, this->Serve(std::move(connection)), net::detached);
  }
}

// A TCP handshake needs both directions, so a cut in either one delays new
// connections.
net::awaitable<void> FaultProxy::State::Serve(
    std::shared_ptr<ProxiedConnection> connection) {
  const auto self = this->shared_from_this();
  co_await this->WaitToForward(Direction::kToTarget);
  co_await this->WaitToForward(Direction::kToCaller);
  const auto to = ParseSocketAddress(this->settings.target);
  const Tcp::endpoint endpoint(to->address, to->port);
  const auto [error] =
      co_await connection->target.async_connect(endpoint, kAwait);
  if (error) {
    connection->Reset();
    this->connections.erase(connection);
    co_return;
  }
  boost::system::error_code ignored;
  connection->caller.set_option(Tcp::no_delay(true), ignored);
  connection->target.set_option(Tcp::no_delay(true), ignored);
  auto executor = this->acceptor.get_executor();
  net::co_spawn(executor, this->Forward(connection, Direction::kToCaller),
                net::detached);
  co_await this->Forward(connection, Direction::kToTarget);
}

net::awaitable<void> FaultProxy::State::Forward(
    std::shared_ptr<ProxiedConnection> connection,
    Direction direction) {
  const auto self = this->shared_from_this();
  const bool to_target = direction == Direction::kToTarget;
  Tcp::socket& from = to_target ? connection->caller : connection->target;
  Tcp::socket& to = to_target ? connection->target : connection->caller;
  std::vector<char> chunk(kBufferBytes);
  for (;;) {
    const auto [error, read] =
        co_await from.async_read_some(net::buffer(chunk), kAwait);
    if (connection->silenced && !error) {
      continue;
    }
    co_await this->WaitToForward(direction);
    if (connection->silenced) {
      break;
    }
    if (error) {
      boost::system::error_code ignored;
      to.shutdown(Tcp::socket::shutdown_send, ignored);
      if (error != net::error::eof || !to_target) {
        connection->Close();
      }
      break;
    }
    const auto [write_error, written] =
        co_await net::async_write(to, net::buffer(chunk.data(), read), kAwait);
    if (write_error) {
      connection->Close();
      break;
    }
  }
  if (!connection->silenced || to_target) {
    if (connection->silenced) {
      connection->Close();
    }
    this->connections.erase(connection);
  }
}

bool FaultProxy::State::ShouldDropDatagram(Direction direction) {
  return this->IsCut(direction) ||
         this->random.Below(kPermille) < this->faults.drop_permille;
}

net::awaitable<void> FaultProxy::State::ReceiveDatagrams() {
  const auto self = this->shared_from_this();
  std::vector<char> chunk(kBufferBytes);
  while (this->datagrams.is_open()) {
    Udp::endpoint caller;
    const auto [error, read] = co_await this->datagrams.async_receive_from(
        net::buffer(chunk), caller, kAwait);
    if (error == net::error::operation_aborted) {
      co_return;
    }
    if (error || this->ShouldDropDatagram(Direction::kToTarget)) {
      continue;
    }
    const auto socket = this->DatagramSocketFor(caller);
    co_await socket->async_send_to(net::buffer(chunk.data(), read),
                                   this->datagram_target, kAwait);
  }
}

std::shared_ptr<Udp::socket> FaultProxy::State::DatagramSocketFor(
    const Udp::endpoint& caller) {
  std::shared_ptr<Udp::socket>& socket = this->datagram_sockets[caller];
  if (!socket) {
    socket = std::make_shared<Udp::socket>(this->datagrams.get_executor());
    socket->open(this->datagram_target.protocol());
    socket->bind(Udp::endpoint(this->datagram_target.protocol(), 0));
    net::co_spawn(socket->get_executor(), this->ReturnDatagrams(socket, caller),
                  net::detached);
  }
  return socket;
}

net::awaitable<void> FaultProxy::State::ReturnDatagrams(
    std::shared_ptr<Udp::socket> socket,
    Udp::endpoint caller) {
  const auto self = this->shared_from_this();
  std::vector<char> chunk(kBufferBytes);
  while (this->datagrams.is_open()) {
    const auto [error, read] =
        co_await socket->async_receive(net::buffer(chunk), kAwait);
    if (error == net::error::operation_aborted) {
      co_return;
    }
    if (error || this->ShouldDropDatagram(Direction::kToCaller)) {
      continue;
    }
    co_await this->datagrams.async_send_to(net::buffer(chunk.data(), read),
                                           caller, kAwait);
  }
}

net::awaitable<HttpReply> FaultProxy::State::HandleOperatorRequest(
    HttpRequest request) {
  HttpReply reply;
  if (request.target != "/standin/faults") {
    reply.status = 404;
    co_return reply;
  }
  if (request.method == "PUT") {
    const auto faults = ParsePathFaults(request.body);
    if (faults) {
      this->SetFaults(*faults);
    } else {
      reply.status = 400;
      reply.body = faults.error();
    }
    co_return reply;
  }
  reply.body = "{\"connections\": " + std::to_string(this->connections.size()) +
               ", \"accepted\": " + std::to_string(this->accepted) + "}";
  co_return reply;
}

FaultProxy::FaultProxy(const net::any_io_executor& executor,
                       schema::FaultProxySettingsT settings)
    : state(std::make_shared<State>(executor, std::move(settings))) {}

FaultProxy::~FaultProxy() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  this->state->datagrams.close(ignored);
  this->state->operator_server.reset();
}

tl::expected<void, std::string> FaultProxy::Listen() {
  State& state = *this->state;
  const auto address = ParseSocketAddress(state.settings.listen);
  const auto target = ParseSocketAddress(state.settings.target);
  if (!address || !target) {
    return tl::unexpected<std::string>("listen or target is not an address");
  }
  const Tcp::endpoint local(address->address, address->port);
  boost::system::error_code error;
  if (state.acceptor.open(local.protocol(), error) ||
      state.acceptor.set_option(Tcp::acceptor::reuse_address(true), error) ||
      state.acceptor.bind(local, error) ||
      state.acceptor.listen(Tcp::acceptor::max_listen_connections, error)) {
    return tl::unexpected(state.settings.listen + ": " + error.message());
  }
  const auto executor = state.acceptor.get_executor();
  if (state.settings.datagrams) {
    const Udp::endpoint udp(address->address, address->port);
    state.datagram_target = Udp::endpoint(target->address, target->port);
    if (state.datagrams.open(udp.protocol(), error) ||
        state.datagrams.bind(udp, error)) {
      return tl::unexpected(state.settings.listen + ": " + error.message());
    }
    net::co_spawn(executor, state.ReceiveDatagrams(), net::detached);
  }
  net::co_spawn(executor, state.Accept(), net::detached);
  state.operator_server = std::make_unique<HttpServer>(
      executor,
      [weak = std::weak_ptr<State>(this->state)](
          HttpRequest request) -> net::awaitable<HttpReply> {
        return weak.lock()->HandleOperatorRequest(std::move(request));
      });
  return state.operator_server->Listen(state.settings.operator_listen);
}

}  // namespace acacia
