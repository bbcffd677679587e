#include <boost/asio.hpp>
#include <iostream>
#include <utility>

#include "src/command_line.h"
#include "src/log_event.h"
#include "src/settings.h"
#include "standin/backend_standin.h"
#include "standin/stop_on_signal.h"

int main(int argc, char** argv) {
  acacia::StartLogging(argv[0]);
  const auto line = acacia::ParseDaemonCommandLine(
      argc, argv, "backend-standin: emulates one backend server");
  if (!line) {
    return line.error();
  }
  auto settings = acacia::ReadBackendStandinSettings(*line);
  if (!settings) {
    std::cerr << acacia::DescribeAll(settings.error());
    return acacia::kExitUsage;
  }
  boost::asio::io_context io(1);
  acacia::BackendStandin standin(io.get_executor(), *std::move(settings));
  if (const auto listening = standin.Listen(); !listening) {
    std::cerr << listening.error() << "\n";
    return acacia::kExitFailed;
  }
  acacia::LogEvent("standin_started").With("port", standin.Port());
  acacia::StopOnSignal(io);
  io.run();
  return acacia::kExitOk;
}
