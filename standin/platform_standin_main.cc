#include <boost/asio.hpp>
#include <iostream>

#include "src/command_line.h"
#include "src/log_event.h"
#include "src/settings.h"
#include "standin/platform_standin.h"

namespace acacia {
namespace {

namespace net = boost::asio;

int Run(const schema::PlatformStandinSettingsT& settings) {
  net::io_context context(1);
  const SystemClock clock;
  PlatformStandin standin(context.get_executor(), clock,
                          std::chrono::milliseconds(settings.list_lag_ms),
                          settings.seed);
  const auto listening = standin.Listen(settings.listen);
  if (!listening) {
    LogEvent("listen_failed", LogSeverity::kError)
        .With("error", listening.error());
    return kExitFailed;
  }
  LogEvent("platform_standin_ready").With("port", standin.Port());
  net::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  LogEvent("platform_standin_stopped")
      .With("reads", standin.Counters().reads)
      .With("writes", standin.Counters().writes);
  return kExitOk;
}

int Main(int argc, char** argv) {
  const auto file = ParseDaemonCommandLine(
      argc, argv,
      "platform-standin: an emulated table service, object store and instance "
      "list (docs/PROTOCOLS.md).");
  if (!file) {
    return file.error();
  }
  StartLogging(argv[0]);
  const auto settings = ReadPlatformStandinSettings(*file);
  if (!settings) {
    std::cerr << DescribeAll(settings.error());
    return kExitUsage;
  }
  return Run(*settings);
}

}  // namespace
}  // namespace acacia

int main(int argc, char** argv) {
  return acacia::Main(argc, argv);
}
