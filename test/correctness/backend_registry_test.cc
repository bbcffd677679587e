#include "src/backend_registry.h"

#include <catch2/catch.hpp>

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RegistryFixture {
  RegistryFixture() { this->Put("a"); }

  static RegisteredBackend Backend(const std::string& name,
                                   const std::string& start = "1") {
    RegisteredBackend backend;
    backend.id = BackendId(name + "@" + start);
    backend.service = ServiceName("kehto");
    backend.server.id = backend.id;
    return backend;
  }
  void Put(const std::string& name) {
    this->registry.Put(name, Backend(name), this->now);
  }
  void Outage(Duration length) {
    this->registry.OnStoreAvailable(false, this->now);
    this->now += length;
    this->registry.OnStoreAvailable(true, this->now);
  }
  bool Has(const std::string& name) {
    this->registry.OnTimer(this->now);
    return this->registry.Backends().contains(name);
  }

  BackendRegistry registry;
  TimePoint now{seconds(1000)};
};

TEST_CASE("a registration that goes while the store is there is gone at once") {
  RegistryFixture f;
  f.registry.Remove("a", f.now);
  CHECK_FALSE(f.Has("a"));
}

TEST_CASE(
    "a registration that expired in an outage is kept for the return time") {
  RegistryFixture f;
  f.Outage(seconds(5));
  f.registry.Remove("a", f.now);
  f.now += milliseconds(1800);
  CHECK(f.Has("a"));
  f.now += milliseconds(300);
  CHECK_FALSE(f.Has("a"));
}

TEST_CASE(
    "what is missing after an outage of this entry alone is gone at once") {
  RegistryFixture f;
  f.registry.OnStoreAvailable(false, f.now);
  f.now += seconds(3);
  f.registry.OnPeerHasNewerRegistration(f.now);
  f.now += seconds(9);
  f.registry.OnStoreAvailable(true, f.now);
  f.registry.Replace({}, f.now);
  CHECK_FALSE(f.Has("a"));
}

TEST_CASE("updates from just before an outage do not mark it as this entry's") {
  RegistryFixture f;
  f.registry.OnStoreAvailable(false, f.now);
  f.now += milliseconds(200);
  f.registry.OnPeerHasNewerRegistration(f.now);
  f.now += seconds(5);
  f.registry.OnStoreAvailable(true, f.now);
  f.registry.Replace({}, f.now);
  CHECK(f.Has("a"));
}

TEST_CASE("a registration that expired in an outage and returned stays") {
  RegistryFixture f;
  f.Outage(seconds(5));
  f.registry.Replace({}, f.now);
  f.now += seconds(1);
  f.Put("a");
  f.now += seconds(5);
  CHECK(f.Has("a"));
}

TEST_CASE("a connection lost for a moment delays no removal") {
  RegistryFixture f;
  f.Outage(milliseconds(900));
  f.registry.Remove("a", f.now);
  CHECK_FALSE(f.Has("a"));
}

// Guards DRAIN: one that was removed while this entry alone had lost the store
// for a moment was used for good.
TEST_CASE("what others tell was removed stays removed when the store returns") {
  for (const auto cut : {milliseconds(300), milliseconds(4000)}) {
    RegistryFixture f;
    f.registry.OnStoreAvailable(false, f.now);
    f.registry.Remove("a", f.now);
    f.now += cut;
    f.registry.OnPeerHasNewerRegistration(f.now);
    f.registry.OnStoreAvailable(true, f.now);
    CHECK_FALSE(f.Has("a"));
  }
}

TEST_CASE("one that was leaving is gone also in an outage") {
  RegistryFixture f;
  RegisteredBackend leaving = RegistryFixture::Backend("a");
  leaving.leaving = true;
  f.registry.Put("a", leaving, f.now);
  f.Outage(seconds(5));
  f.registry.Remove("a", f.now);
  CHECK_FALSE(f.Has("a"));
}

// A registration as a restored store shows it.
RegisteredBackend Report(const std::string& name,
                         std::uint64_t sequence,
                         bool leaving = false,
                         std::uint64_t started_ms = 1) {
  RegisteredBackend backend =
      RegistryFixture::Backend(name, std::to_string(started_ms));
  backend.report = {started_ms, sequence};
  backend.leaving = leaving;
  return backend;
}

TEST_CASE("a restored store does not undo that a backend server leaves") {
  RegistryFixture f;
  f.registry.Put("a", Report("a", 5), f.now);
  f.registry.Put("a", Report("a", 6, true), f.now);
  f.registry.OnStoreRestored(f.now);
  f.registry.Replace({{"a", Report("a", 5)}}, f.now);
  CHECK(f.registry.Backends().at("a").backend.leaving);
}

