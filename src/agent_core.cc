#include "src/agent_core.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include "src/config_sync.h"
#include "src/flat_table.h"
#include "src/log_event.h"
#include "src/membership.h"

namespace acacia {
namespace {

using schema::MemberState;

constexpr std::size_t kUpdatesPerMessage = 4;
// Enough that news reaches 1,300 instances in a few hops.
constexpr std::size_t kPushFanout = 4;
constexpr Duration kFleetPublishGap = std::chrono::milliseconds(200);
constexpr Duration kFleetRefresh = std::chrono::seconds(5);

schema::MemberUpdateT MakeSelf(const AgentIdentity& identity) {
  schema::MemberUpdateT self;
  self.instance = identity.instance.Value();
  self.incarnation = identity.incarnation.Value();
  self.peer_address = identity.peer_address.Value();
  self.caller_address = identity.caller_address;
  self.failure_domain = identity.failure_domain.Value();
  self.region = identity.region;
  return self;
}

std::unique_ptr<schema::FleetMemberT> MakeFleetMember(
    const schema::MemberUpdateT& info) {
  auto member = std::make_unique<schema::FleetMemberT>();
  member->instance = info.instance;
  member->caller_address = info.caller_address;
  member->failure_domain = info.failure_domain;
  member->region = info.region;
  member->state = info.state;
  member->load_permille = info.load_permille;
  return member;
}

}  // namespace

struct AgentCore::State {
  State(AgentIdentity identity_in,
        const Clock& wall_clock_in,
        std::unique_ptr<RandomSource> random_in,
        TimePoint now)
      : identity(std::move(identity_in)),
        wall_clock(wall_clock_in),
        random(std::move(random_in)),
        sync(*this->random, this->operations, now),
        membership(MakeSelf(this->identity),
                   this->identity.seeds,
                   *this->random,
                   now),
        next_fleet_refresh(now) {}

  AgentIdentity identity;
  const Clock& wall_clock;
  std::unique_ptr<RandomSource> random;
  OperationIds operations;
  ConfigSync sync;
  Membership membership;

  AgentActions out;
  bool stop = false;
  bool entry_connected = false;
  Generation entry_generation;
  bool configuration_published = false;
  std::uint64_t fleet_sequence = 0;
  std::uint64_t published_membership = 0;
  bool fleet_changed = true;
  TimePoint next_fleet_publish;
  TimePoint next_fleet_refresh;
  std::uint64_t malformed = 0;

