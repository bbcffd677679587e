// A fake fleet: several AgentCores with one fake platform, fake links that can
// be cut in one direction, and a manual clock. It calls the cores and carries
// out their actions.
#ifndef TEST_COORD_FAKES_H_
#define TEST_COORD_FAKES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/agent_core.h"
#include "test/platform_fake.h"

namespace acacia {

// One instance: its agent, and the updates that its entry received.
struct FakeNode {
  std::unique_ptr<AgentCore> core;
  PeerAddress address;
  // Identifies the process; replies to an earlier process are dropped.
  std::uint64_t start = 0;
  bool paused = false;
  // Events that arrived while the process was paused.
  std::vector<std::function<AgentActions(AgentCore&, TimePoint)>> deferred;
  bool platform_cut = false;
  std::vector<Generation> generations;
  std::shared_ptr<const schema::FleetUpdateT> fleet;
  TimePoint fleet_at;
};

class FakeFleet {
 public:
  explicit FakeFleet(std::uint64_t seed) : seed(seed) {}

  FakePlatform platform;
  ManualClock clock;
  std::map<std::string, FakeNode> nodes;
  std::map<std::string, std::string> domains;
  // Links, as pairs (from, to), whose messages are lost.
  std::set<std::pair<PeerAddress, PeerAddress>> cuts;
  std::uint64_t peer_messages = 0;
  std::uint64_t peer_bytes = 0;
  Duration hop = std::chrono::milliseconds(1);
  // Platform operations take effect this long after they were sent.
  Duration platform_delay{};
  // Fault injection: sees and may change each action before it is carried out.
  std::function<void(const std::string& name, AgentAction& action)> filter;

