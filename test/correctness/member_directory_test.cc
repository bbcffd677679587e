#include "src/member_directory.h"

#include <catch2/catch.hpp>

namespace acacia {
namespace {

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
  CHECK(directory.AddressesFor(FailureDomain("a")).size() == 5);
  CHECK(directory.AddressesFor(FailureDomain("b")).size() == 4);
  CHECK(directory.AddressesFor(FailureDomain("elsewhere")).size() == 9);
}

TEST_CASE("too few in a failure domain: callers get all") {
  MemberDirectory directory(Member("a0", "a"));
  directory.Put(Member("b1", "b"));
  CHECK(directory.AddressesFor(FailureDomain("a")).size() == 2);
}

TEST_CASE("dead, leaving and removed entries are not named") {
  MemberDirectory directory(Member("a0", "a"));
  schema::MemberUpdateT dead = Member("a1", "a");
  dead.state = schema::MemberState::Dead;
  directory.Put(dead);
  directory.Put(Member("a2", "a"));
  directory.Remove(InstanceId("a2"));
  CHECK(directory.AddressesFor(FailureDomain("a")) ==
        std::vector<std::string>{"a0:1"});
  directory.Leave();
  CHECK(directory.AddressesFor(FailureDomain("a")).empty());
}

TEST_CASE("an answer names at most 64 entries") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 100; ++i) {
    directory.Put(Member("a" + std::to_string(i), "a"));
  }
  CHECK(directory.AddressesFor(FailureDomain("a")).size() == 64);
}

}  // namespace
}  // namespace acacia
