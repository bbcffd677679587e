// Decides on whose account a request runs, from its Authorization headers and
// the keys of the configuration. No I/O.
#ifndef SRC_CALLER_AUTHENTICATION_H_
#define SRC_CALLER_AUTHENTICATION_H_

#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/account_table.h"
#include "src/configuration.h"
#include "src/configuration_age.h"
#include "src/error_kind.h"

namespace acacia {

// `authorization` holds the value of each Authorization header of the request.
// Returns the caller's account, valid for the lifetime of the configuration;
// null where callers need no key: on anonymous routes, and if the configuration
// has no accounts. The error is the one with which the request must be refused.
tl::expected<const ClientAccount*, ErrorKind> AuthenticateCaller(
    const std::vector<std::string_view>& authorization,
    const Route& route,
    const Configuration& configuration,
    ConfigurationAge age);

// Whether an Authorization header may hold a key of a client account, which
// must not be forwarded.
bool HoldsKey(std::string_view authorization);

}  // namespace acacia

#endif  // SRC_CALLER_AUTHENTICATION_H_