  // Starts an instance, or its replacement.
  FakeNode& Start(const std::string& name, const std::string& domain = "a") {
    FakeNode& node = this->nodes[name];
    node = FakeNode();
    node.address = AddressOf(name);
    node.start = ++this->starts;
    this->domains[name] = domain;
    AgentIdentity identity;
    identity.instance = InstanceId(name);
    identity.incarnation = Incarnation(1000 * this->starts);
    identity.failure_domain = FailureDomain(domain);
    identity.peer_address = node.address;
    identity.caller_address = "caller-" + name;
    identity.seeds = {AddressOf("n0"), AddressOf("n1"), AddressOf("n2")};
    const std::uint64_t node_seed = this->seed * 1000003 + this->starts;
    node.core = std::make_unique<AgentCore>(
        identity, this->clock, std::make_unique<SeededRandom>(node_seed),
        this->clock.Now());
    this->Do(name, node.core->OnEntryConnected(this->clock.Now()));
    return node;
  }
  void StartMany(int count, int domain_count = 3) {
    for (int i = 0; i < count; ++i) {
      this->Start("n" + std::to_string(i),
                  std::string(1, static_cast<char>('a' + i % domain_count)));
    }
  }
  void Kill(const std::string& name) { this->nodes.erase(name); }
  static PeerAddress AddressOf(const std::string& name) {
    return PeerAddress("peer-" + name);
  }
  // The backend servers of the only service that the entry may treat as ejected
  // now.
  std::set<std::string> Ejected(const std::string& name,
                                bool ignore_validity = false) const {
    const FakeNode& node = this->nodes.at(name);
    if (!node.fleet || node.fleet->services.empty()) {
      return {};
    }
    const auto valid =
        std::chrono::milliseconds(node.fleet->ejections_valid_ms);
    if (!ignore_validity && this->clock.Now() - node.fleet_at > valid) {
      return {};
    }
    const auto& ejected = node.fleet->services[0]->ejected;
    return {ejected.begin(), ejected.end()};
  }
  // Advances time; each agent ticks every 100 ms at its own phase.
  void Run(Duration time) {
    for (Duration done{}; done < time; done += kStep) {
      this->clock.Advance(kStep);
      ++this->steps;
      this->RunDueEvents();
      std::uint64_t phase = this->steps;
      for (auto& [name, node] : this->nodes) {
        while (!node.paused && !node.deferred.empty()) {
          for (const auto& run : std::exchange(node.deferred, {})) {
            this->Do(name, run(*node.core, this->clock.Now()));
          }
        }
        if (phase++ % kStepsPerTick == 0 && !node.paused) {
          this->Do(name, node.core->OnTick(this->clock.Now()));
        }
      }
    }
  }
  template <typename Condition>
  bool RunUntil(Duration limit, const Condition& condition) {
    const Duration step = std::chrono::milliseconds(100);
    for (Duration done{}; done < limit && !condition(); done += step) {
      this->Run(step);
    }
    return condition();
  }
  bool AllAt(Generation generation) const {
    for (const auto& [name, node] : this->nodes) {
      if (node.generations.empty() || node.generations.back() != generation) {
        return false;
      }
    }
    return true;
  }
  // Carries out the actions of a node.
  void Do(const std::string& name, AgentActions actions) {
    for (AgentAction& action : actions) {
      if (this->filter) {
        this->filter(name, action);
      }
      std::visit([&](const auto& what) { this->CarryOut(name, what); }, action);
    }
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(20);
  static constexpr std::uint64_t kStepsPerTick = 5;
  using Event = std::function<void()>;
  using Completion = std::function<AgentActions(AgentCore&, TimePoint)>;

  void ScheduleAfter(Duration delay, Event event) {
    this->events.emplace(this->clock.Now() + delay, std::move(event));
  }
  void RunDueEvents() {
    while (!this->events.empty() &&
           this->events.begin()->first <= this->clock.Now()) {
      const Event event = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      event();
    }
  }
  // Passes an event to the node. A paused process receives it when it resumes,
  // a replaced process never.
  void DeliverOrDefer(const std::string& name,
                      std::uint64_t start,
                      Completion run) {
    const auto node = this->nodes.find(name);
    if (node == this->nodes.end() || node->second.start != start) {
      return;
    }
    if (node->second.paused) {
      node->second.deferred.push_back(std::move(run));
      return;
    }
    this->Do(name, run(*node->second.core, this->clock.Now()));
  }
  // Runs `operation` at the platform after `platform_delay`, then passes its
  // result to `done` at the node.
  template <typename Operation, typename Done>
  void RunAtPlatform(const std::string& name, Operation operation, Done done) {
    const std::uint64_t start = this->nodes.at(name).start;
    const bool cut = this->nodes.at(name).platform_cut;
    const auto run = [=, this] {
      using Result = decltype(operation(this->platform));
      const Result result =
          cut ? Result(tl::unexpected(PlatformError::kUnavailable))
              : operation(this->platform);
      this->ScheduleAfter(this->hop, [=, this] {
        this->DeliverOrDefer(name, start, [=](AgentCore& core, TimePoint now) {
          return done(core, result, now);
        });
      });
    };
    this->platform_delay == Duration()
        ? run()
        : this->ScheduleAfter(this->platform_delay, run);
  }
  void SendTo(const std::string& name,
              const PeerAddress& to,
              const std::string& bytes) {
    ++this->peer_messages;
    this->peer_bytes += bytes.size();
    const PeerAddress from = AddressOf(name);
    const std::string target = to.Value().substr(5);
    const auto node = this->nodes.find(target);
    if (this->cuts.count({from, to}) != 0 || node == this->nodes.end()) {
      return;
    }
    this->ScheduleAfter(this->hop, [=, this, start = node->second.start] {
      this->DeliverOrDefer(target, start, [=](AgentCore& core, TimePoint now) {
        return core.OnPeerBytes(from, bytes, now);
      });
    });
  }
  void CarryOut(const std::string& name, const ReadRow& read) {
    this->RunAtPlatform(
        name, [=](FakePlatform& p) { return p.Read(read.key); },
        [=](AgentCore& core, const RowResult& result, TimePoint now) {
          return core.OnRowRead(read.operation, result, now);
        });
  }
  void CarryOut(const std::string& name, const WriteRow& write) {
    this->RunAtPlatform(
        name, [=](FakePlatform& p) { return p.Write(write); },
        [=](AgentCore& core, const WriteResult& result, TimePoint now) {
          return core.OnRowWritten(write.operation, result, now);
        });
  }
  void CarryOut(const std::string& name, const ReadObject& read) {
    this->RunAtPlatform(
        name, [=](FakePlatform& p) { return p.Object(read.hash); },
        [=](AgentCore& core, const ObjectResult& result, TimePoint now) {
          return core.OnObjectRead(read.operation, result, now);
        });
  }
  void CarryOut(const std::string& name, const ReadInstanceList& read) {
    this->RunAtPlatform(
        name, [=](FakePlatform& p) { return p.List(read.service); },
        [=](AgentCore& core, const InstanceListResult& result, TimePoint now) {
          return core.OnInstanceList(read.operation, result, now);
        });
  }
  void CarryOut(const std::string& /*name*/, const WriteObject& write) {
    this->platform.Store(write);
  }
  void CarryOut(const std::string& name, const SendDatagram& send) {
    this->SendTo(name, send.to, send.bytes);
  }
  void CarryOut(const std::string& name, const SendFrame& send) {
    this->SendTo(name, send.to, send.bytes);
  }
  void CarryOut(const std::string& name, const PublishConfiguration& publish) {
    this->nodes.at(name).generations.push_back(publish.generation);
  }
  void CarryOut(const std::string& name, const PublishFleet& publish) {
    this->nodes.at(name).fleet = publish.update;
    this->nodes.at(name).fleet_at = this->clock.Now();
  }
  void CarryOut(const std::string& /*name*/, const AnswerKeyClaim& /*answer*/) {
  }

  std::uint64_t seed;
  std::uint64_t starts = 0;
  std::uint64_t steps = 0;
  std::multimap<TimePoint, Event> events;
};

}  // namespace acacia

#endif  // TEST_COORD_FAKES_H_
