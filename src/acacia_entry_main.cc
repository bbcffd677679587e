// The main program of acacia-entry, the data plane of one instance.
//
// Exit codes: 0 after a graceful shutdown, 1 if it cannot run or received a
// second stop signal, 2 for mistakes in the command line or the settings.
#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <future>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

#include "platform/host_adapter.h"
#include "src/clock.h"
#include "src/entry_server.h"
#include "src/fleet_pool.h"
#include "src/host_control.h"
#include "src/keep_running.h"
#include "src/log_event.h"
#include "src/log_writer.h"
#include "src/process_setup.h"
#include "src/settings.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
// How often the settings file is checked for a change.
constexpr std::chrono::seconds kFilePollInterval{2};

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

// The first SIGTERM or SIGINT starts the graceful shutdown. The second ends the
// process at once, except for a SIGTERM while the shutdown has a time limit.
// SIGHUP or a change of the settings file makes the program read the settings
// again. Signals that arrive before Start are handled then. Before Serve
// nothing is in flight: SIGTERM and SIGINT end the process.
class SignalHandler {
 public:
  // Must be constructed before the settings file is read, so that no change of
  // the file is missed.
  explicit SignalHandler(std::string file)
      : signals(context, SIGTERM, SIGINT, SIGHUP),
        file_timer(context),
        file(std::move(file)),
        last_write(this->LastWriteTime()) {
    acacia::UnblockSignals({SIGTERM, SIGINT, SIGHUP});
  }
  ~SignalHandler() { this->Stop(); }
  SignalHandler(const SignalHandler&) = delete;
  SignalHandler& operator=(const SignalHandler&) = delete;

  void Start() {
    this->AwaitSignal();
    this->thread = std::thread([this] { acacia::RunHandlers(this->context); });
  }

  // Must be called before the server's Start. `server` and what `reload` uses
  // must live until Stop.
  void Serve(acacia::EntryServer& server,
             bool is_stop_bounded,
             std::function<void()> reload) {
    std::promise<void> done;
    boost::asio::post(this->context, [&] {
      this->server = &server;
      this->is_stop_bounded = is_stop_bounded;
      this->reload = std::move(reload);
      done.set_value();
    });
    done.get_future().wait();
    boost::asio::post(this->context, [this] {
      this->ReloadIfChanged();
      this->WatchFile();
    });
  }

  // Handles no further signals.
  void Stop() {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  void AwaitSignal() {
    this->signals.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (!error) {
            this->AwaitSignal();
            this->OnSignal(signal);
          }
        });
  }

  // Returns the default (zero) time if the file cannot be read.
  std::filesystem::file_time_type LastWriteTime() const {
    std::error_code error;
    const auto time = std::filesystem::last_write_time(this->file, error);
    return error ? std::filesystem::file_time_type() : time;
  }

  void WatchFile() {
    this->file_timer.expires_after(kFilePollInterval);
    this->file_timer.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      this->WatchFile();
      this->ReloadIfChanged();
    });
  }

  void ReloadIfChanged() {
    const auto time = this->LastWriteTime();
    if (time != this->last_write) {
      this->last_write = time;
      this->reload();
    }
  }

  void OnSignal(int signal) {
    if (this->server == nullptr) {
      this->OnSignalBeforeServing(signal);
      return;
    }
    if (signal == SIGHUP) {
      this->last_write = this->LastWriteTime();
      this->reload();
      return;
    }
    if (this->stopping && signal == SIGTERM && this->is_stop_bounded) {
      acacia::LogEvent("already_stopping").With("signal", "SIGTERM");
      return;
    }
    if (this->stopping) {
      acacia::LogEvent("stopped_at_once", acacia::LogSeverity::kWarning)
          .With("exit_code", kExitFailure);
      acacia::StandardLog().Flush();
      std::_Exit(kExitFailure);
    }
    this->stopping = true;
    this->server->BeginStop();
  }

  void OnSignalBeforeServing(int signal) {
    if (signal == SIGHUP) {
      // Serve finds the file changed.
      this->last_write = std::filesystem::file_time_type::min();
      return;
    }
    acacia::LogEvent("stopped_before_serving").With("signal", signal);
    acacia::StandardLog().Flush();
    std::_Exit(0);
  }

  boost::asio::io_context context;
  boost::asio::signal_set signals;
  boost::asio::steady_timer file_timer;
  acacia::EntryServer* server = nullptr;
  const std::string file;
  std::filesystem::file_time_type last_write;
  std::function<void()> reload;
  bool is_stop_bounded = false;
  bool stopping = false;
  std::thread thread;
};

