// Connections to backend servers and the pool of idle ones. Only a connection
// without an outstanding answer and without unread bytes is kept for reuse; any
// other is closed, so that no answer can be matched to the wrong request.
//
// A backend server may answer twice, the second time late. The request id tells
// such an answer from that to a later request, but not from that to the same
// request, sent again under the same id. A request that is sent again therefore
// goes on a connection that has not carried it.
#ifndef SRC_BACKEND_CONNECTION_H_
#define SRC_BACKEND_CONNECTION_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"

namespace acacia {

// Non-idempotent work may reuse a connection only within this time after its
// last answer.
inline constexpr Duration kMaxProvenAge = std::chrono::seconds(3);
// An idle connection is not reused within this time before its backend server
// closes it, because the close may already be in transit.
inline constexpr Duration kIdleCloseMargin = std::chrono::seconds(1);
// Connections that have been idle for longer are closed.
inline constexpr Duration kMaxIdleTime = std::chrono::seconds(30);

struct BackendConnection {
  BackendConnection(const boost::asio::any_io_executor& executor,
                    ConnectionId id)
      : id(id), socket(executor) {}

  const ConnectionId id;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  // When the last complete answer arrived.
  TimePoint proven_at;
  // Idle time after which the backend server closes the connection, from its
  // Keep-Alive header; zero if it stated none.
  Duration server_idle_timeout{};
};

using BackendConnectionPtr = std::unique_ptr<BackendConnection>;

enum class ConnectionNeed { kAny, kProven };

// TCP keep-alive settings.
struct KeepAliveProbes {
  int idle_seconds = 10;
  int interval_seconds = 3;
  int count = 3;
};

// Sets TCP_NODELAY, the keep-alive probes and TCP_USER_TIMEOUT, the time after
// which unacknowledged bytes end the connection. Errors are ignored.
void SetStreamOptions(boost::asio::ip::tcp::socket& socket,
                      Duration user_timeout,
                      const KeepAliveProbes& keep_alive = {});

// The statuses of final answers, as HTTP defines them.
inline constexpr int kFirstFinalStatus = 200;
inline constexpr int kLastFinalStatus = 599;

// True if the peer ended the connection after it had received everything that
// was sent: no error, no reset and no byte unacknowledged. An end of file alone
// does not say so: a failed write takes the socket's error with it, and a reset
// that follows the end of file is not reported to reads. Call after the end of
// file.
bool EndedCleanly(boost::asio::ip::tcp::socket& socket);

// The bytes that were written and that the peer has not acknowledged; a peer
// that does not read acknowledges no more. nullopt if the socket is closed.
std::optional<std::size_t> UnacknowledgedBytes(
    boost::asio::ip::tcp::socket& socket);

// Limits the number of connections to each backend server and keeps idle ones
// for reuse. The connection that became idle last is reused first. Thread-safe.
class ConnectionPool {
 public:
  struct CheckOut {
    // True if the requester may use or open a connection. It must then call
    // CheckIn or Discard.
    bool granted = false;
    // Null if the requester must open a new one.
    BackendConnectionPtr connection;
    // An idle connection was passed over because it is one of `carriers`.
    bool passed_over = false;
  };

  // Grants an idle connection that satisfies `need` and is none of `carriers`,
  // or the right to open one, unless `limit` connections to the backend server
  // are in use.
  CheckOut TryCheckOut(const BackendId& backend,
                       ConnectionNeed need,
                       const std::vector<ConnectionId>& carriers,
                       std::uint32_t limit,
                       TimePoint now);

  // Returns the id of the next connection that is opened.
  ConnectionId NextId() { return ConnectionId(++this->opened); }

  // Returns a connection after a complete answer, with no unread bytes.
  void CheckIn(const BackendId& backend,
               BackendConnectionPtr connection,
               TimePoint now);

  // Releases a connection that was closed or could not be opened.
  void Discard(const BackendId& backend);

  // Closes connections that have been idle for kMaxIdleTime.
  void CloseIdle(TimePoint now);

  // Returns the number of connections, in use and idle.
  std::uint32_t ConnectionCount();

 private:
  struct PerBackend {
    std::uint32_t in_use = 0;
    std::deque<BackendConnectionPtr> idle;
  };

  std::atomic<std::uint64_t> opened{0};
  std::mutex mutex;
  std::unordered_map<BackendId, PerBackend> backends;
};

}  // namespace acacia

#endif  // SRC_BACKEND_CONNECTION_H_
