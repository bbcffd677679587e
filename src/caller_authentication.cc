#include "src/caller_authentication.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <locale>

namespace acacia {
namespace {

constexpr std::string_view kBearer = "bearer";
constexpr std::string_view kBlanks = " \t";

std::string_view SchemeOf(std::string_view authorization) {
  return authorization.substr(0, authorization.find_first_of(kBlanks));
}

// Returns what follows the scheme, without the spaces around it.
std::string_view CredentialsOf(std::string_view authorization) {
  authorization.remove_prefix(SchemeOf(authorization).size());
  const std::size_t first = authorization.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = authorization.find_last_not_of(kBlanks);
  return authorization.substr(first, last - first + 1);
}

}  // namespace

bool HoldsKey(std::string_view authorization) {
  return boost::algorithm::iequals(SchemeOf(authorization), kBearer,
                                   std::locale::classic());
}

// Several Authorization headers are refused on every route: which of them
// counts would depend on who reads them (RFC 9110, section 5.3).
tl::expected<const ClientAccount*, ErrorKind> AuthenticateCaller(
    const std::vector<std::string_view>& authorization,
    const Route& route,
    const Configuration& configuration,
    ConfigurationAge age) {
  if (!configuration.keyed_accounts) {
    return nullptr;
  }
  if (authorization.size() > 1) {
    return tl::unexpected(ErrorKind::kBadRequest);
  }
  if (route.anonymous) {
    return nullptr;
  }
  if (!authorization.empty() && HoldsKey(authorization.front())) {
    const ClientAccount* account = configuration.keyed_accounts->Find(
        CredentialsOf(authorization.front()));
    if (account != nullptr) {
      return account;
    }
  }
  return tl::unexpected(age == ConfigurationAge::kOutdated
                            ? ErrorKind::kConfigurationOutdated
                            : ErrorKind::kUnknownKey);
}

}  // namespace acacia
