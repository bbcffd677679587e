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

constexpr int kExitKept = 0;
constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNoLedger = 3;
constexpr int kExitTooFewAnswered = 4;
// Work that was cancelled late may still be on its way into a ledger.
constexpr std::chrono::milliseconds kSettle{1000};

constexpr char kAbout[] =
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

struct Outcome {
  std::vector<acacia::CallResult> results;
  std::optional<acacia::WorkRecords> ledger;
};

net::awaitable<void> Measure(const acacia::schema::LoadSettingsT& settings,
                             Outcome* outcome) {
  outcome->results = co_await acacia::RunLoad(settings);
  if (settings.ledgers.empty()) {
    co_return;
  }
  net::steady_timer settle(co_await net::this_coro::executor, kSettle);
  co_await settle.async_wait(net::use_awaitable);
  outcome->ledger = co_await acacia::ReadLedgers(settings.ledgers);
}

double AnsweredPercent(const std::vector<acacia::CallResult>& results) {
  const auto answered = std::count_if(
      results.begin(), results.end(), [](const acacia::CallResult& result) {
        return result.told == acacia::Told::kAnswered;
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
  Outcome outcome;
  net::co_spawn(io, Measure(*settings, &outcome), net::detached);
  io.run();
  const auto* ledger = outcome.ledger ? &*outcome.ledger : nullptr;
  const acacia::LoadReport report{
      *settings, outcome.results, ledger,
      acacia::CheckPromises(outcome.results, ledger)};
  std::cout << acacia::LoadReportText(report);
  if (!arguments.json_file.empty()) {
    std::ofstream(arguments.json_file) << acacia::LoadReportJson(report);
  }
  if (report.broken.Total() > 0) {
    return kExitBroken;
  }
  if (AnsweredPercent(outcome.results) < arguments.required_percent) {
    return kExitTooFewAnswered;
  }
  return settings->ledgers.empty() || ledger ? kExitKept : kExitNoLedger;
}

}  // namespace

int main(int argc, char** argv) {
  acacia::StartLogging(argv[0]);
  Arguments arguments;
  options::options_description known(kAbout);
  known.add_options()("help", "print this text")("version",
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
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << known;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << known;
    return kExitKept;
  }
  if (values.count("version") > 0) {
    std::cout << ACACIA_VERSION << "\n";
    return kExitKept;
  }
  if (arguments.settings_file.empty()) {
    std::cerr << "--settings is missing\n" << known;
    return kExitUsage;
  }
  return Run(arguments);
}
