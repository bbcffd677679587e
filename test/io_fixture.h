// Helpers that run coroutines of the I/O adapters in tests.
#ifndef TEST_IO_FIXTURE_H_
#define TEST_IO_FIXTURE_H_

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "standin/platform_standin.h"

namespace acacia {

// Runs the context until the coroutine has completed, and returns its result.
template <typename Result>
Result RunAwaitable(boost::asio::io_context& context,
                    boost::asio::awaitable<Result> awaitable) {
  std::optional<Result> result;
  boost::asio::co_spawn(context, std::move(awaitable),
                        [&](const std::exception_ptr& failure, Result value) {
                          REQUIRE(failure == nullptr);
                          result.emplace(std::move(value));
                        });
  context.restart();
  while (!result && context.run_one() > 0) {
  }
  REQUIRE(result.has_value());
  return *std::move(result);
}

// Runs the context until the condition holds. If it never does, the test ends
// by CTest's timeout.
inline void RunUntil(boost::asio::io_context& context,
                     const std::function<bool()>& holds) {
  context.restart();
  const auto idle = boost::asio::make_work_guard(context);
  while (!holds()) {
    context.run_one_for(std::chrono::milliseconds(10));
  }
}

// A platform stand-in that listens on a free port.
struct PlatformFixture {
  PlatformFixture()
      : platform(context.get_executor(), clock, Duration::zero(), 1) {
    REQUIRE(this->platform.Listen("127.0.0.1:0"));
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->platform.Port());
  }

  boost::asio::io_context context;
  SystemClock clock;
  PlatformStandin platform;
};

}  // namespace acacia

#endif  // TEST_IO_FIXTURE_H_
