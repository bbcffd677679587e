#include "src/command_line.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace acacia {

namespace options = boost::program_options;

tl::expected<std::string, int> ParseDaemonCommandLine(
    int argc,
    const char* const* argv,
    const std::string& about) {
  options::options_description description("Options");
  description.add_options()("help", "print this text and exit")(
      "version", "print the version and exit")(
      "settings", options::value<std::string>(),
      "the settings, a JSON file with comments");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return tl::unexpected(kExitUsage);
  }
  if (values.contains("help")) {
    std::cout << about << "\n\n"
              << description
              << "\nExit codes: 0 stopped or printed, 1 failed or told twice "
                 "to stop, 2 mistake on the command line or in the settings\n";
    return tl::unexpected(kExitOk);
  }
  if (values.contains("version")) {
    std::cout << ACACIA_VERSION << "\n";
    return tl::unexpected(kExitOk);
  }
  if (!values.contains("settings")) {
    std::cerr << "--settings is required\n" << description;
    return tl::unexpected(kExitUsage);
  }
  return values["settings"].as<std::string>();
}

}  // namespace acacia
