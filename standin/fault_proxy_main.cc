#include <boost/asio.hpp>
#include <iostream>
#include <utility>

#include "src/command_line.h"
#include "src/log_event.h"
#include "src/settings.h"
#include "standin/fault_proxy.h"
#include "standin/stop_on_signal.h"

int main(int argc, char** argv) {
  acacia::StartLogging(argv[0]);
  const auto line = acacia::ParseDaemonCommandLine(
      argc, argv, "fault-proxy: breaks the path between two processes");
  if (!line) {
    return line.error();
  }
  auto settings = acacia::ReadFaultProxySettings(*line);
  if (!settings) {
    std::cerr << acacia::DescribeAll(settings.error());
    return acacia::kExitUsage;
  }
  boost::asio::io_context io(1);
  acacia::FaultProxy proxy(io.get_executor(), *std::move(settings));
  if (const auto listening = proxy.Listen(); !listening) {
    std::cerr << listening.error() << "\n";
    return acacia::kExitFailed;
  }
  acacia::LogEvent("fault_proxy_started").With("settings", *line);
  acacia::StopOnSignal(io);
  io.run();
  return acacia::kExitOk;
}
