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
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr std::uint32_t kPermille = 1000;
constexpr std::uint64_t kDropSeed = 1;
// How often a cut direction looks whether it has been healed.
constexpr std::chrono::milliseconds kHealPoll{20};

enum class Direction { kToTarget, kToCaller };

// One proxied TCP connection.
struct Link {
  explicit Link(Tcp::socket caller)
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
  bool silent = false;
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
  // Waits while the direction is cut, then for the delay.
  net::awaitable<void> Pass(Direction direction);
  void Apply(const PathFaults& next);

  net::awaitable<void> Accept();
  net::awaitable<void> Serve(std::shared_ptr<Link> link);
  net::awaitable<void> Pump(std::shared_ptr<Link> link, Direction direction);

  net::awaitable<void> ReceiveDatagrams();
  net::awaitable<void> ReturnDatagrams(std::shared_ptr<Udp::socket> socket,
                                       Udp::endpoint caller);
  bool LosesDatagram(Direction direction);
  std::shared_ptr<Udp::socket> SocketFor(const Udp::endpoint& caller);

  net::awaitable<HttpReply> Operate(HttpRequest request);

  schema::FaultProxySettingsT settings;
  PathFaults faults;
  Tcp::acceptor acceptor;
  Udp::socket datagrams;
  Udp::endpoint datagram_target;
  std::map<Udp::endpoint, std::shared_ptr<Udp::socket>> datagram_sockets;
  std::set<std::shared_ptr<Link>> links;
  std::uint64_t accepted = 0;
  SeededRandom random;
  std::unique_ptr<HttpServer> operators;
};

net::awaitable<void> FaultProxy::State::Pass(Direction direction) {
  if (this->faults.delay_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(this->faults.delay_ms));
  }
  while (this->IsCut(direction)) {
    co_await Sleep(kHealPoll);
  }
}

void FaultProxy::State::Apply(const PathFaults& next) {
  this->faults = next;
  for (const auto& link : this->links) {
    if (next.silence_existing) {
      link->silent = true;
    }
    if (next.reset_existing) {
      link->Reset();
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
    auto link = std::make_shared<Link>(std::move(socket));
    if (this->faults.refuse_new) {
      link->Reset();
      continue;
    }
    this->links.insert(link);
    auto executor = this->acceptor.get_executor();
    net::co_spawn(executor, this->Serve(std::move(link)), net::detached);
  }
}

// A handshake needs both directions, so a cut in either holds up new
// connections.
net::awaitable<void> FaultProxy::State::Serve(std::shared_ptr<Link> link) {
  const auto self = this->shared_from_this();
  co_await this->Pass(Direction::kToTarget);
  co_await this->Pass(Direction::kToCaller);
  const auto to = ParseSocketAddress(this->settings.target);
  const Tcp::endpoint endpoint(to->address, to->port);
  const auto [error] = co_await link->target.async_connect(endpoint, kAwait);
  if (error) {
    link->Reset();
    this->links.erase(link);
    co_return;
  }
  boost::system::error_code ignored;
  link->caller.set_option(Tcp::no_delay(true), ignored);
  link->target.set_option(Tcp::no_delay(true), ignored);
  auto executor = this->acceptor.get_executor();
  net::co_spawn(executor, this->Pump(link, Direction::kToCaller),
                net::detached);
  co_await this->Pump(link, Direction::kToTarget);
}

net::awaitable<void> FaultProxy::State::Pump(std::shared_ptr<Link> link,
                                             Direction direction) {
  const auto self = this->shared_from_this();
  const bool to_target = direction == Direction::kToTarget;
  Tcp::socket& from = to_target ? link->caller : link->target;
  Tcp::socket& to = to_target ? link->target : link->caller;
  std::vector<char> piece(kPieceBytes);
  for (;;) {
    const auto [error, read] =
        co_await from.async_read_some(net::buffer(piece), kAwait);
    if (link->silent && !error) {
      continue;
    }
    co_await this->Pass(direction);
    if (link->silent) {
      break;
    }
    if (error) {
      boost::system::error_code ignored;
      to.shutdown(Tcp::socket::shutdown_send, ignored);
      if (error != net::error::eof || !to_target) {
        link->Close();
      }
      break;
    }
    const auto [write_error, written] =
        co_await net::async_write(to, net::buffer(piece.data(), read), kAwait);
    if (write_error) {
      link->Close();
      break;
    }
  }
  if (!link->silent || to_target) {
    if (link->silent) {
      link->Close();
    }
    this->links.erase(link);
  }
}

bool FaultProxy::State::LosesDatagram(Direction direction) {
  return this->IsCut(direction) ||
         this->random.Below(kPermille) < this->faults.drop_permille;
}

net::awaitable<void> FaultProxy::State::ReceiveDatagrams() {
  const auto self = this->shared_from_this();
  std::vector<char> piece(kPieceBytes);
  while (this->datagrams.is_open()) {
    Udp::endpoint caller;
    const auto [error, read] = co_await this->datagrams.async_receive_from(
        net::buffer(piece), caller, kAwait);
    if (error == net::error::operation_aborted) {
      co_return;
    }
    if (error || this->LosesDatagram(Direction::kToTarget)) {
      continue;
    }
    const auto socket = this->SocketFor(caller);
    co_await socket->async_send_to(net::buffer(piece.data(), read),
                                   this->datagram_target, kAwait);
  }
}

std::shared_ptr<Udp::socket> FaultProxy::State::SocketFor(
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
  std::vector<char> piece(kPieceBytes);
  while (this->datagrams.is_open()) {
    const auto [error, read] =
        co_await socket->async_receive(net::buffer(piece), kAwait);
    if (error == net::error::operation_aborted) {
      co_return;
    }
    if (error || this->LosesDatagram(Direction::kToCaller)) {
      continue;
    }
    co_await this->datagrams.async_send_to(net::buffer(piece.data(), read),
                                           caller, kAwait);
  }
}

net::awaitable<HttpReply> FaultProxy::State::Operate(HttpRequest request) {
  HttpReply reply;
  if (request.target != "/standin/faults") {
    reply.status = 404;
    co_return reply;
  }
  if (request.method == "PUT") {
    const auto faults = ParsePathFaults(request.body);
    if (faults) {
      this->Apply(*faults);
    } else {
      reply.status = 400;
      reply.body = faults.error();
    }
    co_return reply;
  }
  reply.body = "{\"connections\": " + std::to_string(this->links.size()) +
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
  this->state->operators.reset();
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
  state.operators = std::make_unique<HttpServer>(
      executor,
      [weak = std::weak_ptr<State>(this->state)](
          HttpRequest request) -> net::awaitable<HttpReply> {
        return weak.lock()->Operate(std::move(request));
      });
  return state.operators->Listen(state.settings.operator_listen);
}

}  // namespace acacia
