// Splits a request target into its path and decoded query parameters.
#ifndef SRC_QUERY_STRING_H_
#define SRC_QUERY_STRING_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace acacia {

struct TargetParts {
  std::string path;
  // The first value of each parameter.
  std::map<std::string, std::string> parameters;

  // Returns the parameter's value; empty if there is none.
  std::string Parameter(const std::string& name) const;
};

// Returns nullopt if the target is not in origin form ("/path?query").
std::optional<TargetParts> ParseTarget(std::string_view target);

}  // namespace acacia

#endif  // SRC_QUERY_STRING_H_
