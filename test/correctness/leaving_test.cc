#include "src/leaving.h"

#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

using std::chrono::seconds;

TEST_CASE("one entry's leaving sign reaches all 40 instances within 3 s") {
  FakeFleet fleet(1);
  Apply(fleet.platform, {MakeFileSet(6), "w1", "operator", std::nullopt});
  fleet.StartMany(40);
  REQUIRE(
      fleet.RunUntil(seconds(20), [&] { return fleet.AllAt(Generation(1)); }));
  fleet.Run(seconds(15));
  schema::EntryReportT report;
  report.evidence.push_back(std::make_unique<schema::BackendEvidenceT>());
  report.evidence[0]->service = "kehto";
  report.evidence[0]->address = "b1";
  report.evidence[0]->leaving = true;
  fleet.Do("n3",
           fleet.nodes.at("n3").core->OnEntryReport(report, fleet.clock.Now()));
  CHECK(fleet.RunUntil(seconds(3), [&] {
    for (const auto& [name, node] : fleet.nodes) {
      const auto& leaving = node.fleet->services.at(0)->leaving;
      if (leaving != std::vector<std::string>{"b1"}) {
        return false;
      }
    }
    return true;
  }));
}

TEST_CASE("a sign expires with age or when the list keeps the server live") {
  const ServiceName service("kehto");
  const BackendId backend("b1");
  const TimePoint start{seconds(1000)};
  LeavingTracker signs;
  signs.OnLeavingObserved(service, backend, start);
  signs.OnListedLive(service, backend, start + seconds(10));
  CHECK(signs.Leaving(service).size() == 1);
  signs.OnListedLive(service, backend, start + seconds(40));
  CHECK(signs.Leaving(service).empty());
  signs.OnLeavingObserved(service, backend, start);
  signs.OnTick(start + seconds(599));
  CHECK(signs.Leaving(service).size() == 1);
  signs.OnTick(start + seconds(600));
  CHECK(signs.Leaving(service).empty());
}

TEST_CASE("a sign keeps its age when it is passed on") {
  const TimePoint start{seconds(1000)};
  LeavingTracker first;
  LeavingTracker second;
  first.OnLeavingObserved(ServiceName("s"), BackendId("b"), start);
  for (const auto& notice : first.Notices(4, start + seconds(400))) {
    second.OnNotice(notice, start + seconds(400));
  }
  second.OnTick(start + seconds(599));
  CHECK(second.Leaving(ServiceName("s")).size() == 1);
  second.OnTick(start + seconds(600));
  CHECK(second.Leaving(ServiceName("s")).empty());
}

}  // namespace
}  // namespace acacia
