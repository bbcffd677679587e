// Emulates the platform of docs/PROTOCOLS.md over HTTP: a transactional table,
// an object store and a lagging instance list, with faults that can be changed
// while it runs. For tests, the demo and experiments; it keeps everything in
// memory.
#ifndef STANDIN_PLATFORM_STANDIN_H_
#define STANDIN_PLATFORM_STANDIN_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/http_message.h"
#include "src/http_server.h"
#include "src/random_source.h"
#include "standin/platform_store.h"

namespace acacia {

struct PlatformFaults {
  // Every request is answered with 503 and has no effect.
  bool outage = false;
  // Added to every request.
  std::uint32_t delay_ms = 0;
  // Share of writes that take effect and get no reply.
  std::uint32_t lose_replies_permille = 0;
  // Share of writes that have no effect and get no reply.
  std::uint32_t lose_requests_permille = 0;
  // One byte of every object that is read is changed.
  bool corrupt_objects = false;
  // Requests above this rate get 503 and have no effect; 0: unlimited.
  std::uint32_t reads_per_second = 0;
  std::uint32_t writes_per_second = 0;
};

struct PlatformCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost_replies = 0;
};

// Runs on one thread. `clock` must outlive it.
class PlatformStandin {
 public:
  PlatformStandin(const boost::asio::any_io_executor& executor,
                  const Clock& clock,
                  Duration list_lag,
                  std::uint64_t seed);

  tl::expected<void, std::string> Listen(const std::string& address);
  std::uint16_t Port() const { return this->server.Port(); }
  void Stop() { this->server.Stop(); }

  // For tests in the same process.
  PlatformFaults& Faults() { return this->faults; }
  const PlatformCounters& Counters() const { return this->counters; }
  PlatformStore& Store() { return this->store; }

 private:
  // Counts the requests of the current second against a limit.
  struct RateWindow {
    TimePoint start{};
    std::uint32_t used = 0;
    bool Admit(std::uint32_t limit, TimePoint now);
  };

  boost::asio::awaitable<HttpReply> Handle(HttpRequest request);
  HttpReply HandlePlatform(const HttpRequest& request);
  HttpReply Serve(const HttpRequest& request);
  HttpReply HandleRow(const HttpRequest& request, const std::string& key);
  HttpReply WriteRow(const HttpRequest& request, const std::string& key);
  HttpReply HandleObject(const HttpRequest& request, const std::string& hash);
  HttpReply HandleInstances(const HttpRequest& request,
                            const std::string& rest);
  HttpReply ChangeInstance(const HttpRequest& request, const std::string& rest);
  HttpReply HandleFaults(const HttpRequest& request);
  HttpReply DescribeCounters() const;
  // True with the given probability, in thousandths.
  bool DrawChance(std::uint32_t permille);

  const Clock& clock;
  SeededRandom random;
  PlatformStore store;
  PlatformFaults faults;
  PlatformCounters counters;
  RateWindow read_window;
  RateWindow write_window;
  HttpServer server;
};

}  // namespace acacia

#endif  // STANDIN_PLATFORM_STANDIN_H_
