#include "src/query_string.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace acacia {

std::string TargetParts::Parameter(const std::string& name) const {
  const auto found = this->parameters.find(name);
  return found == this->parameters.end() ? std::string() : found->second;
}

std::optional<TargetParts> ParseTarget(std::string_view target) {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url) {
    return std::nullopt;
  }
  TargetParts parts;
  parts.path = url->path();
  for (const auto& parameter : url->params()) {
    parts.parameters.emplace(parameter.key, parameter.value);
  }
  return parts;
}

}  // namespace acacia