TEST_CASE("a restored store does not bring back what is gone") {
  RegistryFixture f;
  f.registry.Put("a", Report("a", 5), f.now);
  f.registry.Remove("a", f.now);
  f.now += seconds(4);
  f.registry.OnStoreRestored(f.now);
  f.registry.Replace({{"a", Report("a", 5)}}, f.now);
  CHECK_FALSE(f.Has("a"));
  f.now += seconds(5);
  f.registry.Remove("a", f.now);
  f.now += seconds(9);
  CHECK_FALSE(f.Has("a"));
}

TEST_CASE("a restored store does not bring back an earlier incarnation") {
  RegistryFixture f;
  f.registry.Put("a", Report("a", 9), f.now);
  f.registry.Put("a", Report("a", 1, false, 2), f.now);
  f.registry.OnStoreRestored(f.now);
  f.registry.Replace({{"a", Report("a", 9)}}, f.now);
  CHECK(f.registry.Backends().at("a").backend.id == BackendId("a@2"));
}

TEST_CASE("a backend server that reports again after a restore is used again") {
  RegistryFixture f;
  f.registry.Put("a", Report("a", 5), f.now);
  f.registry.Remove("a", f.now);
  f.registry.OnStoreRestored(f.now);
  f.registry.Replace({{"a", Report("a", 5)}}, f.now);
  f.registry.Put("a", Report("a", 6), f.now);
  CHECK(f.Has("a"));
}

TEST_CASE("a registration that outlasts the restore is used") {
  RegistryFixture f;
  f.registry.Put("a", Report("a", 5), f.now);
  f.registry.Remove("a", f.now);
  f.registry.OnStoreRestored(f.now);
  f.registry.Replace({{"a", Report("a", 5)}}, f.now);
  CHECK(f.registry.NextTimer() == f.now + BackendRegistry::kExpiryTime);
  f.now += BackendRegistry::kExpiryTime;
  CHECK(f.Has("a"));
}

TEST_CASE("one that a restored store lost is kept for the return time") {
  RegistryFixture f;
  f.Outage(milliseconds(300));
  f.registry.OnStoreRestored(f.now);
  f.registry.Replace({}, f.now);
  CHECK(f.Has("a"));
  f.now += BackendRegistry::kReregistrationTime;
  CHECK_FALSE(f.Has("a"));
}

// A backend server that reports at every heartbeat, whose removal and late
// reports the test decides.
struct GoneFixture : RegistryFixture {
  static constexpr seconds kHeartbeat{2};

  GoneFixture() {
    for (std::uint64_t sequence = 1; sequence <= 9; ++sequence) {
      this->now += kHeartbeat;
      this->registry.Put("b", Report("b", sequence), this->now);
    }
  }
  // It ends without a word; its registration is removed.
  void Leave() {
    this->now += seconds(1);
    this->registry.Remove("b", this->now);
  }
  // Its heartbeats cease to reach the store until its registration expires.
  void Lapse() {
    this->now += seconds(5);
    this->registry.Remove("b", this->now);
  }
  RegistrationUse Put(const RegisteredBackend& report) {
    this->now += seconds(1);
    return this->registry.Put("b", report, this->now);
  }
};

// Guards DRAIN: a heartbeat that the store performed late brought back a
// backend server whose registration had been removed.
TEST_CASE("a report from before a removal brings no backend server back") {
  GoneFixture f;
  f.Leave();
  for (const std::uint64_t sequence : {7, 9}) {
    CHECK(f.Put(Report("b", sequence)) == RegistrationUse::kWithheld);
    CHECK_FALSE(f.Has("b"));
    f.registry.Replace({{"b", Report("b", sequence)}}, f.now);
    CHECK_FALSE(f.Has("b"));
  }
  // It expires after three heartbeats.
  f.now += milliseconds(4500);
  CHECK_FALSE(f.Has("b"));
  f.registry.Remove("b", f.now);
  f.now += seconds(20);
  CHECK_FALSE(f.Has("b"));
}

TEST_CASE("a late report does not undo draining, nor what followed it") {
  GoneFixture f;
  f.Put(Report("b", 11, true));
  CHECK(f.Put(Report("b", 10)) == RegistrationUse::kOlder);
  CHECK(f.registry.Backends().at("b").backend.leaving);
  f.Leave();
  CHECK(f.Put(Report("b", 10)) == RegistrationUse::kWithheld);
  CHECK_FALSE(f.Has("b"));
}

