#include "standin/path_faults.h"

#include <boost/json.hpp>
#include <exception>
#include <map>

namespace acacia {
namespace {

namespace json = boost::json;

const std::map<std::string, bool PathFaults::*> kFlags = {
    {"cut_to_target", &PathFaults::cut_to_target},
    {"cut_to_caller", &PathFaults::cut_to_caller},
    {"refuse_new", &PathFaults::refuse_new},
    {"silence_existing", &PathFaults::silence_existing},
    {"reset_existing", &PathFaults::reset_existing}};

const std::map<std::string, std::uint32_t PathFaults::*> kNumbers = {
    {"delay_ms", &PathFaults::delay_ms},
    {"drop_permille", &PathFaults::drop_permille}};

}  // namespace

tl::expected<PathFaults, std::string> ParsePathFaults(const std::string& text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return tl::unexpected<std::string>("not a JSON object");
  }
  PathFaults faults;
  for (const auto& [key, field] : value.as_object()) {
    const std::string name(key);
    const auto flag = kFlags.find(name);
    const auto number = kNumbers.find(name);
    try {
      if (flag != kFlags.end()) {
        faults.*(flag->second) = field.as_bool();
      } else if (number != kNumbers.end()) {
        faults.*(number->second) = field.to_number<std::uint32_t>();
      } else {
        return tl::unexpected("unknown field: " + name);
      }
    } catch (const std::exception&) {
      return tl::unexpected("wrong type: " + name);
    }
  }
  return faults;
}

}  // namespace acacia
