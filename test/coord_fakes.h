// Fakes for the coordination tests: a table and object store with outages,
// conflicts, lost replies and delays; links that can be cut one way; and a few
// AgentCores that share them and a manual clock.
#ifndef TEST_COORD_FAKES_H_
#define TEST_COORD_FAKES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/agent_core.h"
#include "src/config_publisher.h"

namespace acacia {

struct FakePlatform {
  std::map<std::string, Row> rows;
  std::map<ObjectHash, std::string> objects;
  std::map<std::string, std::vector<ListedInstance>> lists;
  bool outage = false;
  bool corrupt_objects = false;
  // How many of the next replies to writes are lost after taking effect.
  int lose_replies = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::function<void(const std::string& key, const Row& row)> on_row_written;

  RowResult Read(const std::string& key) {
    ++this->reads;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    return this->rows[key];
  }
  WriteResult Write(const WriteRow& write) {
    ++this->writes;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    Row& row = this->rows[write.key];
    if (row.version != write.expected) {
      return tl::unexpected(PlatformError::kConflict);
    }
    row = {write.value, row.version.Next()};
    if (this->on_row_written) {
      this->on_row_written(write.key, row);
    }
    if (this->lose_replies > 0) {
      --this->lose_replies;
      return tl::unexpected(PlatformError::kUnknown);
    }
    return row.version;
  }
  ObjectResult Object(const ObjectHash& hash) {
    ++this->reads;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    const auto found = this->objects.find(hash);
    if (found == this->objects.end()) {
      return tl::unexpected(PlatformError::kNotFound);
    }
    return this->corrupt_objects ? found->second + "x" : found->second;
  }
  ObjectWriteResult Store(const WriteObject& write) {
    ++this->writes;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    this->objects[write.hash] = write.body;
    return {};
  }
  InstanceListResult List(const std::string& service) {
    ++this->reads;
    if (this->outage) {
      return tl::unexpected(PlatformError::kUnavailable);
    }
    return this->lists[service];
  }
};

// Carries out one action of a publisher.
inline PublisherActions Carry(FakePlatform& platform,
                              ConfigPublisher& publisher,
                              const PublisherAction& action) {
  if (const auto* read = std::get_if<ReadRow>(&action)) {
    return publisher.OnRowRead(read->operation, platform.Read(read->key));
  }
  if (const auto* write = std::get_if<WriteRow>(&action)) {
    return publisher.OnRowWritten(write->operation, platform.Write(*write));
  }
  if (const auto* object = std::get_if<ReadObject>(&action)) {
    return publisher.OnObjectRead(object->operation,
                                  platform.Object(object->hash));
  }
  const auto& store = std::get<WriteObject>(action);
  return publisher.OnObjectWritten(store.operation, platform.Store(store));
}

// Runs the publisher until it has an outcome or `steps` actions were done.
inline void RunPublisher(FakePlatform& platform,
                         ConfigPublisher& publisher,
                         std::deque<PublisherAction>& queue,
                         int steps = 10000) {
  for (; steps > 0 && !queue.empty() && !publisher.Outcome(); --steps) {
    const PublisherAction action = queue.front();
    queue.pop_front();
    for (auto& next : Carry(platform, publisher, action)) {
      queue.push_back(std::move(next));
    }
  }
}

inline PublishOutcome Apply(FakePlatform& platform,
                            const PublishRequest& request) {
  ConfigPublisher publisher(request);
  const auto actions = publisher.Start();
  std::deque<PublisherAction> queue(actions.begin(), actions.end());
  RunPublisher(platform, publisher, queue);
  return *publisher.Outcome();
}

// One instance as the fleet's owner sees it.
struct FakeNode {
  std::unique_ptr<AgentCore> core;
  PeerAddress address;
  bool paused = false;
  bool platform_cut = false;
  // What the entry was told.
  std::vector<Generation> generations;
  std::shared_ptr<const schema::FleetUpdateT> fleet;
  TimePoint fleet_at;
  std::vector<schema::KeyClaimReplyT> claims;
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
  Duration tick = std::chrono::milliseconds(100);