// The last heartbeat before the removal is the one that comes late, so that it
// is newer than all that is known.
TEST_CASE("one that was removed while it reported has left") {
  GoneFixture f;
  f.Leave();
  CHECK(f.Put(Report("b", 10)) == RegistrationUse::kWithheld);
  CHECK_FALSE(f.Has("b"));
  f.registry.Remove("b", f.now);
  CHECK(f.Put(Report("b", 10)) == RegistrationUse::kWithheld);
  // One that goes on reporting has not left.
  CHECK(f.Put(Report("b", 12)) == RegistrationUse::kWithheld);
  CHECK(f.Put(Report("b", 13)) == RegistrationUse::kUsed);
}

TEST_CASE("one whose registration lapsed is back with its next report") {
  GoneFixture f;
  f.Lapse();
  CHECK(f.Put(Report("b", 12)) == RegistrationUse::kUsed);
  CHECK(f.Has("b"));
}

TEST_CASE("a report that was read with the whole table may be an old one") {
  GoneFixture f;
  f.registry.Replace({{"b", Report("b", 10)}}, f.now);
  f.Leave();
  CHECK(f.Put(Report("b", 12)) == RegistrationUse::kUsed);
}

TEST_CASE("an incarnation that was replaced does not return, a new one does") {
  GoneFixture f;
  f.Put(Report("b", 1, false, 2));
  CHECK(f.Put(Report("b", 10, false, 1)) == RegistrationUse::kOlder);
  f.Leave();
  CHECK(f.Put(Report("b", 10, false, 1)) == RegistrationUse::kWithheld);
  CHECK(f.Put(Report("b", 1, false, 3)) == RegistrationUse::kUsed);
  f.Leave();
  CHECK(f.Put(Report("b", 10, false, 1)) == RegistrationUse::kWithheld);
  CHECK(f.Put(Report("b", 10, false, 2)) == RegistrationUse::kWithheld);
}

TEST_CASE("one that starts anew with its clock set back is used at once") {
  GoneFixture f;
  f.Put(Report("b", 1, false, 8));
  f.Leave();
  CHECK(f.Put(Report("b", 1, false, 5)) == RegistrationUse::kUsed);
}

TEST_CASE("a withheld registration is used when it outlasts its expiry") {
  GoneFixture f;
  f.Leave();
  f.Put(Report("b", 7));
  CHECK(f.registry.NextTimer() == f.now + BackendRegistry::kExpiryTime);
  SECTION("while the store is there") {
    f.now += BackendRegistry::kExpiryTime;
    CHECK(f.Has("b"));
  }
  SECTION("not while the store is away, which tells of no expiry") {
    f.registry.OnStoreAvailable(false, f.now);
    f.now += BackendRegistry::kExpiryTime;
    CHECK_FALSE(f.Has("b"));
    f.registry.OnStoreAvailable(true, f.now);
    CHECK_FALSE(f.Has("b"));
    f.now += BackendRegistry::kExpiryTime;
    CHECK(f.Has("b"));
  }
}

TEST_CASE("an unreadable registration does not make an older report news") {
  GoneFixture f;
  f.registry.Put("b", std::nullopt, f.now);
  f.registry.Remove("b", f.now);
  CHECK(f.Put(Report("b", 8)) == RegistrationUse::kWithheld);
  CHECK(f.Put(Report("b", 10)) == RegistrationUse::kUsed);
}

TEST_CASE("a late report does not keep what went missing in an outage") {
  GoneFixture f;
  f.Outage(seconds(5));
  f.registry.Replace({}, f.now);
  CHECK(f.Put(Report("b", 8)) == RegistrationUse::kOlder);
  f.now += seconds(1);
  CHECK_FALSE(f.Has("b"));
}

TEST_CASE("an unreadable registration is dropped, others are kept") {
  RegistryFixture f;
  f.Put("b");
  f.registry.Put("a", std::nullopt, f.now);
  CHECK_FALSE(f.Has("a"));
  CHECK(f.Has("b"));
}

TEST_CASE("a new incarnation starts cold again, the same one does not") {
  RegistryFixture f;
  RegisteredBackend cold = RegistryFixture::Backend("c");
  cold.cold_remaining = seconds(3);
  f.registry.Put("c", cold, f.now);
  const TimePoint first = f.registry.Backends().at("c").cold_until;
  CHECK(first == f.now + seconds(3));
  f.now += seconds(2);
  f.registry.Put("c", cold, f.now);
  CHECK(f.registry.Backends().at("c").cold_until == first);
  RegisteredBackend restarted = RegistryFixture::Backend("c", "2");
  restarted.cold_remaining = seconds(3);
  f.registry.Put("c", restarted, f.now);
  CHECK(f.registry.Backends().at("c").cold_until == f.now + seconds(3));
  CHECK(f.registry.NextTimer() == f.now + seconds(3));
}

}  // namespace
}  // namespace acacia
