// What the stand-ins' main functions share: the command line, and running until
// a signal.
#ifndef STANDIN_PROGRAM_H_
#define STANDIN_PROGRAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

namespace acacia {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

struct CommandLine {
  std::string settings_file;
  // Set when the program must end at once with this code.
  std::optional<int> exit_code;
};

// Reads --settings FILE, --help and --version; prints what they ask for.
CommandLine ReadCommandLine(int argc, char** argv, const std::string& about);

// Ends the io_context's run on SIGTERM or SIGINT.
void StopOnSignal(boost::asio::io_context& io);

}  // namespace acacia

#endif  // STANDIN_PROGRAM_H_
