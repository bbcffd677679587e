// Parses the command line common to the daemons: --help, --version and
// --settings FILE.
#ifndef SRC_COMMAND_LINE_H_
#define SRC_COMMAND_LINE_H_

#include <string>
#include <tl/expected.hpp>

namespace acacia {

// Exit codes of the daemons: after a clean stop or a printed text.
inline constexpr int kExitOk = 0;
// The daemon could not start or received a second stop signal.
inline constexpr int kExitFailed = 1;
// A mistake in the command line or the settings.
inline constexpr int kExitUsage = 2;

// Returns the path of the settings file, or, after printing the help, the
// version or a usage error, the exit code with which the program must end at
// once. `about` describes the program in one sentence.
tl::expected<std::string, int> ParseDaemonCommandLine(int argc,
                                                      const char* const* argv,
                                                      const std::string& about);

}  // namespace acacia

#endif  // SRC_COMMAND_LINE_H_
