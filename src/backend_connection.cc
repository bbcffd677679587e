#include "src/backend_connection.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <cerrno>
#include <utility>
#include <vector>

namespace acacia {
namespace {

namespace net = boost::asio;
using KeepIdle = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval =
    net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepCount = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout =
    net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// True if the connection is open and has nothing to read. Bytes on an idle
// connection belong to an unsolicited answer.
bool IsOpenWithoutData(BackendConnection& connection) {
  char byte = 0;
  const ssize_t got = ::recv(connection.socket.native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool IsReusable(const BackendConnection& connection,
                ConnectionNeed need,
                TimePoint now) {
  const Duration age = now - connection.proven_at;
  if (connection.server_idle_timeout > Duration{} &&
      age + kIdleCloseMargin >= connection.server_idle_timeout) {
    return false;
  }
  return age < (need == ConnectionNeed::kProven ? kMaxProvenAge : kMaxIdleTime);
}

}  // namespace

void SetStreamOptions(net::ip::tcp::socket& socket,
                      Duration user_timeout,
                      const KeepAliveProbes& keep_alive) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout);
  boost::system::error_code ignored;
  socket.set_option(net::ip::tcp::no_delay(true), ignored);
  socket.set_option(net::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepIdle(keep_alive.idle_seconds), ignored);
  socket.set_option(KeepInterval(keep_alive.interval_seconds), ignored);
  socket.set_option(KeepCount(keep_alive.count), ignored);
  socket.set_option(UserTimeout(static_cast<int>(milliseconds.count())),
                    ignored);
}

bool EndedCleanly(net::ip::tcp::socket& socket) {
  const int handle = socket.native_handle();
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    return false;
  }
  // A reset leaves this state even if its error has been consumed.
  tcp_info info{};
  size = sizeof(info);
  if (::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      info.tcpi_state == TCP_CLOSE) {
    return false;
  }
  return UnacknowledgedBytes(socket) == 0U;
}

std::optional<std::size_t> UnacknowledgedBytes(net::ip::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(bytes);
}

ConnectionPool::CheckOut ConnectionPool::TryCheckOut(
    const BackendId& backend,
    ConnectionNeed need,
    const std::vector<ConnectionId>& carriers,
    std::uint32_t limit,
    TimePoint now) {
  // Destroyed after the lock is released, so that sockets close outside it.
  std::vector<BackendConnectionPtr> closing;
  const std::lock_guard lock(this->mutex);
  PerBackend& pool = this->backends[backend];
  if (pool.in_use >= limit) {
    return {};
  }
  CheckOut result{true, nullptr, false};
  // The most recently used is at the back: if it is too old, so are the others.
  for (std::size_t i = pool.idle.size();
       !result.connection && i > 0 && IsReusable(*pool.idle[i - 1], need, now);
       --i) {
    const auto at = pool.idle.begin() + static_cast<std::ptrdiff_t>(i - 1);
    if (std::find(carriers.begin(), carriers.end(), (*at)->id) !=
        carriers.end()) {
      result.passed_over = true;
      continue;
    }
    BackendConnectionPtr candidate = std::move(*at);
    pool.idle.erase(at);
    if (IsOpenWithoutData(*candidate)) {
      result.connection = std::move(candidate);
    } else {
      closing.push_back(std::move(candidate));
    }
  }
  ++pool.in_use;
  while (!pool.idle.empty() && pool.in_use + pool.idle.size() > limit) {
    closing.push_back(std::move(pool.idle.front()));
    pool.idle.pop_front();
  }
  return result;
}

void ConnectionPool::CheckIn(const BackendId& backend,
                             BackendConnectionPtr connection,
                             TimePoint now) {
  connection->proven_at = now;
  const std::lock_guard lock(this->mutex);
  PerBackend& pool = this->backends[backend];
  --pool.in_use;
  pool.idle.push_back(std::move(connection));
}

void ConnectionPool::Discard(const BackendId& backend) {
  const std::lock_guard lock(this->mutex);
  --this->backends[backend].in_use;
}

void ConnectionPool::CloseIdle(TimePoint now) {
  std::vector<BackendConnectionPtr> closing;
  const std::lock_guard lock(this->mutex);
  for (auto& [backend, pool] : this->backends) {
    while (!pool.idle.empty() &&
           now - pool.idle.front()->proven_at >= kMaxIdleTime) {
      closing.push_back(std::move(pool.idle.front()));
      pool.idle.pop_front();
    }
  }
  std::erase_if(this->backends, [](const auto& each) {
    return each.second.in_use == 0 && each.second.idle.empty();
  });
}

std::uint32_t ConnectionPool::ConnectionCount() {
  const std::lock_guard lock(this->mutex);
  std::size_t open = 0;
  for (const auto& [backend, pool] : this->backends) {
    open += pool.in_use + pool.idle.size();
  }
  return static_cast<std::uint32_t>(open);
}

}  // namespace acacia