  schema::PeerMessageT MakeMessage(const PeerAddress& to);
  template <typename Payload>
  void Datagram(const PeerAddress& to, const Payload& payload);
  template <typename Payload>
  void Frame(const PeerAddress& to, const Payload& payload);
  void SendMembership(const MembershipMessages& messages);
  void PushNews();
  void OnConfigurationChanged();
  void PublishConfigurationNow();
  void PublishFleetNow(TimePoint now);
  void PublishFleetWhenDue(TimePoint now);
  std::shared_ptr<schema::FleetUpdateT> BuildFleetUpdate(TimePoint now) const;
  void AfterEvent(TimePoint now);
  void OnMessage(const schema::PeerMessageT& message, TimePoint now);
  void OnPayload(const PeerAddress& from,
                 const schema::PeerPayloadUnion& payload,
                 TimePoint now);
  AgentActions Take() { return std::exchange(this->out, {}); }
};

// Everything that rides on any message: who sends it, what is in force there,
// and news of members.
schema::PeerMessageT AgentCore::State::MakeMessage(const PeerAddress& to) {
  schema::PeerMessageT message;
  const auto& self = this->membership.Self();
  message.from = self.instance;
  message.from_address = self.peer_address;
  message.incarnation = self.incarnation;
  if (this->sync.CurrentGeneration() > Generation()) {
    message.head =
        std::make_unique<schema::ConfigurationHeadT>(this->sync.CurrentHead());
  }
  message.updates.push_back(std::make_unique<schema::MemberUpdateT>(self));
  if (const auto accusation = this->membership.AccusationFor(to)) {
    message.updates.push_back(
        std::make_unique<schema::MemberUpdateT>(*accusation));
  }
  for (auto& update : this->membership.TakeUpdates(kUpdatesPerMessage)) {
    message.updates.push_back(
        std::make_unique<schema::MemberUpdateT>(std::move(update)));
  }
  return message;
}

template <typename Payload>
void AgentCore::State::Datagram(const PeerAddress& to, const Payload& payload) {
  schema::PeerMessageT message = this->MakeMessage(to);
  message.payload.Set(Payload(payload));
  std::string bytes = PackTable<schema::PeerMessage>(message);
  while (bytes.size() > kMaxDatagramBytes && message.updates.size() > 1) {
    message.updates.pop_back();
    bytes = PackTable<schema::PeerMessage>(message);
  }
  if (bytes.size() > kMaxDatagramBytes) {
    this->out.push_back(SendFrame{to, std::move(bytes)});
    return;
  }
  this->out.push_back(SendDatagram{to, std::move(bytes)});
}

template <typename Payload>
void AgentCore::State::Frame(const PeerAddress& to, const Payload& payload) {
  schema::PeerMessageT message = this->MakeMessage(to);
  message.payload.Set(Payload(payload));
  this->out.push_back(SendFrame{to, PackTable<schema::PeerMessage>(message)});
}

void AgentCore::State::SendMembership(const MembershipMessages& messages) {
  for (const MembershipMessage& message : messages) {
    if (const auto* ping = std::get_if<schema::PingT>(&message.payload)) {
      this->Datagram(message.to, *ping);
    } else if (const auto* ack = std::get_if<schema::AckT>(&message.payload)) {
      this->Datagram(message.to, *ack);
    } else if (const auto* request =
                   std::get_if<schema::PingRequestT>(&message.payload)) {
      this->Datagram(message.to, *request);
    } else {
      this->Frame(message.to, std::get<schema::MemberSyncT>(message.payload));
    }
  }
}

// Tells a few random peers at once; they do the same when it is news to them.
void AgentCore::State::PushNews() {
  for (const PeerAddress& peer : this->membership.RandomPeers(kPushFanout)) {
    this->Datagram(peer, schema::AckT());
  }
}

void AgentCore::State::PublishConfigurationNow() {
  const bool known = this->sync.IsReady() && this->sync.FileSet() != nullptr;
  if (!known || this->sync.CurrentGeneration() < this->entry_generation) {
    return;
  }
  this->configuration_published = true;
  this->out.push_back(PublishConfiguration{this->sync.CurrentGeneration(),
                                           this->sync.FileSet()});
}

void AgentCore::State::OnConfigurationChanged() {
  this->configuration_published = false;
  this->fleet_changed = true;
  this->PushNews();
}

std::shared_ptr<schema::FleetUpdateT> AgentCore::State::BuildFleetUpdate(
    TimePoint /*now*/) const {
  auto update = std::make_shared<schema::FleetUpdateT>();
  update->sequence = this->fleet_sequence;
  update->stop = this->stop;
  update->members.push_back(MakeFleetMember(this->membership.Self()));
  for (const auto& [id, member] : this->membership.Others()) {
    if (member.info.state != MemberState::Dead) {
      update->members.push_back(MakeFleetMember(member.info));
    }
  }
  return update;
}

void AgentCore::State::PublishFleetNow(TimePoint now) {
  ++this->fleet_sequence;
  this->fleet_changed = false;
  this->published_membership = this->membership.Version();
  this->next_fleet_publish = now + kFleetPublishGap;
  this->next_fleet_refresh = now + kFleetRefresh;
  this->out.push_back(PublishFleet{this->BuildFleetUpdate(now)});
}

void AgentCore::State::PublishFleetWhenDue(TimePoint now) {
  const bool changed = this->fleet_changed ||
                       this->published_membership != this->membership.Version();
  const bool due = changed ? now >= this->next_fleet_publish
                           : now >= this->next_fleet_refresh;
  if (due) {
    this->PublishFleetNow(now);
  }
}

void AgentCore::State::AfterEvent(TimePoint now) {
  if (this->sync.TakeChanged()) {
    this->OnConfigurationChanged();
  }
  if (!this->entry_connected) {
    return;
  }
  if (!this->configuration_published) {
    this->PublishConfigurationNow();
  }
  this->PublishFleetWhenDue(now);
}

void AgentCore::State::OnMessage(const schema::PeerMessageT& message,
                                 TimePoint now) {
  const PeerAddress from(message.from_address);
  for (const auto& update : message.updates) {
    if (!update) {
      continue;
    }
    if (update->instance == message.from) {
      this->membership.OnHeard(*update, now);
    } else {
      this->membership.OnUpdate(*update, now);
    }
  }
  if (message.head) {
    this->sync.OnPeerHead(from, *message.head, now);
  } else {
    this->sync.OnPeerHead(from, schema::ConfigurationHeadT(), now);
  }
  this->OnPayload(from, message.payload, now);
}

void AgentCore::State::OnPayload(const PeerAddress& from,
                                 const schema::PeerPayloadUnion& payload,
                                 TimePoint now) {
  MembershipMessages replies;
  if (const auto* ping = payload.AsPing()) {
    replies = this->membership.OnPing(from, *ping);
  } else if (const auto* ack = payload.AsAck()) {
    this->membership.OnAck(*ack, replies, now);
  } else if (const auto* request = payload.AsPingRequest()) {
    replies = this->membership.OnPingRequest(from, *request, now);
  } else if (const auto* wanted = payload.AsObjectRequest()) {
    if (const auto* body = this->sync.FindObject(ObjectHash(wanted->hash))) {
      schema::ObjectReplyT reply;
      reply.hash = wanted->hash;
      reply.body.assign(body->begin(), body->end());
      this->Frame(from, reply);
    }
  } else if (const auto* object = payload.AsObjectReply()) {
    this->sync.OnPeerObject(*object, now);
  } else if (const auto* member_sync = payload.AsMemberSync()) {
    if (member_sync->reply_wanted) {
      schema::PeerMessageT message = this->MakeMessage(from);
      for (auto& update : this->membership.AllUpdates()) {
        message.updates.push_back(
            std::make_unique<schema::MemberUpdateT>(std::move(update)));
      }
      message.payload.Set(schema::MemberSyncT());
      this->out.push_back(
          SendFrame{from, PackTable<schema::PeerMessage>(message)});
    }
  }
  this->SendMembership(replies);
}

AgentCore::AgentCore(AgentIdentity identity,
                     const Clock& wall_clock,
                     std::unique_ptr<RandomSource> random,
                     TimePoint now)
    : state(std::make_unique<State>(std::move(identity),
                                    wall_clock,
                                    std::move(random),
                                    now)) {}

AgentCore::~AgentCore() = default;

AgentActions AgentCore::OnTick(TimePoint now) {
  State& core = *this->state;
  core.SendMembership(core.membership.OnTick(now));
  auto requests = core.sync.OnTick(core.membership.LivePeers(),
                                   core.membership.KnownPeers(), now);
  for (auto& action : requests.actions) {
    core.out.push_back(std::move(action));
  }
  for (const auto& request : requests.peer_requests) {
    schema::ObjectRequestT wanted;
    wanted.hash = request.hash.Value();
    core.Frame(request.peer, wanted);
  }
  core.AfterEvent(now);
  return core.Take();
}

AgentActions AgentCore::OnRowRead(OperationId operation,
                                  const RowResult& result,
                                  TimePoint now) {
  this->state->sync.OnRowRead(operation, result, now);
  this->state->AfterEvent(now);
  return this->state->Take();
}

AgentActions AgentCore::OnRowWritten(OperationId /*operation*/,
                                     const WriteResult& /*result*/,
                                     TimePoint now) {
  this->state->AfterEvent(now);
  return this->state->Take();
}

AgentActions AgentCore::OnObjectRead(OperationId operation,
                                     const ObjectResult& result,
                                     TimePoint now) {
  this->state->sync.OnObjectRead(operation, result, now);
  this->state->AfterEvent(now);
  return this->state->Take();
}

AgentActions AgentCore::OnInstanceList(OperationId /*operation*/,
                                       const InstanceListResult& /*result*/,
                                       TimePoint now) {
  this->state->AfterEvent(now);
  return this->state->Take();
}

AgentActions AgentCore::OnPeerBytes(const PeerAddress& /*from*/,
                                    const std::string& bytes,
                                    TimePoint now) {
  auto message = UnpackTable<schema::PeerMessage>(bytes);
  if (!message || message->from.empty() || message->from_address.empty()) {
    ++this->state->malformed;
    return {};
  }
  this->state->OnMessage(*message, now);
  this->state->AfterEvent(now);
  return this->state->Take();
}

AgentActions AgentCore::OnEntryConnected(TimePoint now) {
  this->state->entry_connected = true;
  this->state->entry_generation = Generation();
  this->state->configuration_published = false;
  this->state->PublishFleetNow(now);
  this->state->AfterEvent(now);
  return this->state->Take();
}

AgentActions AgentCore::OnEntryReport(const schema::EntryReportT& report,
                                      TimePoint now) {
  State& core = *this->state;
  core.entry_generation = Generation(report.generation);
  core.membership.SetLoad(report.load_permille);
  core.AfterEvent(now);
  return core.Take();
}

AgentActions AgentCore::OnKeyClaim(const schema::KeyClaimT& /*claim*/,
                                   TimePoint now) {
  this->state->AfterEvent(now);
  return this->state->Take();
}

AgentActions AgentCore::OnStopRequested(TimePoint now) {
  State& core = *this->state;
  core.stop = true;
  core.membership.AnnounceLeaving(now);
  core.PushNews();
  core.PublishFleetNow(now);
  return core.Take();
}

bool AgentCore::IsReady() const {
  return this->state->sync.IsReady();
}

Generation AgentCore::CurrentGeneration() const {
  return this->state->sync.CurrentGeneration();
}

std::vector<std::string> AgentCore::Status(TimePoint /*now*/) const {
  std::vector<std::string> lines = this->state->sync.Status();
  for (std::string& line : this->state->membership.Status()) {
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<std::string> AgentCore::Explain(const ServiceName& /*service*/,
                                            TimePoint /*now*/) const {
  return {};
}

}  // namespace acacia
