// Guards against evidence about a suspect that reaches an entry of another
// failure domain twice or not at all, and against reports that must not depend
// on the entry that passes them on being sent that way.
#include "src/evidence_fanout.h"

#include <catch2/catch.hpp>
#include <set>

namespace acacia {
namespace {

constexpr std::size_t kPerDomain = 30;

struct FleetFixture {
  FleetFixture() {
    std::vector<EntryLocation> locations;
    for (const char* domain : {"a", "b", "c"}) {
      for (std::size_t i = 0; i < kPerDomain; ++i) {
        const InstanceId instance(domain + std::to_string(i));
        schema::MemberUpdateT member;
        member.instance = instance.Value();
        member.failure_domain = domain;
        this->members[instance] = member;
        locations.push_back({instance, FailureDomain(domain)});
      }
    }
    this->cells.Build(
        locations, {{BackendId("s1"), ServiceName("s"), FailureDomain("b")}});
  }

  // The entries that learn of the reports, directly or from the entry that
  // passes them on.
  std::multiset<InstanceId> Reached(const std::vector<ReportsTo>& plan) const {
    std::multiset<InstanceId> reached;
    for (const ReportsTo& each : plan) {
      if (!each.forward) {
        reached.insert(each.to);
        continue;
      }
      for (const InstanceId& peer : this->cells.EntriesInCellOf(each.to)) {
        reached.insert(peer);
      }
    }
    return reached;
  }

  Members members;
  Cells cells;
};

schema::BackendEvidenceT Suspect() {
  schema::BackendEvidenceT evidence;
  evidence.id = "s1";
  evidence.failures = 1;
  evidence.avoided = true;
  return evidence;
}

TEST_CASE("a suspect is made known once to each entry of other domains") {
  FleetFixture f;
  EvidenceFanout fanout(InstanceId("a3"));
  const auto plan = fanout.Plan({{Suspect()}}, f.members, f.cells);
  // One message for each of the other two failure domains.
  CHECK(plan.size() == 2);
  const auto reached = f.Reached(plan);
  CHECK(reached.size() == 2 * kPerDomain);
  CHECK(std::set(reached.begin(), reached.end()).size() == reached.size());
}

TEST_CASE("the loss of an entry that passes evidence on loses few reports") {
  FleetFixture f;
  EvidenceFanout fanout(InstanceId("a3"));
  std::set<InstanceId> forwarders;
  for (std::size_t i = 0; i < kPerDomain; ++i) {
    for (const ReportsTo& each :
         fanout.Plan({{Suspect()}}, f.members, f.cells)) {
      forwarders.insert(each.to);
    }
  }
  CHECK(forwarders.size() == 2 * kPerDomain);
}

TEST_CASE("rate limits, leaving servers and crashing requests go directly") {
  FleetFixture f;
  EvidenceFanout fanout(InstanceId("a3"));
  schema::BackendEvidenceT limited = Suspect();
  limited.started = 1;
  schema::BackendEvidenceT leaving = Suspect();
  leaving.leaving = true;
  schema::RequestReportT crash;
  crash.fingerprint = 1;
  const std::vector<OutcomeReports> all = {
      {{limited}}, {{leaving}}, {{}, {crash}}};
  for (const OutcomeReports& reports : all) {
    const auto plan = fanout.Plan(reports, f.members, f.cells);
    CHECK(plan.size() == 2 * kPerDomain);
    for (const ReportsTo& each : plan) {
      CHECK_FALSE(each.forward);
    }
  }
}

TEST_CASE("reports to pass on are bounded and split into messages") {
  ForwardedReports forwarded;
  const std::vector<schema::BackendEvidenceT> three(3, Suspect());
  for (int i = 0; i < 1000; ++i) {
    forwarded.Add("b1", three);
  }
  std::size_t outcomes = 0;
  for (const auto& message : forwarded.Take(8)) {
    std::size_t in_message = 0;
    for (const ForwardedOutcomes& each : message) {
      in_message += each.outcomes.size();
    }
    CHECK(in_message <= 8);
    outcomes += in_message;
  }
  CHECK(outcomes <= ForwardedReports::kMaxOutcomes);
  CHECK(outcomes > ForwardedReports::kMaxOutcomes - three.size());
  CHECK(forwarded.Take(8).empty());
}

}  // namespace
}  // namespace acacia
