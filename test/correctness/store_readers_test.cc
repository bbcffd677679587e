// Tests which entries read the store for others, and how long and for which
// versions their claims count.
#include "src/store_readers.h"

#include <catch2/catch.hpp>
#include <set>
#include <utility>

namespace acacia {
namespace {

const TimePoint kStart{std::chrono::seconds(1000)};
const TableVersions kSince{RowVersion(10), RowVersion(10), RowVersion(10)};

schema::MemberUpdateT Member(const std::string& name,
                             const std::string& domain) {
  schema::MemberUpdateT member;
  member.instance = name;
  member.failure_domain = domain;
  return member;
}

// Five entries of one failure domain and one of another, from the point of view
// of "a2".
struct ReadersFixture {
  ReadersFixture() {
    for (const std::string name : {"a0", "a1", "a3", "a4"}) {
      this->directory.Put(Member(name, "a"));
    }
    this->directory.Put(Member("b0", "b"));
  }

  void HearFrom(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      this->directory.OnHeard(InstanceId(name), this->now);
    }
  }
  bool Reads(RowVersion after) const {
    return this->readers.HasReader(FollowedTable::Registrations, after,
                                   this->directory, this->now);
  }

  MemberDirectory directory{Member("a2", "a")};
  StoreReaders readers{InstanceId("a2")};
  TimePoint now = kStart;
};

TEST_CASE("an entry that hears nobody reads the store itself") {
  ReadersFixture f;
  CHECK(f.readers.Role(f.directory, f.now) == ReaderRole::kFirst);
  f.HearFrom({"b0"});
  CHECK(f.readers.Role(f.directory, f.now) == ReaderRole::kFirst);
}

TEST_CASE("the first two that are heard in a failure domain read for it") {
  ReadersFixture f;
  f.HearFrom({"a0", "a1", "a3", "a4"});
  CHECK(f.readers.Role(f.directory, f.now) == ReaderRole::kListener);
  f.now += 2 * MemberDirectory::kSilenceTimeout;
  f.HearFrom({"a1", "a4"});
  CHECK(f.readers.Role(f.directory, f.now) == ReaderRole::kSecond);
  f.now += 2 * MemberDirectory::kSilenceTimeout;
  f.HearFrom({"a3", "a4"});
  CHECK(f.readers.Role(f.directory, f.now) == ReaderRole::kFirst);
}

TEST_CASE("a claim counts while it is renewed and only in its failure domain") {
  ReadersFixture f;
  f.readers.OnReadClaim(InstanceId("b0"), kSince, f.now);
  CHECK_FALSE(f.Reads(RowVersion(20)));
  f.readers.OnReadClaim(InstanceId("a0"), kSince, f.now);
  CHECK(f.Reads(RowVersion(20)));
  f.now += StoreReaders::kClaimExpiry + std::chrono::milliseconds(1);
  CHECK_FALSE(f.Reads(RowVersion(20)));
  f.readers.OnReadClaim(InstanceId("a0"), kSince, f.now);
  CHECK(f.Reads(RowVersion(20)));
  f.readers.OnReadClaim(InstanceId("a0"), {}, f.now);
  CHECK_FALSE(f.Reads(RowVersion(20)));
}

TEST_CASE("a reader that began later than what is known here may have a gap") {
  ReadersFixture f;
  f.readers.OnReadClaim(InstanceId("a0"), kSince, f.now);
  CHECK_FALSE(f.Reads(RowVersion(9)));
  CHECK(f.Reads(RowVersion(10)));
  f.readers.OnReadClaim(InstanceId("a1"), {RowVersion(3), {}, RowVersion(3)},
                        f.now);
  CHECK_FALSE(f.Reads(RowVersion(9)));
}

TEST_CASE(
    "readers of other failure domains are known until their claims expire") {
  ReadersFixture f;
  f.readers.OnReadClaim(InstanceId("b0"), kSince, f.now);
  f.readers.OnReadClaim(InstanceId("a0"), kSince, f.now);
  f.readers.OnReadClaim(InstanceId("unknown"), kSince, f.now);
  CHECK(f.readers.RemoteDomainReaders(f.directory, f.now) ==
        std::vector<InstanceId>{InstanceId("b0")});
  f.now += 2 * StoreReaders::kRemoteClaimExpiry;
  CHECK(f.readers.RemoteDomainReaders(f.directory, f.now).empty());
}

TEST_CASE("every reader of the fleet has a turn of its own") {
  const std::vector<std::pair<std::string, std::string>> members{
      {"a0", "a"}, {"a1", "a"}, {"a2", "a"},
      {"b0", "b"}, {"c0", "c"}, {"c1", "c"}};
  std::set<std::size_t> turns;
  for (const auto& [name, domain] : members) {
    MemberDirectory directory(Member(name, domain));
    for (const auto& [other, other_domain] : members) {
      directory.Put(Member(other, other_domain));
      directory.OnHeard(InstanceId(other), kStart);
    }
    const auto turn = StoreReaders::Turn(
        StoreReaders(InstanceId(name)).Role(directory, kStart), directory);
    REQUIRE(turn.has_value() == (name != "a2"));
    if (turn) {
      CHECK(turn->count == 5);
      turns.insert(turn->index);
    }
  }
  CHECK(turns == std::set<std::size_t>{0, 1, 2, 3, 4});
}

TEST_CASE("an entry that knows of no others has all turns") {
  const MemberDirectory directory(Member("a2", "a"));
  const ReaderRole role =
      StoreReaders(InstanceId("a2")).Role(directory, kStart);
  CHECK(StoreReaders::Turn(role, directory) == PollTurn{0, 1});
}

TEST_CASE("polls return to their turns after a change, and keep them") {
  for (std::size_t count = 1; count <= kMaxPollTurns; ++count) {
    std::set<Duration> ends;
    for (std::size_t index = 0; index < count; ++index) {
      const Duration first = PollWait({index, count}, true);
      ends.insert(first);
      CHECK(PollWait({index, count}, false) ==
            kPollTurnInterval * static_cast<int>(count));
      CHECK(first <= kPollTurnInterval * static_cast<int>(count));
    }
    CHECK(ends.size() == count);
  }
  CHECK(PollWait({40, 60}, true) <= kPollTurnInterval * kMaxPollTurns);
  CHECK(PollWait({40, 60}, false) == kPollTurnInterval * kMaxPollTurns);
}

}  // namespace
}  // namespace acacia
