// Finds the route for a request. Routes for the exact host precede routes for
// any host; among them, the longest path prefix that ends at a segment boundary
// matches. A trailing slash is part of the prefix: "/a/" takes "/a/b" but not
// "/a". Paths are compared byte by byte. A lookup takes at most two hash probes
// per path segment, independent of the number of routes.
#ifndef SRC_ROUTER_H_
#define SRC_ROUTER_H_

#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "src/configuration.h"
#include "src/error_kind.h"

namespace acacia {

class Router {
 public:
  // The configuration must outlive the router.
  explicit Router(const Configuration& configuration);

  // Returns the matching route. `path` is the request target without its query.
  // Errors: kNoRoute, kMethodNotAllowed.
  tl::expected<const Route*, ErrorKind> Find(std::string_view host,
                                             std::string_view path,
                                             std::string_view method) const;

 private:
  // Allows lookups by string_view without a copy.
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  template <typename Value>
  using ByText =
      std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;
  using Candidates = std::vector<const Route*>;
  using ByPrefix = ByText<Candidates>;

  tl::expected<const Route*, ErrorKind> FindInHost(
      const ByPrefix& by_prefix,
      std::string_view path,
      std::string_view method) const;

  ByText<ByPrefix> by_host;
};

}  // namespace acacia

#endif  // SRC_ROUTER_H_
