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
  CHECK(f.registry.NextTimer() == f.now + BackendRegistry::kRestoredRowExpiry);
  f.now += BackendRegistry::kRestoredRowExpiry;
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
