// Connections to backend servers: opening them, and keeping those that can be
// used again. A kept connection has no answer outstanding and no bytes unread;
// anything else is closed, so that no answer can meet the wrong request.
#ifndef SRC_BACKEND_CONNECTION_H_
#define SRC_BACKEND_CONNECTION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "src/clock.h"
#include "src/ids.h"

namespace acacia {

// A connection that answered within this time may carry non-idempotent work.
inline constexpr Duration kRecentlyProven = std::chrono::seconds(3);
// A kept connection is not used in the last part of the time after which its
// backend server closes it: the close may be on its way.
inline constexpr Duration kIdleMargin = std::chrono::seconds(1);
// Kept connections that were idle for longer are closed.
inline constexpr Duration kMaxIdle = std::chrono::seconds(30);

struct BackendConnection {
  explicit BackendConnection(const boost::asio::any_io_executor& executor)
      : socket(executor) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  // When the last whole answer arrived.
  TimePoint proven;
  // The backend server closes the connection when it is idle for so long; zero:
  // it did not say.
  Duration idle_limit{};
};

using BackendConnectionPtr = std::unique_ptr<BackendConnection>;

enum class ConnectionNeed { kAny, kProven };

// Probes of an idle connection.
struct KeepAlive {
  int idle_seconds = 10;
  int interval_seconds = 3;
  int count = 3;
};

// Sets the options of every connection that the data path uses: no delay,
// keep-alive probes, and the time after which unacknowledged bytes end it.
void SetStreamOptions(boost::asio::ip::tcp::socket& socket,
                      Duration user_timeout,
                      const KeepAlive& keep_alive = {});

// Counts the connections of each backend server against a limit and keeps idle
// ones. The newest idle connection is used first. Thread-safe.
class ConnectionPool {
 public:
  struct CheckOut {
    // True when the caller may use or open a connection and must give it back
    // with CheckIn or Drop.
    bool granted = false;
    // Null: open a new one.
    BackendConnectionPtr connection;
  };

  CheckOut TryCheckOut(const BackendId& backend,
                       ConnectionNeed need,
                       std::uint32_t limit,
                       TimePoint now);

  // A whole answer has arrived and nothing is unread.
  void CheckIn(const BackendId& backend,
               BackendConnectionPtr connection,
               TimePoint now);

  // The connection was closed, or could not be opened.
  void Drop(const BackendId& backend);

  // Closes what has been idle for too long.
  void CloseIdle(TimePoint now);

  // Connections in use and idle.
  std::uint32_t Open();

 private:
  struct PerBackend {
    std::uint32_t in_use = 0;
    std::deque<BackendConnectionPtr> idle;
  };

  std::mutex mutex;
  std::unordered_map<BackendId, PerBackend> backends;
};

}  // namespace acacia

#endif  // SRC_BACKEND_CONNECTION_H_
