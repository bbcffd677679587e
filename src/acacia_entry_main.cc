// acacia-entry: the data plane of one instance.
//
// Exit codes: 0 after a graceful shutdown, 1 when it cannot run or was told
// twice to stop, 2 for mistakes in the command line or the settings.
#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

#include "platform/host_adapter.h"
#include "src/clock.h"
#include "src/entry_server.h"
#include "src/fleet_pool.h"
#include "src/host_control.h"
#include "src/log_event.h"
#include "src/settings.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct CommandLine {
  options::options_description description{
      "acacia-entry: the data plane of one instance.\n"
      "Exit codes: 0 stopped, 1 cannot run or stopped at once, 2 usage or "
      "settings.\n\nOptions"};
  options::variables_map values;
  std::string error;
};

CommandLine ParseCommandLine(int argc, char** argv) {
  CommandLine line;
  line.description.add_options()("help", "show this text")(
      "version", "show the version")("settings", options::value<std::string>(),
                                     "file with the EntrySettings (JSON with "
                                     "comments)");
  try {
    options::store(options::parse_command_line(argc, argv, line.description),
                   line.values);
  } catch (const options::error& error) {
    line.error = error.what();
  }
  return line;
}

// The first signal starts the graceful shutdown, the second ends the process.
void HandleSignals(boost::asio::signal_set& signals,
                   acacia::EntryServer& server,
                   bool again) {
  signals.async_wait(
      [&signals, &server, again](const boost::system::error_code& error, int) {
        if (error) {
          return;
        }
        if (again) {
          acacia::LogEvent("stopped_at_once", acacia::LogSeverity::kWarning)
              .With("exit_code", kExitFailure);
          std::_Exit(kExitFailure);
        }
        server.BeginStop();
        HandleSignals(signals, server, true);
      });
}

// The time from SIGTERM to SIGKILL that is left unused.
constexpr std::chrono::milliseconds kKillMargin{150};

// An entry on a host platform speaks its dialect and has no agent.
acacia::EntryPolicy MakePolicy(const acacia::schema::EntrySettingsT& settings,
                               const acacia::HostAdapter* adapter) {
  acacia::EntryPolicy policy;
  if (adapter != nullptr) {
    policy.dialect = adapter->dialect;
    policy.make_chooser = [domain = settings.failure_domain](
                              const acacia::ServiceName& service,
                              const acacia::InstanceId& /*self*/,
                              acacia::RandomSource& random) {
      return std::make_unique<acacia::FleetPool>(
          service, acacia::FailureDomain(domain), random);
    };
    policy.close_while_leaving = true;
    policy.longest_stop =
        std::chrono::duration_cast<acacia::Duration>(
            std::chrono::duration<double>(settings.host_platform->grace_s)) -
        kKillMargin;
  }
  return policy;
}

int Serve(const acacia::schema::EntrySettingsT& settings) {
  const acacia::SystemClock clock;
  std::optional<acacia::HostAdapter> adapter;
  if (settings.host_platform) {
    adapter = acacia::platform::MakeHostAdapter(*settings.host_platform);
  }
  acacia::EntryServer server(settings, clock,
                             MakePolicy(settings, adapter ? &*adapter : nullptr));
  std::optional<acacia::HostControl> control;
  if (adapter) {
    control.emplace(settings, *adapter, server, clock);
  }
  boost::asio::io_context signal_context;
  boost::asio::signal_set signals(signal_context, SIGTERM, SIGINT);
  HandleSignals(signals, server, false);
  auto started = server.Start();
  if (started && control) {
    started = control->Start();
  }
  if (!started) {
    acacia::LogEvent("cannot_listen", acacia::LogSeverity::kError)
        .With("reason", started.error());
    return kExitFailure;
  }
  std::thread signal_thread([&signal_context] { signal_context.run(); });
  server.Wait();
  signal_context.stop();
  signal_thread.join();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const CommandLine line = ParseCommandLine(argc, argv);
  if (line.values.count("help") > 0) {
    std::cout << line.description;
    return 0;
  }
  if (line.values.count("version") > 0) {
    std::cout << "acacia-entry " << ACACIA_VERSION << "\n";
    return 0;
  }
  if (!line.error.empty() || line.values.count("settings") == 0) {
    std::cerr << (line.error.empty() ? "--settings is required" : line.error)
              << "\n"
              << line.description;
    return kExitUsage;
  }
  const auto settings =
      acacia::ReadEntrySettings(line.values["settings"].as<std::string>());
  if (!settings) {
    std::cerr << acacia::DescribeAll(settings.error());
    return kExitUsage;
  }
  acacia::StartLogging(argv[0]);
  return Serve(*settings);
}
