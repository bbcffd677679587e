#include <algorithm>
#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <utility>

#include "src/log_event.h"
#include "src/settings.h"
#include "standin/load_generator.h"
#include "standin/load_report.h"

namespace {

namespace net = boost::asio;
namespace options = boost::program_options;

constexpr int kExitPromisesKept = 0;
constexpr int kExitPromiseBroken = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNoLedger = 3;
constexpr int kExitTooFewAnswered = 4;
// Wait before the ledgers are read: work cancelled near the end of the run may
// be recorded late.
constexpr std::chrono::milliseconds kLedgerSettleTime{1000};

constexpr char kUsage[] =
    "acacia-load: sends open-loop load through the fleet, checks every "
    "answer,\n"
    "and compares what callers were told with the backend servers' ledgers.\n"
    "Exit codes: 0 all promises kept, 1 a promise broken, 2 usage, 3 a ledger\n"
    "could not be read, 4 fewer answered than required.\nOptions";

struct Arguments {
  std::string settings_file;
  std::string json_file;
  std::uint32_t seconds = 0;
  double required_percent = 0;
};

struct Measurement {
  std::vector<acacia::CallResult> results;
  std::optional<acacia::WorkRecords> ledger;
};

net::awaitable<void> Measure(const acacia::schema::LoadSettingsT& settings,
                             Measurement* measurement) {
  measurement->results = co_await acacia::RunLoad(settings);
  if (settings.ledgers.empty()) {
    co_return;
  }
  net::steady_timer settle_timer(co_await net::this_coro::executor,
                                 kLedgerSettleTime);
  co_await settle_timer.async_wait(net::use_awaitable);
  measurement->ledger = co_await acacia::ReadLedgers(settings.ledgers);
}

double AnsweredPercent(const std::vector<acacia::CallResult>& results) {
  const auto answered = std::count_if(
      results.begin(), results.end(), [](const acacia::CallResult& result) {
        return result.outcome == acacia::CallOutcome::kAnswered;
      });
  constexpr double kPercent = 100;
  return kPercent * static_cast<double>(answered) /
         static_cast<double>(std::max<std::size_t>(results.size(), 1));
}

int Run(const Arguments& arguments) {
  auto settings = acacia::ReadLoadSettings(arguments.settings_file);
  if (!settings) {
    std::cerr << acacia::DescribeAll(settings.error());
    return kExitUsage;
  }
  if (settings->entries.empty() || settings->classes.empty()) {
    std::cerr << arguments.settings_file
              << ": entries and classes must not be empty\n";
    return kExitUsage;
  }
  if (arguments.seconds > 0) {
    settings->duration_ms = arguments.seconds * 1000;
  }
  net::io_context io(1);
  Measurement measurement;
  net::co_spawn(io, Measure(*settings, &measurement), net::detached);
  io.run();
  const auto* ledger = measurement.ledger ? &*measurement.ledger : nullptr;
  const acacia::LoadReport report{
      *settings, measurement.results, ledger,
      acacia::CheckPromises(measurement.results, ledger)};
  std::cout << acacia::LoadReportText(report);
  if (!arguments.json_file.empty()) {
    std::ofstream(arguments.json_file) << acacia::LoadReportJson(report);
  }
  if (report.broken.Total() > 0) {
    return kExitPromiseBroken;
  }
  if (AnsweredPercent(measurement.results) < arguments.required_percent) {
    return kExitTooFewAnswered;
  }
  return settings->ledgers.empty() || ledger ? kExitPromisesKept
                                             : kExitNoLedger;
}

}  // namespace

int main(int argc, char** argv) {
  acacia::StartLogging(argv[0]);
  Arguments arguments;
  options::options_description known_options(kUsage);
  known_options.add_options()("help", "print this text")("version",
                                                         "print the version")(
      "settings", options::value(&arguments.settings_file),
      "settings file (LoadSettings), JSON with comments")(
      "json", options::value(&arguments.json_file),
      "write the report there as JSON, too")(
      "seconds", options::value(&arguments.seconds),
      "overrides the settings' duration")(
      "require-answered", options::value(&arguments.required_percent),
      "per cent of the requests that must be answered");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, known_options),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << known_options;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << known_options;
    return kExitPromisesKept;
  }
  if (values.count("version") > 0) {
    std::cout << ACACIA_VERSION << "\n";
    return kExitPromisesKept;
  }
  if (arguments.settings_file.empty()) {
    std::cerr << "--settings is missing\n" << known_options;
    return kExitUsage;
  }
  return Run(arguments);
}
