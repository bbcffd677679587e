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
  backend.cold_remaining = std::chrono::seconds(1);
  registry.Put("i-1", backend, kNow);
  schema::MemberUpdateT self;
  self.instance = "e1";
  const MemberDirectory directory(self);
  const auto fleet = BuildFleetUpdate(registry, directory, Cells(), 9, kNow);
  CHECK(fleet->fleet_size == 9);
  CHECK(fleet->members.size() == 1);
  REQUIRE(fleet->services.size() == 1);
  const schema::ServiceFleetStateT& service = *fleet->services[0];
  CHECK(service.leaving == std::vector<std::string>{"i-1@7"});
  REQUIRE(service.discovered.size() == 1);
  CHECK(service.discovered[0]->expected_instance == "i-1");
  CHECK(service.discovered[0]->cold);
}

TEST_CASE("messages between entries round-trip, and garbage is rejected") {
  schema::BackendEvidenceT evidence;
  evidence.id = "i-1@7";
  evidence.failures = 2;
  const TableVersions known{RowVersion(1), RowVersion(2), RowVersion(3)};
  const TableVersions since{RowVersion(4), RowVersion(5), RowVersion(6)};
  const std::string bytes = SerializeShare({"e1", known, since}, {{evidence}});
  const auto message = ParseEntryMessage(bytes);
  REQUIRE(message);
  REQUIRE(message->share);
  CHECK_FALSE(message->relayed);
  CHECK(message->share->registrations_row == 2);
  CHECK(KnownVersions(*message->share) == known);
  CHECK(GapFreeVersions(*message->share) == since);
  REQUIRE(message->share->outcomes.size() == 1);
  CHECK(message->share->outcomes[0]->failures == 2);
  CHECK_FALSE(ParseEntryMessage("garbage"));
  CHECK_FALSE(ParseEntryMessage(""));
  CHECK_FALSE(ParseEntryMessage(bytes.substr(0, bytes.size() / 2)));
  schema::MemberUpdateT member;
  member.instance = "e1";
  const std::string row = SerializeMember(member);
  CHECK(ParseMember(row));
  CHECK_FALSE(ParseMember(row.substr(0, row.size() / 2)));
}

TEST_CASE("relayed changes round-trip unchanged") {
  const TableRows changes{{{"a", std::string("x\0y", 3), RowVersion(8), false},
                           {"b", "", RowVersion(9), true}},
                          RowVersion(9)};
  const auto message = ParseEntryMessage(
      SerializeRelayed(FollowedTable::Members, RowVersion(7), changes));
  REQUIRE(message);
  REQUIRE(message->relayed);
  CHECK(message->relayed->table == FollowedTable::Members);
  CHECK(message->relayed->after == 7);
  const TableRows read = UnpackRelayed(*message->relayed);
  CHECK(read.version == RowVersion(9));
  REQUIRE(read.rows.size() == 2);
  CHECK(read.rows[0].value == changes.rows[0].value);
  CHECK(read.rows[0].version == RowVersion(8));
  CHECK(read.rows[1].removed);
}

}  // namespace
}  // namespace acacia
