// The part of AgentCore that builds, sends and handles messages between peers.
#include <algorithm>
#include <memory>
#include <utility>

#include "src/agent_state.h"
#include "src/flat_table.h"

namespace acacia {
namespace {

constexpr std::size_t kMaxUpdatesPerMessage = 4;
constexpr std::size_t kMaxGrantsPerMessage = 2;
constexpr std::size_t kMaxLeavingSignsPerMessage = 3;
constexpr std::size_t kMaxQuestionsPerMessage = 2;
// At this fanout a change reaches 1,300 instances in a few hops.
constexpr std::size_t kPushFanout = 4;
constexpr Duration kMinPushInterval = std::chrono::milliseconds(100);

template <typename T>
void MoveAll(std::vector<T> from, std::vector<std::unique_ptr<T>>& to) {
  for (T& item : from) {
    to.push_back(std::make_unique<T>(std::move(item)));
  }
}

// Removes one item that later messages repeat anyway, to make the message fit a
// datagram. Returns false when no such item is left.
bool DropOneRepeatedItem(schema::PeerMessageT& message) {
  if (!message.questions.empty()) {
    message.questions.pop_back();
  } else if (message.updates.size() > 2) {
    message.updates.pop_back();
  } else if (!message.leaving.empty()) {
    message.leaving.pop_back();
  } else if (!message.grants.empty()) {
    message.grants.pop_back();
  } else {
    return false;
  }
  return true;
}

}  // namespace

// Builds a message without payload: the sender, the configuration generation in
// force there, and the updates attached to every message.
schema::PeerMessageT AgentCore::State::MakeMessage(const PeerAddress& to,
                                                   TimePoint now) {
  schema::PeerMessageT message;
  const auto& self = this->membership.Self();
  message.from = self.instance;
  message.from_address = self.peer_address;
  message.incarnation = self.incarnation;
  if (this->config_sync.CurrentGeneration() > Generation()) {
    message.head = std::make_unique<schema::ConfigurationHeadT>(
        this->config_sync.CurrentHead());
  }
  message.updates.push_back(std::make_unique<schema::MemberUpdateT>(self));
  if (const auto accusation = this->membership.FindNonLiveUpdate(to)) {
    message.updates.push_back(
        std::make_unique<schema::MemberUpdateT>(*accusation));
  }
  MoveAll(this->membership.TakeUpdates(kMaxUpdatesPerMessage), message.updates);
  MoveAll(this->ejection.Notices(kMaxGrantsPerMessage, now), message.grants);
  MoveAll(this->leaving.Notices(kMaxLeavingSignsPerMessage, now),
          message.leaving);
  MoveAll(this->evidence.Questions(kMaxQuestionsPerMessage, now),
          message.questions);
  return message;
}

void AgentCore::State::SendMessage(const PeerAddress& to,
                                   schema::PeerMessageT message) {
  std::string bytes = PackTable<schema::PeerMessage>(message);
  while (bytes.size() > kMaxDatagramBytes && DropOneRepeatedItem(message)) {
    bytes = PackTable<schema::PeerMessage>(message);
  }
  if (bytes.size() > kMaxDatagramBytes) {
    this->pending_actions.push_back(SendFrame{to, std::move(bytes)});
    return;
  }
  this->pending_actions.push_back(SendDatagram{to, std::move(bytes)});
}

void AgentCore::State::SendMessageAsFrame(const PeerAddress& to,
                                          const schema::PeerMessageT& message) {
  this->pending_actions.push_back(
      SendFrame{to, PackTable<schema::PeerMessage>(message)});
}

void AgentCore::State::SendMembership(const MembershipMessages& messages,
                                      TimePoint now) {
  for (const MembershipMessage& item : messages) {
    schema::PeerMessageT message = this->MakeMessage(item.to, now);
    std::visit(
        [&](const auto& payload) {
          auto copy = payload;
          message.payload.Set(std::move(copy));
        },
        item.payload);
    if (std::holds_alternative<schema::MemberSyncT>(item.payload)) {
      this->SendMessageAsFrame(item.to, message);
    } else {
      this->SendMessage(item.to, std::move(message));
    }
  }
}

// Sends pending changes to a few random peers, which pass them on in the same
// way if they did not know them.
void AgentCore::State::PushPendingChanges(TimePoint now) {
  if (!this->push_pending || now < this->next_push) {
    return;
  }
  this->push_pending = false;
  this->next_push = now + kMinPushInterval;
  for (const PeerAddress& peer : this->membership.RandomPeers(kPushFanout)) {
    this->SendMessage(peer, this->MakeMessage(peer, now));
  }
}

void AgentCore::State::OnMessage(const schema::PeerMessageT& message,
                                 TimePoint now) {
  const PeerAddress from(message.from_address);
  for (const auto& update : message.updates) {
    if (!update) {
      continue;
    }
    if (update->instance == message.from) {
      this->membership.OnMessageFrom(*update, now);
    } else {
      this->membership.OnUpdate(*update, now);
    }
  }
  for (const auto& sign : message.leaving) {
    if (sign) {
      this->leaving.OnNotice(*sign, now);
    }
  }
  for (const auto& question : message.questions) {
    if (question) {
      this->evidence.OnQuestion(*question, now);
    }
  }
  const schema::ConfigurationHeadT none;
  this->config_sync.OnPeerHead(from, message.head ? *message.head : none, now);
  this->OnPayload(message, now);
}

void AgentCore::State::OnPayload(const schema::PeerMessageT& message,
                                 TimePoint now) {
  const PeerAddress from(message.from_address);
  const auto& payload = message.payload;
  MembershipMessages replies;
  std::optional<TimePoint> ping_sent;
  if (const auto* ping = payload.AsPing()) {
    replies = this->membership.OnPing(from, *ping);
  } else if (const auto* ack = payload.AsAck()) {
    ping_sent = this->membership.OnAck(*ack, replies, now);
  } else if (const auto* request = payload.AsPingRequest()) {
    replies = this->membership.OnPingRequest(from, *request, now);
  } else if (const auto* object_request = payload.AsObjectRequest()) {
    this->AnswerObjectRequest(from, ObjectHash(object_request->hash), now);
  } else if (const auto* object = payload.AsObjectReply()) {
    this->config_sync.OnPeerObject(*object, now);
  } else if (const auto* share = payload.AsEvidenceShare()) {
    const auto& sender = message.updates;
    const FailureDomain domain(
        sender.empty() || !sender[0] ? "" : sender[0]->failure_domain);
    this->evidence.OnShare(InstanceId(message.from), domain, share->evidence,
                           now);
  } else if (const auto* member_sync = payload.AsMemberSync()) {
    if (member_sync->reply_wanted) {
      this->AnswerMemberSync(from, now);
    }
  } else if (const auto* notice = payload.AsStopNotice()) {
    this->planner.OnNotice(notice->plan, now, this->pending_actions);
  } else if (const auto* list_request = payload.AsListRequest()) {
    this->AnswerListRequest(from, list_request->name, now);
  } else if (const auto* list = payload.AsListReply()) {
    this->OnListUpdated(this->discovery.OnPeerList(*list, now), now);
  }
  // Only an answer to a ping limits how old the sender's knowledge of a grant
  // can be: the answer was sent after the ping.
  for (const auto& grant : message.grants) {
    if (grant) {
      this->ejection.OnNotice(*grant, ping_sent, now);
    }
  }
  this->SendMembership(replies, now);
}

void AgentCore::State::AnswerObjectRequest(const PeerAddress& from,
                                           const ObjectHash& hash,
                                           TimePoint now) {
  const std::string* body = this->config_sync.FindObject(hash);
  if (body == nullptr) {
    return;
  }
  schema::ObjectReplyT reply;
  reply.hash = hash.Value();
  reply.body.assign(body->begin(), body->end());
  schema::PeerMessageT message = this->MakeMessage(from, now);
  message.payload.Set(std::move(reply));
  this->SendMessageAsFrame(from, message);
}

void AgentCore::State::AnswerMemberSync(const PeerAddress& from,
                                        TimePoint now) {
  schema::PeerMessageT message = this->MakeMessage(from, now);
  MoveAll(this->membership.AllUpdates(), message.updates);
  message.payload.Set(schema::MemberSyncT());
  this->SendMessageAsFrame(from, message);
}

void AgentCore::State::RequestMissingLists(TimePoint now) {
  for (const std::string& name : this->discovery.TakeUnavailableLists()) {
    for (const PeerAddress& peer : this->membership.RandomPeers(1)) {
      schema::ListRequestT request;
      request.name = name;
      schema::PeerMessageT message = this->MakeMessage(peer, now);
      message.payload.Set(std::move(request));
      this->SendMessage(peer, std::move(message));
    }
  }
}

void AgentCore::State::AnswerListRequest(const PeerAddress& from,
                                         const std::string& name,
                                         TimePoint now) {
  const Discovery::List* list = this->discovery.Find(name);
  if (list == nullptr) {
    return;
  }
  schema::ListReplyT reply;
  reply.name = name;
  reply.age_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - *list->asked)
          .count());
  for (const ListedServer& server : list->servers) {
    auto listed = std::make_unique<schema::ListedServerT>();
    listed->address = server.listed.address;
    listed->failure_domain = server.listed.failure_domain.Value();
    listed->slots = server.listed.slots;
    listed->leaving = server.listed.leaving;
    reply.servers.push_back(std::move(listed));
  }
  schema::PeerMessageT message = this->MakeMessage(from, now);
  message.payload.Set(std::move(reply));
  this->SendMessageAsFrame(from, message);
}

}  // namespace acacia
