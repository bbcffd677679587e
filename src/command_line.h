// The command line that every daemon has: --help, --version, --settings FILE.
#ifndef SRC_COMMAND_LINE_H_
#define SRC_COMMAND_LINE_H_

#include <string>
#include <tl/expected.hpp>

namespace acacia {

// Exit codes of the daemons.
inline constexpr int kExitOk = 0;
// It could not start or was told twice to stop.
inline constexpr int kExitFailed = 1;
// The command line or the settings hold a mistake.
inline constexpr int kExitUsage = 2;

// Returns the settings file; or the exit code with which the program must end
// at once, after help, version or a mistake has been printed. `about` is one
// sentence on the program.
tl::expected<std::string, int> ParseDaemonCommandLine(int argc,
                                                      const char* const* argv,
                                                      const std::string& about);

}  // namespace acacia

#endif  // SRC_COMMAND_LINE_H_
