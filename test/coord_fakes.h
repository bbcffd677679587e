// A few AgentCores that share one fake platform, fake links that can be cut one
// way, and a manual clock. It calls the cores and carries their actions out.
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

// One instance: its agent, and what its entry was told.
struct FakeNode {
  std::unique_ptr<AgentCore> core;
  PeerAddress address;
  // Counts processes; replies to a predecessor are dropped.
  std::uint64_t start = 0;
  bool paused = false;
  // What came in while the process was paused.
  std::vector<std::function<AgentActions(AgentCore&, TimePoint)>> waiting;
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
  // Pairs (from, to) whose messages are lost.
  std::set<std::pair<PeerAddress, PeerAddress>> cuts;
  std::uint64_t peer_messages = 0;
  std::uint64_t peer_bytes = 0;
  Duration hop = std::chrono::milliseconds(1);
  // Platform operations take effect this long after they were sent.
  Duration platform_delay{};
  // Deliberate faults: see or change what an agent does before it is done.
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
  // What the entry may treat as ejected of the only service now.
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
      this->Deliver();
      std::uint64_t phase = this->steps;
      for (auto& [name, node] : this->nodes) {
        while (!node.paused && !node.waiting.empty()) {
          for (const auto& run : std::exchange(node.waiting, {})) {
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
      std::visit([&](const auto& what) { this->Carry(name, what); }, action);
    }
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(20);
  static constexpr std::uint64_t kStepsPerTick = 5;
  using Event = std::function<void()>;
  using Completion = std::function<AgentActions(AgentCore&, TimePoint)>;

  void Later(Duration delay, Event event) {
    this->events.emplace(this->clock.Now() + delay, std::move(event));
  }
  void Deliver() {
    while (!this->events.empty() &&
           this->events.begin()->first <= this->clock.Now()) {
      const Event event = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      event();
    }
  }
  // A paused process gets it when it goes on; a replaced one never.
  void Complete(const std::string& name, std::uint64_t start, Completion run) {
    const auto node = this->nodes.find(name);
    if (node == this->nodes.end() || node->second.start != start) {
      return;
    }
    if (node->second.paused) {
      node->second.waiting.push_back(std::move(run));
      return;
    }
    this->Do(name, run(*node->second.core, this->clock.Now()));
  }
  // Runs `operation` at the platform later, and `done` with its result at the
  // node after that.
  template <typename Operation, typename Done>
  void AtPlatform(const std::string& name, Operation operation, Done done) {
    const std::uint64_t start = this->nodes.at(name).start;
    const bool cut = this->nodes.at(name).platform_cut;
    const auto run = [=, this] {
      using Result = decltype(operation(this->platform));
      const Result result =
          cut ? Result(tl::unexpected(PlatformError::kUnavailable))
              : operation(this->platform);
      this->Later(this->hop, [=, this] {
        this->Complete(name, start, [=](AgentCore& core, TimePoint now) {
          return done(core, result, now);
        });
      });
    };
    this->platform_delay == Duration() ? run()
                                       : this->Later(this->platform_delay, run);
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
    this->Later(this->hop, [=, this, start = node->second.start] {
      this->Complete(target, start, [=](AgentCore& core, TimePoint now) {
        return core.OnPeerBytes(from, bytes, now);
      });
    });
  }
  void Carry(const std::string& name, const ReadRow& read) {
    this->AtPlatform(
        name, [=](FakePlatform& p) { return p.Read(read.key); },
        [=](AgentCore& core, const RowResult& result, TimePoint now) {
          return core.OnRowRead(read.operation, result, now);
        });
  }
  void Carry(const std::string& name, const WriteRow& write) {
    this->AtPlatform(
        name, [=](FakePlatform& p) { return p.Write(write); },
        [=](AgentCore& core, const WriteResult& result, TimePoint now) {
          return core.OnRowWritten(write.operation, result, now);
        });
  }
  void Carry(const std::string& name, const ReadObject& read) {
    this->AtPlatform(
        name, [=](FakePlatform& p) { return p.Object(read.hash); },
        [=](AgentCore& core, const ObjectResult& result, TimePoint now) {
          return core.OnObjectRead(read.operation, result, now);
        });
  }
  void Carry(const std::string& name, const ReadInstanceList& read) {
    this->AtPlatform(
        name, [=](FakePlatform& p) { return p.List(read.service); },
        [=](AgentCore& core, const InstanceListResult& result, TimePoint now) {
          return core.OnInstanceList(read.operation, result, now);
        });
  }
  void Carry(const std::string& /*name*/, const WriteObject& write) {
    this->platform.Store(write);
  }
  void Carry(const std::string& name, const SendDatagram& send) {
    this->SendTo(name, send.to, send.bytes);
  }
  void Carry(const std::string& name, const SendFrame& send) {
    this->SendTo(name, send.to, send.bytes);
  }
  void Carry(const std::string& name, const PublishConfiguration& publish) {
    this->nodes.at(name).generations.push_back(publish.generation);
  }
  void Carry(const std::string& name, const PublishFleet& publish) {
    this->nodes.at(name).fleet = publish.update;
    this->nodes.at(name).fleet_at = this->clock.Now();
  }
  void Carry(const std::string& /*name*/, const AnswerKeyClaim& /*answer*/) {}

  std::uint64_t seed;
  std::uint64_t starts = 0;
  std::uint64_t steps = 0;
  std::multimap<TimePoint, Event> events;
};

}  // namespace acacia

#endif  // TEST_COORD_FAKES_H_
