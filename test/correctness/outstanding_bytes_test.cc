// Guards against large requests of several entries that together exceed the
// memory of a backend server.
#include "src/outstanding_bytes.h"

#include <catch2/catch.hpp>
#include <map>

#include "src/fleet_pool.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMb = 1024 * 1024;
constexpr std::uint32_t kSlots = 2;
constexpr std::uint64_t kMaxBytes = kSlots * OutstandingBytes::kMaxBytesPerSlot;

TEST_CASE("small requests always have room and cost nothing") {
  OutstandingBytes bytes;
  const TimePoint now{};
  bytes.OnStart(100 * kMb);
  bytes.OnStart(1000);
  CHECK(bytes.Own() == 100 * kMb);
  CHECK(bytes.HasRoom(1000, kSlots, now));
  CHECK(bytes.Cost(1000, kSlots, now) == 0);
  CHECK_FALSE(bytes.HasRoom(kMb, kSlots, now));
  bytes.OnRelease(1000);
  bytes.OnRelease(100 * kMb);
  // Larger than the bound, but alone.
  CHECK(bytes.HasRoom(100 * kMb, kSlots, now));
}

TEST_CASE("the report of an entry that has died expires") {
  OutstandingBytes bytes;
  const TimePoint now{};
  bytes.OnReport("a", kMaxBytes, now);
  CHECK_FALSE(bytes.HasRoom(kMb, kSlots, now));
  CHECK(bytes.HasRoom(kMb, kSlots, now + OutstandingBytes::kReportExpiry));
  bytes.OnReport("b", kMb, now);
  bytes.OnReport("a", 0, now);
  CHECK(bytes.Total(now) == kMb);
}

// Entries that exchange their evidence every 40 ms, of which a share is lost,
// and send uploads of 4 MB and small requests to six backend servers.
class Fleet {
 public:
  static constexpr std::size_t kEntries = 8;
  static constexpr std::uint64_t kUpload = 4 * kMb;

  explicit Fleet(double loss) : loss(loss) {
    for (int i = 0; i < 6; ++i) {
      BackendServer server;
      server.id = BackendId("b" + std::to_string(i));
      server.failure_domain = FailureDomain("d");
      server.slots = kSlots;
      this->view.backend_servers.push_back(server);
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      this->pools.push_back(std::make_unique<FleetPool>(
          ServiceName("s"), FailureDomain("d"), this->random));
      this->pools.back()->Apply(this->view, this->now);
    }
  }

  // Starts a request of `bytes` at a random entry. Returns false if no backend
  // server has room.
  bool Start(std::uint64_t bytes, Duration duration) {
    const std::size_t entry = this->random.Below(kEntries);
    Work work;
    work.body_bytes = bytes;
    const std::vector<BackendId> excluded;
    PooledBackend* backend =
        this->pools[entry]->Pick({work, excluded}, this->now);
    if (backend == nullptr) {
      return false;
    }
    this->pools[entry]->OnStart(*backend, work, this->now);
    this->held[backend->server.id] += bytes;
    this->running.emplace(this->now + duration, Running{entry, backend, bytes});
    return true;
  }

  void Step() {
    this->now += milliseconds(40);
    while (!this->running.empty() &&
           this->running.begin()->first <= this->now) {
      const Running done = this->running.begin()->second;
      this->running.erase(this->running.begin());
      this->held[done.backend->server.id] -= done.bytes;
      Work work;
      work.body_bytes = done.bytes;
      this->pools[done.entry]->OnRelease(*done.backend, work, false);
    }
    for (std::size_t from = 0; from < kEntries; ++from) {
      const auto evidence = this->pools[from]->TakeEvidence(this->now);
      for (std::size_t to = 0; to < kEntries; ++to) {
        if (to != from && this->random.Fraction() >= this->loss) {
          this->pools[to]->OnFleetEvidence("e" + std::to_string(from), evidence,
                                           this->now);
        }
      }
    }
  }

  std::uint64_t MostHeld() const {
    std::uint64_t most = 0;
    for (const auto& [id, bytes] : this->held) {
      most = std::max(most, bytes);
    }
    return most;
  }

  double loss;
  SeededRandom random{11};

 private:
  struct Running {
    std::size_t entry;
    PooledBackend* backend;
    std::uint64_t bytes;
  };

  ServiceView view;
  TimePoint now{std::chrono::seconds(1000)};
  std::vector<std::unique_ptr<FleetPool>> pools;
  std::multimap<TimePoint, Running> running;
  std::map<BackendId, std::uint64_t> held;
};

TEST_CASE("entries together stay near the bound of a backend server") {
  // Between two messages, entries do not know of each other's uploads: three
  // may begin at once. While messages are lost, it takes longer.
  const auto [loss, excess_uploads] =
      GENERATE(table<double, std::uint64_t>({{0, 3}, {0.3, 6}}));
  Fleet fleet(loss);
  std::uint64_t most = 0;
  int refused = 0;
  int small_refused = 0;
  int started = 0;
  for (int step = 0; step < 1500; ++step) {
    // 75 uploads/s of 2 s each need 600 MB; the bound for all is 192 MB.
    for (int i = 0; i < 3; ++i) {
      const bool has_started =
          fleet.Start(Fleet::kUpload, std::chrono::seconds(2));
      started += has_started ? 1 : 0;
      refused += has_started ? 0 : 1;
    }
    small_refused += fleet.Start(1000, milliseconds(100)) ? 0 : 1;
    most = std::max(most, fleet.MostHeld());
    fleet.Step();
  }
  WARN("most " << most / kMb << " MB, started " << started << ", refused "
               << refused);
  CHECK(most <= kMaxBytes + excess_uploads * Fleet::kUpload);
  // The room is used: 48 uploads at a time, each for 2 s.
  CHECK(started >= 1200);
  CHECK(refused > 0);
  CHECK(small_refused == 0);
}

// Guards against full queues of large requests at some backend servers while
// others have none.
TEST_CASE("uploads below the bound are spread over the backend servers") {
  Fleet fleet(0.3);
  std::uint64_t most = 0;
  for (int step = 0; step < 1500; ++step) {
    // 6.25 uploads/s of 2 s each: 50 MB at a time, 8.3 MB for each.
    if (step % 4 == 0) {
      CHECK(fleet.Start(Fleet::kUpload, std::chrono::seconds(2)));
    }
    most = std::max(most, fleet.MostHeld());
    fleet.Step();
  }
  CHECK(most <= 5 * Fleet::kUpload);
}

}  // namespace
}  // namespace acacia
