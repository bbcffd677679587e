#include "src/member_directory.h"

#include <catch2/catch.hpp>

namespace acacia {
namespace {

const TimePoint kNow{std::chrono::seconds(1000)};

schema::MemberUpdateT Member(const std::string& name,
                             const std::string& domain) {
  schema::MemberUpdateT member;
  member.instance = name;
  member.failure_domain = domain;
  member.caller_address = name + ":1";
  member.state = schema::MemberState::Alive;
  return member;
}

TEST_CASE("callers get the entries of their own failure domain") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 5; ++i) {
    directory.Put(Member("a" + std::to_string(i), "a"));
    directory.Put(Member("b" + std::to_string(i), "b"));
  }
  CHECK(directory.AddressesFor(FailureDomain("a"), kNow).size() == 5);
  CHECK(directory.AddressesFor(FailureDomain("b"), kNow).size() == 4);
  CHECK(directory.AddressesFor(FailureDomain("elsewhere"), kNow).size() == 9);
}

TEST_CASE("too few in a failure domain: callers get all") {
  MemberDirectory directory(Member("a0", "a"));
  directory.Put(Member("b1", "b"));
  CHECK(directory.AddressesFor(FailureDomain("a"), kNow).size() == 2);
}

TEST_CASE("dead, leaving and removed entries are not named") {
  MemberDirectory directory(Member("a0", "a"));
  schema::MemberUpdateT dead = Member("a1", "a");
  dead.state = schema::MemberState::Dead;
  directory.Put(dead);
  directory.Put(Member("a2", "a"));
  directory.Remove(InstanceId("a2"));
  CHECK(directory.AddressesFor(FailureDomain("a"), kNow) ==
        std::vector<std::string>{"a0:1"});
  directory.Leave();
  CHECK(directory.AddressesFor(FailureDomain("a"), kNow).empty());
}

TEST_CASE("an answer names at most 64 entries") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 100; ++i) {
    directory.Put(Member("a" + std::to_string(i), "a"));
  }
  CHECK(directory.AddressesFor(FailureDomain("a"), kNow).size() == 64);
}

TEST_CASE("an entry that falls silent leaves the answers until it is heard") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 6; ++i) {
    const std::string name = "a" + std::to_string(i);
    directory.Put(Member(name, "a"));
    directory.OnHeard(InstanceId(name), kNow);
  }
  const TimePoint later = kNow + 2 * MemberDirectory::kSilence;
  for (int i = 1; i < 5; ++i) {
    directory.OnHeard(InstanceId("a" + std::to_string(i)), later);
  }
  CHECK(directory.AddressesFor(FailureDomain("a"), later).size() == 5);
  directory.OnHeard(InstanceId("a5"), later);
  CHECK(directory.AddressesFor(FailureDomain("a"), later).size() == 6);
}

TEST_CASE("when most are silent at once, nobody is left out") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 6; ++i) {
    const std::string name = "a" + std::to_string(i);
    directory.Put(Member(name, "a"));
    directory.OnHeard(InstanceId(name), kNow);
  }
  const TimePoint later = kNow + 2 * MemberDirectory::kSilence;
  directory.OnHeard(InstanceId("a1"), later);
  CHECK(directory.AddressesFor(FailureDomain("a"), later).size() == 6);
}

TEST_CASE("entries of other failure domains are not judged by their silence") {
  MemberDirectory directory(Member("a0", "a"));
  directory.Put(Member("b1", "b"));
  directory.OnHeard(InstanceId("b1"), kNow);
  CHECK(directory.AddressesFor(FailureDomain("b"), kNow + std::chrono::hours(1))
            .size() == 2);
}

}  // namespace
}  // namespace acacia
