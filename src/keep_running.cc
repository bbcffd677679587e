#include "src/keep_running.h"

#include <boost/asio.hpp>
#include <utility>

#include "src/log_event.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// Bounds the load of a loop that fails each time.
constexpr std::chrono::milliseconds kRestartPause{500};

void LogFailure(const std::string& name, const std::exception_ptr& error) {
  LogEvent("task_failed", LogSeverity::kError)
      .With("task", name)
      .With("reason", DescribeException(error));
}

net::awaitable<void> RunLoop(std::string name,
                             std::function<net::awaitable<void>()> body) {
  for (;;) {
    std::exception_ptr error;
    try {
      co_await body();
    } catch (...) {
      error = std::current_exception();
    }
    if (!error) {
      co_return;
    }
    LogFailure(name, error);
    net::steady_timer pause(co_await net::this_coro::executor, kRestartPause);
    co_await pause.async_wait(kAwait);
  }
}

}  // namespace

std::string DescribeException(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "unknown exception";
  }
}

void RunHandlers(net::io_context& context) {
  for (;;) {
    try {
      context.run();
      return;
    } catch (...) {
      LogEvent("handler_failed", LogSeverity::kError)
          .With("reason", DescribeException(std::current_exception()));
    }
  }
}

void SpawnLoop(const net::any_io_executor& executor,
               std::string_view name,
               std::function<net::awaitable<void>()> body) {
  net::co_spawn(executor, RunLoop(std::string(name), std::move(body)),
                LogFailureOf(name));
}

std::function<void(const std::exception_ptr& error)> LogFailureOf(
    std::string_view name) {
  return [name = std::string(name)](const std::exception_ptr& error) {
    if (error) {
      LogFailure(name, error);
    }
  };
}

}  // namespace acacia
