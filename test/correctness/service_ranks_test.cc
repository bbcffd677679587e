// Tests which services are ordered by rank, by what their routes and the client
// accounts say.
#include <catch2/catch.hpp>

#include "src/account_table.h"
#include "src/entry_snapshot.h"

namespace acacia {
namespace {

bool IsOrdered(const std::vector<std::uint32_t>& route_priorities,
               std::shared_ptr<const AccountTable> accounts,
               bool order_by_rank = true) {
  Configuration configuration;
  const ServiceName name("s");
  configuration.services[name].name = name;
  configuration.services[name].policy.order_by_rank = order_by_rank;
  for (const std::uint32_t priority : route_priorities) {
    Route route;
    route.service = name;
    route.priority = priority;
    configuration.routes.push_back(route);
  }
  Route other;
  other.service = ServiceName("other");
  other.priority = 7;
  configuration.routes.push_back(other);
  configuration.keyed_accounts = std::move(accounts);
  return BuildSnapshot(
             std::make_shared<const Configuration>(std::move(configuration)),
             nullptr, {})
      .views.at(name)
      .is_ordered;
}

}  // namespace

// Guards against changes to deployments whose requests all have one rank.
TEST_CASE("a service is ordered only if its requests have different ranks") {
  CHECK_FALSE(IsOrdered({}, nullptr));
  CHECK_FALSE(IsOrdered({2, 2}, nullptr));
  CHECK(IsOrdered({0, 1}, nullptr));
  CHECK_FALSE(IsOrdered({0, 1}, nullptr, false));
  const auto plain = std::make_shared<AccountTable>();
  plain->Add({AccountId("a")}, {});
  CHECK_FALSE(IsOrdered({2, 2}, plain));
  const auto ranked = std::make_shared<AccountTable>();
  ranked->Add({AccountId("a")}, {});
  ranked->Add({AccountId("b"), 1}, {});
  CHECK(IsOrdered({2, 2}, ranked));
  CHECK_FALSE(IsOrdered({1, 1}, ranked));
}

}  // namespace acacia
