#include "src/router.h"

#include <algorithm>

#include "src/lower_case.h"

namespace acacia {
namespace {

std::string HostKey(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string key(colon == std::string_view::npos ? host
                                                  : host.substr(0, colon));
  for (char& c : key) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return key;
}

bool AllowsMethod(const Route& route, std::string_view method) {
  if (route.methods.empty()) {
    return true;
  }
  return std::find(route.methods.begin(), route.methods.end(), method) !=
         route.methods.end();
}

// Whether a route with this prefix takes the path: the prefix ends with a slash
// or at the end of a segment of the path. `path` begins with `prefix`.
bool EndsSegment(std::string_view prefix, std::string_view path) {
  return prefix.size() == path.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/';
}

}  // namespace

Router::Router(const Configuration& configuration) {
  for (const Route& route : configuration.routes) {
    ByPrefix& by_prefix = this->by_host[HostKey(route.host)];
    by_prefix[route.path_prefix].push_back(&route);
  }
}

tl::expected<const Route*, ErrorKind> Router::Find(
    std::string_view host,
    std::string_view path,
    std::string_view method) const {
  ErrorKind error = ErrorKind::kNoRoute;
  const std::string host_key = HostKey(host);
  const std::string any_host_key;
  for (const std::string* key : {&host_key, &any_host_key}) {
    const auto found = this->by_host.find(*key);
    if (found == this->by_host.end()) {
      continue;
    }
    const auto route = this->FindInHost(found->second, path, method);
    if (route) {
      return route;
    }
    if (route.error() == ErrorKind::kMethodNotAllowed) {
      error = route.error();
    }
  }
  return tl::unexpected(error);
}

tl::expected<const Route*, ErrorKind> Router::FindInHost(
    const ByPrefix& by_prefix,
    std::string_view path,
    std::string_view method) const {
  ErrorKind error = ErrorKind::kNoRoute;
  for (std::size_t size = path.size(); size > 0; --size) {
    const std::string_view prefix = path.substr(0, size);
    if (!EndsSegment(prefix, path)) {
      continue;
    }
    const auto found = by_prefix.find(prefix);
    if (found == by_prefix.end()) {
      continue;
    }
    for (const Route* route : found->second) {
      if (AllowsMethod(*route, method)) {
        return route;
      }
    }
    error = ErrorKind::kMethodNotAllowed;
  }
  return tl::unexpected(error);
}

}  // namespace acacia
