#include "test/fuzz/coordination_script.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

#include "src/flat_table.h"

namespace acacia {
namespace {

constexpr int kNodes = 6;
constexpr int kServers = 6;
constexpr std::size_t kMaxStoppingPerDomain = 1;
constexpr int kStopDurationSeconds = 5;
constexpr std::array<std::uint32_t, 3> kFloorPercents = {50, 66, 83};
constexpr std::array<const char*, kOperations> kOperationNames = {
    "apply",   "race",         "outage", "slow",   "lose_replies",
    "cut",     "cut_platform", "heal",   "pause",  "resume",
    "replace", "sick",         "leave",  "advance"};

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{Operation::"
             << kOperationNames[static_cast<std::size_t>(step.operation)]
             << ", " << step.a << ", " << step.b << "}";
}

CoordinationRun::CoordinationRun(std::uint64_t seed, Fault fault)
    : fault(fault), fleet(seed), oracle(kServers, kMaxStoppingPerDomain) {
  FLAGS_minloglevel = google::ERROR;
  this->fleet.platform.ignore_versions = fault == Fault::kNoCompareAndSet;
  this->fleet.platform.on_row_written = [this](const std::string& key,
                                               const Row& row) {
    this->OnRowWritten(key, row);
  };
  this->fleet.filter = [this](const std::string& name, AgentAction& action) {
    this->Inject(name, action);
  };
  this->fleet.StartMany(kNodes);
}

void CoordinationRun::Run(const Script& script) {
  this->Apply({Operation::kApply, 0, 0});
  this->Advance(25);
  for (const Step& step : script) {
    this->Do(step);
    this->Observe();
  }
  this->oracle.OnEnd();
}

std::string CoordinationRun::NodeName(std::uint32_t n) const {
  return "n" + std::to_string(n % kNodes);
}

void CoordinationRun::Do(const Step& step) {
  FakeNode& node = this->fleet.nodes.at(this->NodeName(step.a));
  switch (step.operation) {
    case Operation::kApply:
      this->Apply(step);
      break;
    case Operation::kRace:
      this->Race(step);
      break;
    case Operation::kOutage:
      this->fleet.platform.outage = step.a % 2 == 0;
      break;
    case Operation::kSlow:
      this->fleet.platform_delay = std::chrono::milliseconds(step.a % 9 * 500);
      break;
    case Operation::kLoseReplies:
      this->fleet.platform.lose_replies = static_cast<int>(step.a % 4);
      break;
    case Operation::kCut:
      this->fleet.cuts.insert(
          {node.address, FakeFleet::AddressOf(this->NodeName(step.b))});
      break;
    case Operation::kCutPlatform:
      node.platform_cut = true;
      break;
    case Operation::kHeal:
      this->fleet.cuts.clear();
      for (auto& [name, healed] : this->fleet.nodes) {
        healed.platform_cut = false;
      }
      this->fleet.platform.outage = false;
      this->fleet.platform_delay = {};
      break;
    default:
      this->DoToInstances(step);
      break;
  }
}

void CoordinationRun::DoToInstances(const Step& step) {
  FakeNode& node = this->fleet.nodes.at(this->NodeName(step.a));
  const std::string server = "b" + std::to_string(step.a % kServers);
  switch (step.operation) {
    case Operation::kPause:
      node.paused = true;
      break;
    case Operation::kResume:
      for (auto& [name, resumed] : this->fleet.nodes) {
        resumed.paused = false;
      }
      break;
    case Operation::kReplace: {
      const std::string name = this->NodeName(step.a);
      this->seen_generations.erase(name);
      this->stopping.erase(name);
      this->fleet.Start(name, this->fleet.domains.at(name));
      break;
    }
    case Operation::kSick:
      step.b % 2 == 0 ? void(this->sick.insert(server))
                      : void(this->sick.erase(server));
      break;
    case Operation::kLeave:
      step.b % 2 == 0 ? void(this->leaving.insert(server))
                      : void(this->leaving.erase(server));
      break;
    case Operation::kAdvance:
      this->Advance(static_cast<int>(step.a % 120) + 1);
      break;
    default:
      break;
  }
}

PublishRequest CoordinationRun::MakeRequest(const Step& step) {
  const std::string id = "w" + std::to_string(++this->applies);
  const std::uint32_t floor = kFloorPercents[step.a % kFloorPercents.size()];
  this->floor_by_write[id] = floor;
  schema::FileSetT set = MakeFileSet(kServers, floor, id);
  if (step.b % 3 != 0) {
    auto plan = std::make_unique<schema::StopPlanT>();
    plan->name = "plan" + std::to_string(step.b % 2);
    plan->failure_domain = step.b % 4 < 2 ? "a" : "b";
    plan->max_stopping_percent = 50;
    set.stop_plans.push_back(std::move(plan));
  }
  return {std::move(set), id, "operator", std::nullopt};
}

void CoordinationRun::ReportOutcome(const ConfigPublisher& publisher,
                                    const std::string& write_id) {
  if (!publisher.Outcome()) {
    return;
  }
  const PublishOutcome& outcome = *publisher.Outcome();
  const auto* accepted = std::get_if<PublishAccepted>(&outcome);
  if (accepted != nullptr && this->fault != Fault::kAlwaysRefused) {
    this->oracle.OnAcceptanceReported(accepted->generation.Value(), write_id);
  } else if (!std::holds_alternative<PublishUnknown>(outcome)) {
    this->oracle.OnRejectionReported(write_id);
  }
}

void CoordinationRun::Apply(const Step& step) {
  const PublishRequest request = this->MakeRequest(step);
  ConfigPublisher publisher(request);
  const auto start = publisher.Start();
  std::deque<PublisherAction> queue(start.begin(), start.end());
  RunPublisher(this->fleet.platform, publisher, queue);
  this->ReportOutcome(publisher, request.write_id);
}

// One operator's publication is interrupted after some of its steps by the
// complete publication of another operator.
void CoordinationRun::Race(const Step& step) {
  const PublishRequest request = this->MakeRequest(step);
  ConfigPublisher publisher(request);
  const auto start = publisher.Start();
  std::deque<PublisherAction> queue(start.begin(), start.end());
  RunPublisher(this->fleet.platform, publisher, queue,
               static_cast<int>(step.a % 9));
  this->Apply({Operation::kApply, step.b, step.a});
  RunPublisher(this->fleet.platform, publisher, queue);
  this->ReportOutcome(publisher, request.write_id);
}

void CoordinationRun::Advance(int seconds) {
  for (int i = 0; i < seconds; ++i) {
    ++this->second;
    this->Report();
    this->fleet.Run(std::chrono::seconds(1));
    this->ReplaceStopped();
    this->Observe();
  }
}

// Sends each entry's report on the backend servers that it does not treat as
// ejected.
void CoordinationRun::Report() {
  for (auto& [name, node] : this->fleet.nodes) {
    if (node.paused) {
      continue;
    }
    schema::EntryReportT report;
    const auto ejected = this->fleet.Ejected(name);
    for (int i = 0; i < kServers; ++i) {
      const std::string server = "b" + std::to_string(i);
      if (ejected.count(server) != 0) {
        continue;
      }
      auto evidence = std::make_unique<schema::BackendEvidenceT>();
      evidence->service = "kehto";
      evidence->address = server;
      evidence->attempts = 2;
      evidence->failures = this->sick.count(server) != 0 ? 2 : 0;
      evidence->leaving = this->leaving.count(server) != 0;
      report.evidence.push_back(std::move(evidence));
    }
    if (!node.generations.empty()) {
      report.generation = node.generations.back().Value();
    }
    this->fleet.Do(name,
                   node.core->OnEntryReport(report, this->fleet.clock.Now()));
  }
}

void CoordinationRun::Observe() {
  std::map<std::string, std::set<std::string>> ejected;
  std::map<std::string, std::string> stopping_domains;
  const bool never_lapse = this->fault == Fault::kEjectionsNeverLapse;
  for (const auto& [name, node] : this->fleet.nodes) {
    std::size_t& seen = this->seen_generations[name];
    for (; seen < node.generations.size(); ++seen) {
      this->oracle.OnConfigurationInForce(name, node.generations[seen].Value());
    }
    ejected[name] = this->fleet.Ejected(name, never_lapse);
    if (node.fleet && node.fleet->stop) {
      stopping_domains[name] = this->fleet.domains.at(name);
    }
  }
  this->oracle.OnEjected(ejected);
  this->oracle.OnStopping(stopping_domains);
}

void CoordinationRun::ReplaceStopped() {
  for (const auto& [name, node] : this->fleet.nodes) {
    if (node.fleet && node.fleet->stop) {
      this->stopping.try_emplace(name, this->second);
    }
  }
  for (auto stop = this->stopping.begin(); stop != this->stopping.end();) {
    if (this->second - stop->second < kStopDurationSeconds) {
      ++stop;
      continue;
    }
    const std::string name = stop->first;
    stop = this->stopping.erase(stop);
    this->Do({Operation::kReplace,
              static_cast<std::uint32_t>(std::stoul(name.substr(1))), 0});
  }
}

void CoordinationRun::Inject(const std::string& name, AgentAction& action) {
  auto* publish = std::get_if<PublishConfiguration>(&action);
  const bool replaced = this->fleet.nodes.at(name).generations.empty();
  if (this->fault == Fault::kOldGeneration && publish != nullptr && replaced &&
      publish->generation > Generation(1)) {
    publish->generation = Generation(publish->generation.Value() - 1);
  }
  if (auto* datagram = std::get_if<SendDatagram>(&action);
      datagram != nullptr && this->fault == Fault::kMarkAll) {
    auto message = UnpackTable<schema::PeerMessage>(datagram->bytes);
    if (message->payload.type == schema::PeerPayload::Ping) {
      schema::StopNoticeT notice;
      notice.plan = "plan1";
      message->payload.Set(std::move(notice));
      datagram->bytes = PackTable<schema::PeerMessage>(*message);
    }
  }
  auto* write = std::get_if<WriteRow>(&action);
  if (write == nullptr) {
    return;
  }
  if (this->fault == Fault::kForgetReturning &&
      write->key.starts_with("ejection/")) {
    auto row = UnpackTable<schema::EjectionGrant>(write->value);
    row->returning.clear();
    write->value = PackTable<schema::EjectionGrant>(*row);
  }
  if (this->fault == Fault::kMarkAll && write->key.starts_with("stop/")) {
    auto row = UnpackTable<schema::StopRow>(write->value);
    row->marked.clear();
    for (const auto& target : row->targets) {
      row->marked.push_back(std::make_unique<schema::StopMarkT>(*target));
    }
    write->value = PackTable<schema::StopRow>(*row);
  }
}

void CoordinationRun::OnRowWritten(const std::string& key, const Row& row) {
  if (key == kHeadKey) {
    const auto head = UnpackTable<schema::ConfigurationHead>(row.value);
    this->oracle.OnAccepted(head->generation, head->write_id,
                            this->floor_by_write[head->write_id]);
  } else if (key.starts_with("stop/")) {
    const auto stop = UnpackTable<schema::StopRow>(row.value);
    const auto writer_end = stop->write_id.find_last_of('/');
    this->oracle.OnFencedWrite(key, stop->fencing_token,
                               stop->write_id.substr(0, writer_end));
  }
}

}  // namespace acacia
