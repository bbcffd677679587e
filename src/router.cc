#include "src/router.h"

#include <algorithm>

#include "src/lower_case.h"

namespace acacia {
namespace {

std::string_view WithoutTrailingSlash(std::string_view path) {
  while (path.size() > 1 && path.back() == '/') {
    path.remove_suffix(1);
  }
  return path;
}

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

// "/a/b" -> "/a" -> "/" -> "".
std::string_view ParentPrefix(std::string_view prefix) {
  if (prefix == "/") {
    return "";
  }
  const std::size_t slash = prefix.rfind('/');
  return slash == 0 || slash == std::string_view::npos
             ? "/"
             : prefix.substr(0, slash);
}

}  // namespace

Router::Router(const Configuration& configuration) {
  for (const Route& route : configuration.routes) {
    ByPrefix& by_prefix = this->by_host[HostKey(route.host)];
    const std::string prefix(WithoutTrailingSlash(route.path_prefix));
    by_prefix[prefix].push_back(&route);
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
  for (std::string_view prefix = WithoutTrailingSlash(path); !prefix.empty();
       prefix = ParentPrefix(prefix)) {
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
