#include "src/fleet_state.h"

#include <catch2/catch.hpp>

#include "src/peer_messages.h"

namespace acacia {
namespace {

const TimePoint kNow{std::chrono::seconds(1000)};

TEST_CASE("registrations and members become the fleet's state") {
  BackendRegistry registry;
  RegisteredBackend backend;
  backend.id = BackendId("i-1@7");
  backend.service = ServiceName("kehto");
  backend.server = {backend.id, FailureDomain("oulu"), 6, "10.0.0.1:80", "i-1"};
  backend.leaving = true;
  backend.cold_left = std::chrono::seconds(1);
  registry.Put("i-1", backend, kNow);
  schema::MemberUpdateT self;
  self.instance = "e1";
  const MemberDirectory directory(self);
  const auto fleet = BuildFleetUpdate(registry, directory, 9, kNow);
  CHECK(fleet->fleet_size == 9);
  CHECK(fleet->members.size() == 1);
  REQUIRE(fleet->services.size() == 1);
  const schema::ServiceFleetStateT& service = *fleet->services[0];
  CHECK(service.leaving == std::vector<std::string>{"i-1@7"});
  REQUIRE(service.discovered.size() == 1);
  CHECK(service.discovered[0]->expected_instance == "i-1");
  CHECK(service.discovered[0]->cold);
}

TEST_CASE("messages between entries survive the way, and garbage does not") {
  schema::BackendEvidenceT evidence;
  evidence.id = "i-1@7";
  evidence.failures = 2;
  const std::string bytes = SerializeShare(
      "e1", {RowVersion(1), RowVersion(2), RowVersion(3)}, {evidence});
  const auto share = ParseShare(bytes);
  REQUIRE(share);
  CHECK(share->registrations_row == 2);
  REQUIRE(share->outcomes.size() == 1);
  CHECK(share->outcomes[0]->failures == 2);
  CHECK_FALSE(ParseShare("garbage"));
  CHECK_FALSE(ParseShare(""));
  CHECK_FALSE(ParseMember(bytes.substr(0, bytes.size() / 2)));
}

}  // namespace
}  // namespace acacia
