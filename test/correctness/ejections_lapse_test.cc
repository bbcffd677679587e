#include <catch2/catch.hpp>

#include "src/entry_snapshot.h"

namespace acacia {
namespace {

TEST_CASE("an entry without its agent drops ejections once they lapse") {
  schema::FleetUpdateT fleet;
  fleet.ejections_valid_ms = 1000;
  fleet.services.push_back(std::make_unique<schema::ServiceFleetStateT>());
  fleet.services[0]->ejected = {"b1"};
  CHECK_FALSE(DropLapsedEjections(fleet, std::chrono::seconds(1)));
  CHECK(fleet.services[0]->ejected.size() == 1);
  CHECK(DropLapsedEjections(fleet, std::chrono::milliseconds(1001)));
  CHECK(fleet.services[0]->ejected.empty());
  CHECK_FALSE(DropLapsedEjections(fleet, std::chrono::seconds(9)));
}

}  // namespace
}  // namespace acacia
