// Keeps event loops and background coroutines running when a handler or a
// coroutine throws: the exception is logged and ends only what threw it.
#ifndef SRC_KEEP_RUNNING_H_
#define SRC_KEEP_RUNNING_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace acacia {

// Returns the text of the exception, for the log.
std::string DescribeException(const std::exception_ptr& error);

// Runs handlers until the context is stopped or out of work.
void RunHandlers(boost::asio::io_context& context);

// Runs `body` on the executor until it returns. If it throws, it is run again
// after a pause. `name` is for the log.
void SpawnLoop(const boost::asio::any_io_executor& executor,
               std::string_view name,
               std::function<boost::asio::awaitable<void>()> body);

// A completion handler for boost::asio::co_spawn that logs the exception of a
// coroutine that is not run again.
std::function<void(const std::exception_ptr& error)> LogFailureOf(
    std::string_view name);

}  // namespace acacia

#endif  // SRC_KEEP_RUNNING_H_
