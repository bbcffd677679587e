// acacia-agent: the control process of one instance.
#include <boost/asio.hpp>
#include <iostream>
#include <utility>

#include "src/agent_server.h"
#include "src/command_line.h"
#include "src/log_event.h"
#include "src/process_setup.h"
#include "src/settings.h"

namespace acacia {
namespace {

namespace net = boost::asio;

// The first signal requests a graceful stop, the second ends the process at
// once. `*exit_code` is kExitFailed while a stop is in progress.
void AwaitSignal(net::signal_set& signals,
                 net::io_context& context,
                 AgentServer& agent,
                 int* exit_code) {
  signals.async_wait([&, exit_code](const boost::system::error_code& error,
                                    int) {
    if (error) {
      return;
    }
    if (*exit_code == kExitFailed) {
      LogEvent("agent_stopped", LogSeverity::kWarning).With("graceful", false);
      context.stop();
      return;
    }
    LogEvent("agent_stopping").With("exit", "when the entry stops");
    *exit_code = kExitFailed;
    AwaitSignal(signals, context, agent, exit_code);
    agent.RequestStop([&context, exit_code] {
      LogEvent("agent_stopped").With("graceful", true);
      *exit_code = kExitOk;
      context.stop();
    });
  });
}

int Run(schema::AgentSettingsT settings) {
  net::io_context context(1);
  const SystemClock clock;
  const std::string instance = settings.instance;
  AgentServer agent(context.get_executor(), std::move(settings), clock);
  const auto started = agent.Start();
  if (!started) {
    LogEvent("listen_failed", LogSeverity::kError)
        .With("error", started.error());
    return kExitFailed;
  }
  LogEvent("agent_started")
      .With("instance", instance)
      .With("peer_address", agent.PeerListenAddress())
      .With("entry_port", agent.EntryPort())
      .With("operator_port", agent.OperatorPort());
  net::signal_set signals(context, SIGTERM, SIGINT);
  UnblockSignals({SIGTERM, SIGINT});
  int exit_code = kExitOk;
  AwaitSignal(signals, context, agent, &exit_code);
  context.run();
  return exit_code;
}

int Main(int argc, char** argv) {
  const auto file = ParseDaemonCommandLine(
      argc, argv,
      "acacia-agent: configuration, membership and ejection for one instance. "
      "SIGTERM stops gracefully; a second one ends at once.");
  if (!file) {
    return file.error();
  }
  StartLogging(argv[0]);
  auto settings = ReadAgentSettings(*file);
  if (!settings) {
    std::cerr << DescribeAll(settings.error());
    return kExitUsage;
  }
  return Run(*std::move(settings));
}

}  // namespace
}  // namespace acacia

int main(int argc, char** argv) {
  acacia::PrepareProcess();
  return acacia::Main(argc, argv);
}
