// Measures the cost of coordination for several sizes of the fleet: CPU, bytes
// and heap per agent, and platform operations of the whole fleet in steady
// state, during an outage of the platform and after it; and one agent with the
// target size of configuration and membership. CPU includes the fakes, so it is
// an upper bound.
#include <glog/logging.h>
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>

#include "src/flat_table.h"
#include "src/log_event.h"
#include "test/coord_fakes.h"

namespace acacia {
namespace {

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

std::uint64_t PeakReads(FakeFleet& fleet, int seconds) {
  std::uint64_t peak = 0;
  for (int i = 0; i < seconds; ++i) {
    const std::uint64_t before = fleet.platform.reads;
    fleet.Run(std::chrono::seconds(1));
    peak = std::max(peak, fleet.platform.reads - before);
  }
  return peak;
}

void MeasureFleet(int nodes) {
  const double heap = HeapBytes();
  FakeFleet fleet(1);
  Apply(fleet.platform, {MakeFileSet(20), "w", "operator", std::nullopt});
  fleet.StartMany(nodes, 15);
  fleet.Run(std::chrono::seconds(30));
  constexpr int kSeconds = 20;
  const double state = (HeapBytes() - heap) / nodes;
  fleet.peer_bytes = 0;
  fleet.platform.reads = 0;
  fleet.platform.writes = 0;
  const double cpu = CpuSeconds();
  fleet.Run(std::chrono::seconds(kSeconds));
  const double cpu_share = (CpuSeconds() - cpu) / nodes / kSeconds;
  const double bytes = static_cast<double>(fleet.peer_bytes) / nodes / kSeconds;
  const double reads = static_cast<double>(fleet.platform.reads) / kSeconds;
  const double writes = static_cast<double>(fleet.platform.writes) / kSeconds;
  fleet.platform.outage = true;
  const auto peak_in_outage = PeakReads(fleet, 20);
  fleet.platform.outage = false;
  const auto peak_after_outage = PeakReads(fleet, 15);
  std::printf("%6d %9.3f %9.2f %9.0f %8.1f %8.1f %9llu %9llu\n", nodes,
              cpu_share * 100, bytes / 1000, state / 1000, reads, writes,
              static_cast<unsigned long long>(peak_in_outage),
              static_cast<unsigned long long>(peak_after_outage));
}

schema::FileSetT LargeFileSet() {
  schema::FileSetT set;
  for (int i = 0; i < 250; ++i) {
    auto service = std::make_unique<schema::ServiceT>();
    service->name = "service-" + std::to_string(i);
    for (int j = 0; j < 56; ++j) {
      auto server = std::make_unique<schema::BackendServerT>();
      server->address =
          "10." + std::to_string(i) + ".0." + std::to_string(j) + ":8080";
      server->failure_domain = "domain-" + std::to_string(j % 15);
      service->backend_servers.push_back(std::move(server));
    }
    set.services.push_back(std::move(service));
  }
  for (int i = 0; i < 26000; ++i) {
    auto route = std::make_unique<schema::RouteT>();
    route->name = "route-" + std::to_string(i);
    route->host = "host-" + std::to_string(i) + ".example";
    route->path_prefix = "/some/path";
    route->service = "service-" + std::to_string(i % 250);
    set.routes.push_back(std::move(route));
  }
  for (int i = 0; i < 42000; ++i) {
    auto account = std::make_unique<schema::AccountT>();
    account->name = "account-" + std::to_string(i);
    set.accounts.push_back(std::move(account));
  }
  return set;
}

std::string MembersFrame(int members, std::uint64_t incarnation) {
  schema::PeerMessageT message;
  message.from = "n1";
  message.from_address = "peer-n1";
  for (int i = 1; i < members; ++i) {
    auto update = std::make_unique<schema::MemberUpdateT>();
    update->instance = "n" + std::to_string(i);
    update->incarnation = incarnation;
    update->peer_address = "peer-" + update->instance;
    update->caller_address = "caller-" + update->instance;
    update->failure_domain = "domain-" + std::to_string(i % 15);
    message.updates.push_back(std::move(update));
  }
  return PackTable<schema::PeerMessage>(message);
}

void MeasureOneLargeAgent() {
  schema::FileSetT set = LargeFileSet();
  FakeFleet fleet(1);
  Apply(fleet.platform, {set, "w0", "operator", std::nullopt});
  double heap = HeapBytes();
  FakeNode& node = fleet.Start("n0");
  double cpu = CpuSeconds();
  fleet.RunUntil(std::chrono::seconds(30),
                 [&] { return !node.generations.empty(); });
  std::printf("first configuration: %.2f s CPU, %.1f MB heap\n",
              CpuSeconds() - cpu, (HeapBytes() - heap) / 1e6);
  const auto before = fleet.platform.objects;
  set.routes[7]->path_prefix = "/other";
  Apply(fleet.platform, {set, "w1", "operator", std::nullopt});
  double new_bytes = 0;
  for (const auto& [hash, body] : fleet.platform.objects) {
    new_bytes += before.count(hash) == 0 ? static_cast<double>(body.size()) : 0;
  }
  cpu = CpuSeconds();
  fleet.RunUntil(std::chrono::seconds(30),
                 [&] { return node.generations.size() == 2; });
  std::printf(
      "one changed route: %.1f kB moved, %.2f s CPU; 860 a day: "
      "%.3f kB/s, %.3f %% of a core\n",
      new_bytes / 1000, CpuSeconds() - cpu, new_bytes * 860 / 86400 / 1000,
      (CpuSeconds() - cpu) * 860 / 86400 * 100);
  heap = HeapBytes();
  const std::string frame = MembersFrame(1300, 1);
  cpu = CpuSeconds();
  fleet.Do("n0", node.core->OnPeerBytes(FakeFleet::AddressOf("n1"), frame,
                                        fleet.clock.Now()));
  fleet.Run(std::chrono::seconds(1));
  std::printf(
      "1,300 members at once: %.0f kB frame, %.3f s CPU, %.1f MB heap\n",
      static_cast<double>(frame.size()) / 1000, CpuSeconds() - cpu,
      (HeapBytes() - heap) / 1e6);
}

}  // namespace
}  // namespace acacia

int main(int argc, char** argv) {
  acacia::StartLogging(argv[0]);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  FLAGS_minloglevel = 3;
  acacia::MeasureOneLargeAgent();
  std::printf("%6s %9s %9s %9s %8s %8s %9s %9s\n", "nodes", "CPU %", "kB/s",
              "heap kB", "reads/s", "writes/s", "peak out", "peak back");
  const bool large = argc > 1 && std::string(argv[1]) == "large";
  for (const int nodes : {100, 300, 700, 1300}) {
    if (nodes <= 300 || large) {
      acacia::MeasureFleet(nodes);
    }
  }
  return 0;
}