  // Starts an instance, or its replacement.
  FakeNode& Start(const std::string& name, const std::string& domain = "a") {
    FakeNode& node = this->nodes[name];
    node = FakeNode();
    this->domains[name] = domain;
    node.address = AddressOf(name);
    AgentIdentity identity;
    identity.instance = InstanceId(name);
    identity.incarnation = Incarnation(1000 * ++this->starts);
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
  void StartMany(int count, int domains = 3) {
    for (int i = 0; i < count; ++i) {
      this->Start("n" + std::to_string(i),
                  std::string(1, static_cast<char>('a' + i % domains)));
    }
  }
  void Kill(const std::string& name) { this->nodes.erase(name); }
  static PeerAddress AddressOf(const std::string& name) {
    return PeerAddress("peer-" + name);
  }
  // What the entry may treat as ejected of the only service now.
  std::set<std::string> Ejected(const std::string& name) const {
    const FakeNode& node = this->nodes.at(name);
    const bool told = node.fleet && !node.fleet->services.empty();
    if (!told ||
        this->clock.Now() - node.fleet_at >
            std::chrono::milliseconds(node.fleet->ejections_valid_ms)) {
      return {};
    }
    const auto& ejected = node.fleet->services[0]->ejected;
    return {ejected.begin(), ejected.end()};
  }
  // Advances time; each agent ticks at its own phase.
  void Run(Duration time) {
    const Duration step = std::chrono::milliseconds(20);
    for (Duration done{}; done < time; done += step) {
      this->clock.Advance(step);
      this->Deliver();
      this->TickDue();
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
  void Do(const std::string& name, const AgentActions& actions) {
    for (const AgentAction& action : actions) {
      std::visit([&](const auto& what) { this->Carry(name, what); }, action);
    }
  }

 private:
  using Completion = std::function<AgentActions(AgentCore&, TimePoint)>;
  struct Event {
    std::string to;
    std::uint64_t start = 0;
    Completion run;
  };

  void Later(const std::string& to, Duration delay, Completion run) {
    this->events.emplace(this->clock.Now() + delay,
                         Event{to, 0, std::move(run)});
  }
  void Deliver() {
    while (!this->events.empty() &&
           this->events.begin()->first <= this->clock.Now()) {
      const Event event = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      const auto node = this->nodes.find(event.to);
      if (node == this->nodes.end()) {
        continue;
      }
      if (node->second.paused) {
        this->Later(event.to, std::chrono::milliseconds(20), event.run);
        continue;
      }
      this->Do(event.to, event.run(*node->second.core, this->clock.Now()));
    }
  }
  void TickDue() {
    const auto phase_count = this->tick / std::chrono::milliseconds(20);
    ++this->steps;
    std::uint64_t index = 0;
    std::vector<std::string> due;
    for (const auto& [name, node] : this->nodes) {
      const bool on =
          (this->steps + index++) % static_cast<std::uint64_t>(phase_count) ==
          0;
      if (on && !node.paused) {
        due.push_back(name);
      }
    }
    for (const std::string& name : due) {
      this->Do(name, this->nodes[name].core->OnTick(this->clock.Now()));
    }
  }
  void SendTo(const std::string& name,
              const PeerAddress& to,
              const std::string& bytes) {
    ++this->peer_messages;
    this->peer_bytes += bytes.size();
    const PeerAddress from = AddressOf(name);
    if (this->cuts.count({from, to}) != 0) {
      return;
    }
    this->Later(to.Value().substr(5), this->hop,
                [from, bytes](AgentCore& core, TimePoint now) {
                  return core.OnPeerBytes(from, bytes, now);
                });
  }
  bool IsCut(const std::string& name) { return this->nodes[name].platform_cut; }
  void Carry(const std::string& name, const ReadRow& read) {
    RowResult result = this->IsCut(name)
                           ? tl::unexpected(PlatformError::kUnavailable)
                           : this->platform.Read(read.key);
    this->Later(name, this->hop, [=](AgentCore& core, TimePoint now) {
      return core.OnRowRead(read.operation, result, now);
    });
  }
  void Carry(const std::string& name, const WriteRow& write) {
    WriteResult result = this->IsCut(name)
                             ? tl::unexpected(PlatformError::kUnavailable)
                             : this->platform.Write(write);
    this->Later(
        name, this->hop,
        [operation = write.operation, result](AgentCore& core, TimePoint now) {
          return core.OnRowWritten(operation, result, now);
        });
  }
  void Carry(const std::string& name, const ReadObject& read) {
    ObjectResult result = this->IsCut(name)
                              ? tl::unexpected(PlatformError::kUnavailable)
                              : this->platform.Object(read.hash);
    this->Later(name, this->hop, [=](AgentCore& core, TimePoint now) {
      return core.OnObjectRead(read.operation, result, now);
    });
  }
  void Carry(const std::string& name, const ReadInstanceList& read) {
    InstanceListResult result =
        this->IsCut(name) ? tl::unexpected(PlatformError::kUnavailable)
                          : this->platform.List(read.service);
    this->Later(name, this->hop, [=](AgentCore& core, TimePoint now) {
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
    this->nodes[name].generations.push_back(publish.generation);
  }
  void Carry(const std::string& name, const PublishFleet& publish) {
    this->nodes[name].fleet = publish.update;
    this->nodes[name].fleet_at = this->clock.Now();
  }
  void Carry(const std::string& name, const AnswerKeyClaim& answer) {
    this->nodes[name].claims.push_back(answer.reply);
  }

  std::uint64_t seed;
  std::uint64_t starts = 0;
  std::uint64_t steps = 0;
  std::multimap<TimePoint, Event> events;
};

// A small file set: one service with backend servers b0, b1, ... of 5 slots.
inline schema::FileSetT MakeFileSet(int backend_servers,
                                    std::uint32_t floor_percent = 50,
                                    const std::string& account = "x") {
  schema::FileSetT set;
  auto service = std::make_unique<schema::ServiceT>();
  service->name = "kehto";
  service->floor_percent = floor_percent;
  service->slots_per_backend_server = 5;
  for (int i = 0; i < backend_servers; ++i) {
    auto server = std::make_unique<schema::BackendServerT>();
    server->address = "b" + std::to_string(i);
    server->failure_domain = std::string(1, static_cast<char>('a' + i % 3));
    service->backend_servers.push_back(std::move(server));
  }
  set.services.push_back(std::move(service));
  auto entry = std::make_unique<schema::AccountT>();
  entry->name = account;
  set.accounts.push_back(std::move(entry));
  return set;
}

}  // namespace acacia

#endif  // TEST_COORD_FAKES_H_
