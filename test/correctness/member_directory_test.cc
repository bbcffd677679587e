#include "src/member_directory.h"

#include <catch2/catch.hpp>

namespace acacia {
namespace {

const TimePoint kNow{std::chrono::seconds(1000)};
SeededRandom random(1);

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
  CHECK(directory.AddressesFor(FailureDomain("a"), random, kNow).size() == 5);
  CHECK(directory.AddressesFor(FailureDomain("b"), random, kNow).size() == 4);
  CHECK(
      directory.AddressesFor(FailureDomain("elsewhere"), random, kNow).size() ==
      9);
}

TEST_CASE("too few in a failure domain: callers get all") {
  MemberDirectory directory(Member("a0", "a"));
  directory.Put(Member("b1", "b"));
  CHECK(directory.AddressesFor(FailureDomain("a"), random, kNow).size() == 2);
}

TEST_CASE("dead, leaving and removed entries are not named") {
  MemberDirectory directory(Member("a0", "a"));
  schema::MemberUpdateT dead = Member("a1", "a");
  dead.state = schema::MemberState::Dead;
  directory.Put(dead);
  directory.Put(Member("a2", "a"));
  directory.Remove(InstanceId("a2"));
  CHECK(directory.AddressesFor(FailureDomain("a"), random, kNow) ==
        std::vector<std::string>{"a0:1"});
  directory.Leave();
  CHECK(directory.AddressesFor(FailureDomain("a"), random, kNow).empty());
}

TEST_CASE("an answer names at most 64 entries") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 100; ++i) {
    directory.Put(Member("a" + std::to_string(i), "a"));
  }
  CHECK(directory.AddressesFor(FailureDomain("a"), random, kNow).size() == 64);
}

TEST_CASE("an entry that falls silent leaves the answers until it is heard") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 6; ++i) {
    const std::string name = "a" + std::to_string(i);
    directory.Put(Member(name, "a"));
    directory.OnHeard(InstanceId(name), kNow);
  }
  const TimePoint later = kNow + 2 * MemberDirectory::kSilenceTimeout;
  for (int i = 1; i < 5; ++i) {
    directory.OnHeard(InstanceId("a" + std::to_string(i)), later);
  }
  CHECK(directory.AddressesFor(FailureDomain("a"), random, later).size() == 5);
  directory.OnHeard(InstanceId("a5"), later);
  CHECK(directory.AddressesFor(FailureDomain("a"), random, later).size() == 6);
}

TEST_CASE("an entry that says that it does not serve yet is not named") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 6; ++i) {
    const std::string name = "a" + std::to_string(i);
    directory.Put(Member(name, "a"));
    directory.OnHeard(InstanceId(name), kNow, i > 1);
  }
  CHECK(directory.AddressesFor(FailureDomain("a"), random, kNow).size() == 5);
  // It may still read the store for others.
  CHECK(directory.LiveDomainPeers(kNow).size() == 5);
  directory.OnHeard(InstanceId("a1"), kNow);
  CHECK(directory.AddressesFor(FailureDomain("a"), random, kNow).size() == 6);
}

TEST_CASE("more entries than fit an answer all get callers") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 88; ++i) {
    directory.Put(Member("a" + std::to_string(i), "a"));
  }
  std::map<std::string, int> named;
  for (int i = 0; i < 200; ++i) {
    for (const auto& each :
         directory.AddressesFor(FailureDomain("a"), random, kNow)) {
      ++named[each];
    }
  }
  CHECK(named.size() == 88);
  for (const auto& [address, count] : named) {
    // The expected count is 200 * 64 / 88, about 145.
    CHECK(count > 100);
  }
}

TEST_CASE(
    "readers report silent entries of cells that an entry does not hear") {
  MemberDirectory directory(Member("a90", "a"));
  for (int i = 10; i < 30; ++i) {
    const std::string name = "a" + std::to_string(i);
    directory.Put(Member(name, "a"));
    directory.OnHeard(InstanceId(name), kNow);
  }
  directory.SetCellPeers({InstanceId("a28"), InstanceId("a29")});
  directory.UpdateReaderCandidacy(kNow);
  const TimePoint later = kNow + 2 * MemberDirectory::kSilenceTimeout;
  directory.OnHeard(InstanceId("a28"), later);
  directory.OnHeard(InstanceId("a29"), later);
  const FailureDomain domain("a");
  // The entries of other cells send no heartbeats here, so their silence means
  // nothing.
  CHECK(directory.AddressesFor(domain, random, later).size() == 21);
  directory.OnReportedSilent({"a15", "a16"}, later);
  CHECK(directory.AddressesFor(domain, random, later).size() == 19);
  // A message heard directly overrides a reader's report, and the report
  // expires.
  directory.OnHeard(InstanceId("a15"), later);
  CHECK(directory.AddressesFor(domain, random, later).size() == 20);
  const TimePoint much_later = later + 2 * MemberDirectory::kSilenceTimeout;
  directory.OnHeard(InstanceId("a28"), much_later);
  directory.OnHeard(InstanceId("a29"), much_later);
  CHECK(directory.AddressesFor(domain, random, much_later).size() == 21);
}

TEST_CASE("when most are silent at once, nobody is left out") {
  MemberDirectory directory(Member("a0", "a"));
  for (int i = 1; i < 6; ++i) {
    const std::string name = "a" + std::to_string(i);
    directory.Put(Member(name, "a"));
    directory.OnHeard(InstanceId(name), kNow);
  }
  const TimePoint later = kNow + 2 * MemberDirectory::kSilenceTimeout;
  directory.OnHeard(InstanceId("a1"), later);
  CHECK(directory.AddressesFor(FailureDomain("a"), random, later).size() == 6);
}

TEST_CASE("entries of other failure domains are not judged by their silence") {
  MemberDirectory directory(Member("a0", "a"));
  directory.Put(Member("b1", "b"));
  directory.OnHeard(InstanceId("b1"), kNow);
  CHECK(directory
            .AddressesFor(FailureDomain("b"), random,
                          kNow + std::chrono::hours(1))
            .size() == 2);
}

}  // namespace
}  // namespace acacia
