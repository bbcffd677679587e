#include "standin/program.h"

#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>

namespace acacia {

namespace options = boost::program_options;

CommandLine ReadCommandLine(int argc, char** argv, const std::string& about) {
  CommandLine line;
  options::options_description known(about + "\nOptions");
  known.add_options()("help", "print this text")("version",
                                                 "print the version")(
      "settings", options::value<std::string>(&line.settings_file),
      "settings file, JSON with comments");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << known;
    line.exit_code = kExitUsage;
    return line;
  }
  if (values.count("help") > 0) {
    std::cout << known;
    line.exit_code = kExitOk;
  } else if (values.count("version") > 0) {
    std::cout << ACACIA_VERSION << "\n";
    line.exit_code = kExitOk;
  } else if (line.settings_file.empty()) {
    std::cerr << "--settings is missing\n" << known;
    line.exit_code = kExitUsage;
  }
  return line;
}

void StopOnSignal(boost::asio::io_context& io) {
  auto signals = std::make_shared<boost::asio::signal_set>(io, SIGTERM, SIGINT);
  signals->async_wait(
      [&io, signals](boost::system::error_code, int) { io.stop(); });
}

}  // namespace acacia
