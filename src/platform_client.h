// HTTP client of the platform (docs/PROTOCOLS.md). Reports results exactly as
// platform.h defines them: kUnavailable only when the operation certainly had
// no effect; a write without a reply is kUnknown.
//
// Keeps a few connections; requests queue in order while all are busy. An
// unchanged instance list is not transferred again. Use from one strand.
#ifndef SRC_PLATFORM_CLIENT_H_
#define SRC_PLATFORM_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/clock.h"
#include "src/platform.h"

namespace acacia {

struct PlatformClientOptions {
  // For one request, including the wait for a connection.
  Duration timeout = std::chrono::seconds(5);
  std::size_t max_connections = 8;
  // A connection that was idle for longer is not reused, so that a write is not
  // sent on one that the platform has closed.
  Duration max_idle = std::chrono::seconds(5);
};

enum class PlatformOperation {
  kReadRow,
  kWriteRow,
  kReadObject,
  kWriteObject,
  kReadInstanceList,
};
// The operation's name in metrics.
const char* NameOf(PlatformOperation operation);

// One finished request, for metrics.
struct PlatformRequestReport {
  PlatformOperation operation{};
  // Whether the platform answered with a status below 500.
  bool answered = false;
  Duration elapsed{};
};

class PlatformClient {
 public:
  using Observer = std::function<void(const PlatformRequestReport&)>;

  // `clock` must outlive the client.
  PlatformClient(std::string address,
                 const Clock& clock,
                 const PlatformClientOptions& options = {});
  ~PlatformClient();

  void SetObserver(Observer observer);

  // A row that does not exist reads as version 0. Errors: kUnavailable.
  boost::asio::awaitable<RowResult> ReadRow(std::string key);
  // Writes if the row's version is `expected`. Returns the new version. Errors:
  // kUnavailable, kConflict, kUnknown.
  boost::asio::awaitable<WriteResult> WriteRow(std::string key,
                                               RowVersion expected,
                                               std::string value);
  // Errors: kUnavailable, kNotFound. The body is not checked against the hash.
  boost::asio::awaitable<ObjectResult> ReadObject(ObjectHash hash);
  // Errors: kUnavailable, kUnknown.
  boost::asio::awaitable<ObjectWriteResult> WriteObject(ObjectHash hash,
                                                        std::string body);
  // Errors: kUnavailable.
  boost::asio::awaitable<InstanceListResult> ReadInstanceList(
      std::string service);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_PLATFORM_CLIENT_H_
