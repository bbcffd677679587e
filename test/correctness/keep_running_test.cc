#include "src/keep_running.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <new>
#include <stdexcept>

namespace acacia {
namespace {

namespace net = boost::asio;

TEST_CASE("handlers run on after one that threw") {
  net::io_context context;
  int ran = 0;
  for (int i = 0; i < 3; ++i) {
    net::post(context, [] { throw std::bad_alloc(); });
    net::post(context, [] { throw 1; });
    net::post(context, [&ran] { ++ran; });
  }
  RunHandlers(context);
  CHECK(ran == 3);
}

net::awaitable<void> Loop(int& runs) {
  co_await net::post(net::use_awaitable);
  if (++runs < 3) {
    throw std::runtime_error("not yet");
  }
}

TEST_CASE("a loop is run until it returns") {
  net::io_context context;
  int runs = 0;
  SpawnLoop(context.get_executor(), "test", [&runs] { return Loop(runs); });
  context.run();
  CHECK(runs == 3);
}

TEST_CASE("exceptions are described by their text") {
  const auto error = std::make_exception_ptr(std::runtime_error("out of luck"));
  CHECK(DescribeException(error) == "out of luck");
  CHECK(DescribeException(std::make_exception_ptr(1)) == "unknown exception");
}

}  // namespace
}  // namespace acacia
