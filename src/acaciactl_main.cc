// The command line of acaciactl, with which operators validate and apply file
// sets, check a configuration of the host platform before they send it, and
// query the operator listener of an entry or agent.
#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <boost/url.hpp>
#include <iostream>

#include "platform/configuration_draft_reader.h"
#include "src/acaciactl.h"
#include "src/check_config.h"
#include "src/command_line.h"
#include "src/log_event.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

namespace options = boost::program_options;

constexpr char kUsage[] =
    "Usage:\n"
    "  acaciactl validate DIR\n"
    "  acaciactl apply DIR --platform IP:PORT [--write-id ID] [--based-on N]\n"
    "  acaciactl check-config FILE [--in-force FILE]\n"
    "  acaciactl status --operator IP:PORT [--token T]\n"
    "  acaciactl explain --operator IP:PORT [--token T] --service NAME\n"
    "Exit codes:\n"
    "  0 valid, accepted or answered\n"
    "  1 refused: another set won, the listener refused the question, or\n"
    "    the configuration has errors\n"
    "  2 a mistake in the files or on the command line\n"
    "  3 unknown: a reply was lost; run apply again with the same --write-id\n"
    "  4 the platform or the listener cannot be reached; nothing was applied\n";

options::options_description DescribeOptions() {
  options::options_description description("Options");
  description.add_options()("help", "print this text and exit")(
      "version", "print the version and exit")(
      "platform", options::value<std::string>()->default_value(""),
      "ip:port of the platform")(
      "write-id", options::value<std::string>()->default_value(""),
      "identifies this apply; the same again is safe")(
      "based-on", options::value<std::uint64_t>(),
      "refuse unless this generation is the current one")(
      "in-force", options::value<std::string>()->default_value(""),
      "the configuration in force, to compare with")(
      "writer", options::value<std::string>()->default_value("acaciactl"),
      "who applies, for the record")(
      "operator", options::value<std::string>()->default_value(""),
      "ip:port of an operator listener")(
      "token", options::value<std::string>()->default_value(""),
      "the operator listener's token")(
      "service", options::value<std::string>()->default_value(""),
      "the service to explain")(
      "settings", options::value<std::string>(),
      "a file of NAME = VALUE lines with defaults for these options")(
      "words", options::value<std::vector<std::string>>(),
      "command, and DIR or FILE");
  return description;
}

int ReportUsageError(const std::string& message) {
  std::cerr << message << "\n" << kUsage;
  return kCtlMistake;
}

std::string StringOption(const options::variables_map& values,
                         const char* name) {
  return values[name].as<std::string>();
}

int RunApply(const options::variables_map& values, const std::string& folder) {
  ApplyOptions apply;
  apply.folder = folder;
  apply.platform = StringOption(values, "platform");
  apply.write_id = StringOption(values, "write-id");
  apply.writer = StringOption(values, "writer");
  if (values.contains("based-on")) {
    apply.based_on = Generation(values["based-on"].as<std::uint64_t>());
  }
  if (!ParseSocketAddress(apply.platform)) {
    return ReportUsageError("--platform must be ip:port");
  }
  return Apply(apply, std::cout, std::cerr);
}

int RunQuery(const options::variables_map& values, std::string target) {
  const OperatorQuery query{StringOption(values, "operator"),
                            StringOption(values, "token"), std::move(target)};
  if (!ParseSocketAddress(query.address)) {
    return ReportUsageError("--operator must be ip:port");
  }
  return Ask(query, std::cout, std::cerr);
}

int RunCommand(const options::variables_map& values,
               const std::vector<std::string>& words) {
  const std::string& command = words.front();
  const bool takes_path =
      command == "validate" || command == "apply" || command == "check-config";
  if (words.size() != (takes_path ? 2 : 1)) {
    return ReportUsageError(takes_path ? "name one folder or file"
                                       : "too many words");
  }
  if (command == "validate") {
    return Validate(words[1], std::cout, std::cerr);
  }
  if (command == "apply") {
    return RunApply(values, words[1]);
  }
  if (command == "check-config") {
    return CheckConfig({words[1], StringOption(values, "in-force")},
                       platform::ReadConfigurationDraft, std::cout, std::cerr);
  }
  if (command == "status") {
    return RunQuery(values, "/status");
  }
  if (command == "explain") {
    const std::string service = StringOption(values, "service");
    if (service.empty()) {
      return ReportUsageError("--service is required");
    }
    return RunQuery(values, "/explain?service=" +
                                boost::urls::encode(
                                    service, boost::urls::unreserved_chars));
  }
  return ReportUsageError("unknown command: " + command);
}

int Main(int argc, char** argv) {
  const options::options_description description = DescribeOptions();
  options::positional_options_description positional;
  positional.add("words", -1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positional)
                       .run(),
                   values);
    if (values.contains("settings")) {
      options::store(
          options::parse_config_file<char>(
              values["settings"].as<std::string>().c_str(), description),
          values);
    }
  } catch (const options::error& error) {
    return ReportUsageError(error.what());
  }
  if (values.contains("help")) {
    std::cout << kUsage << description;
    return kCtlAccepted;
  }
  if (values.contains("version")) {
    std::cout << ACACIA_VERSION << "\n";
    return kCtlAccepted;
  }
  if (!values.contains("words")) {
    return ReportUsageError("name a command");
  }
  return RunCommand(values, values["words"].as<std::vector<std::string>>());
}

}  // namespace
}  // namespace acacia

int main(int argc, char** argv) {
  acacia::StartLogging(argv[0]);
  return acacia::Main(argc, argv);
}