// The shutdown ends this long before the platform sends SIGKILL: a machine that
// is short of processor time runs timers late.
constexpr std::chrono::milliseconds kKillMargin{600};

// Without an adapter, returns the default policy of an entry with an agent.
// With one, the entry has no agent, uses the host platform's dialect and ends
// its shutdown within the platform's grace time.
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
    policy.deadline_bounds_uploads = true;
    policy.max_stop_duration =
        std::chrono::duration_cast<acacia::Duration>(
            std::chrono::duration<double>(settings.host_platform->grace_s)) -
        kKillMargin;
  }
  return policy;
}

// Reads the settings file again and applies the settings that can change while
// the entry runs. A file with mistakes is logged and otherwise ignored.
void Reload(const std::string& file, acacia::HostControl* control) {
  const auto settings = acacia::ReadEntrySettings(file);
  if (!settings) {
    acacia::LogEvent("settings_refused", acacia::LogSeverity::kError)
        .With("file", file)
        .With("mistakes", acacia::DescribeAll(settings.error()));
    return;
  }
  acacia::LogEvent("settings_read").With("file", file);
  if (control != nullptr) {
    control->Reload(*settings);
  }
}

int Serve(const std::string& file,
          const acacia::schema::EntrySettingsT& settings,
          SignalHandler& signals) {
  const acacia::SystemClock clock;
  std::optional<acacia::HostAdapter> adapter;
  if (settings.host_platform) {
    adapter = acacia::platform::MakeHostAdapter(*settings.host_platform);
  }
  acacia::EntryServer server(
      settings, clock, MakePolicy(settings, adapter ? &*adapter : nullptr));
  std::optional<acacia::HostControl> control;
  if (adapter) {
    control.emplace(settings, *adapter, server, clock);
  }
  auto listening =
      control ? control->Start() : tl::expected<void, std::string>();
  if (listening) {
    listening = server.Listen();
  }
  if (!listening) {
    acacia::LogEvent("cannot_listen", acacia::LogSeverity::kError)
        .With("reason", listening.error());
    return kExitFailure;
  }
  signals.Serve(server, adapter.has_value(),
                [&] { Reload(file, control ? &*control : nullptr); });
  server.Start();
  server.Wait();
  if (control) {
    // Connections that are still open at the end of the grace time would delay
    // the destructors until SIGKILL, so the process exits without them.
    acacia::LogEvent("exiting").With("instance", settings.instance);
    acacia::StandardLog().Flush();
    std::_Exit(0);
  }
  signals.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  acacia::PrepareProcess();
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
  const std::string file = line.values["settings"].as<std::string>();
  SignalHandler signals(file);
  auto settings = acacia::ReadEntrySettings(
      file, [](acacia::Duration pause) { std::this_thread::sleep_for(pause); });
  if (!settings) {
    std::cerr << acacia::DescribeAll(settings.error());
    return kExitUsage;
  }
  const auto applied = acacia::ApplyEnvironment(
      [](const char* name) { return std::getenv(name); }, *settings);
  if (!applied) {
    std::cerr << acacia::DescribeAll(applied.error());
    return kExitUsage;
  }
  acacia::StartLogging(argv[0]);
  const std::uint32_t limit = acacia::DescriptorLimit();
  if (settings->max_descriptors == 0 ||
      (limit > 0 && limit < settings->max_descriptors)) {
    settings->max_descriptors = limit;
  }
  signals.Start();
  return Serve(file, *settings, signals);
}
