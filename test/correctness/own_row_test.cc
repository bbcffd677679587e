// Tests how an entry notices that the store lost its row in the members table.
#include <catch2/catch.hpp>

#include "src/peer_messages.h"

namespace acacia {
namespace {

struct OwnRowFixture {
  OwnRowFixture() {
    this->self.instance = "e1";
    this->self.started = 20;
    this->members.version = MakeRowVersion(StoreEra(2), 40);
  }

  void AddRow(const std::string& instance, std::uint64_t started) {
    schema::MemberUpdateT member;
    member.instance = instance;
    member.started = started;
    this->members.rows.push_back(
        {instance, SerializeMember(member), this->members.version, false});
  }
  OwnRow Find(RowVersion written) const {
    return FindOwnRow(this->members, this->self, written);
  }

  schema::MemberUpdateT self;
  TableRows members;
  RowVersion lost_version = MakeRowVersion(StoreEra(1), 55);
};

TEST_CASE("a row that a restored store lost is noticed") {
  OwnRowFixture f;
  f.AddRow("e2", 30);
  CHECK(f.Find(f.lost_version) == OwnRow::kLost);
  f.AddRow("e1", 20);
  CHECK(f.Find(f.lost_version) == OwnRow::kPresent);
}

TEST_CASE("the row of an earlier process in a restored store is noticed") {
  OwnRowFixture f;
  f.AddRow("e1", 10);
  CHECK(f.Find(f.lost_version) == OwnRow::kLost);
}

TEST_CASE("the row of a later process is left alone") {
  OwnRowFixture f;
  f.AddRow("e1", 21);
  CHECK(f.Find(f.lost_version) == OwnRow::kPresent);
}

TEST_CASE("a reading older than the row says nothing about it") {
  const OwnRowFixture f;
  CHECK(f.Find(MakeRowVersion(StoreEra(2), 41)) == OwnRow::kPresent);
}

}  // namespace
}  // namespace acacia
