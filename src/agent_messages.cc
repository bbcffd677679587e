// How AgentCore talks to its peers.
#include <algorithm>
#include <memory>
#include <utility>

#include "src/agent_state.h"
#include "src/flat_table.h"

namespace acacia {
namespace {

constexpr std::size_t kUpdatesPerMessage = 4;
constexpr std::size_t kGrantsPerMessage = 2;
constexpr std::size_t kSignsPerMessage = 3;
constexpr std::size_t kQuestionsPerMessage = 2;
// Enough that news reaches 1,300 instances in a few hops.
constexpr std::size_t kPushFanout = 4;
constexpr Duration kPushGap = std::chrono::milliseconds(100);

template <typename T>
void MoveAll(std::vector<T> from, std::vector<std::unique_ptr<T>>& to) {
  for (T& item : from) {
    to.push_back(std::make_unique<T>(std::move(item)));
  }
}

// Drops what will be told again anyway until the message fits a datagram.
bool Shorten(schema::PeerMessageT& message) {
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

// Everything that rides on any message: who sends it, what is in force there,
// and news.
schema::PeerMessageT AgentCore::State::MakeMessage(const PeerAddress& to,
                                                   TimePoint now) {
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
  MoveAll(this->membership.TakeUpdates(kUpdatesPerMessage), message.updates);
  MoveAll(this->ejection.Notices(kGrantsPerMessage, now), message.grants);
  MoveAll(this->leaving.Notices(kSignsPerMessage, now), message.leaving);
  MoveAll(this->evidence.Questions(kQuestionsPerMessage, now),
          message.questions);
  return message;
}

void AgentCore::State::SendMessage(const PeerAddress& to,
                                   schema::PeerMessageT message) {
  std::string bytes = PackTable<schema::PeerMessage>(message);
  while (bytes.size() > kMaxDatagramBytes && Shorten(message)) {
    bytes = PackTable<schema::PeerMessage>(message);
  }
  if (bytes.size() > kMaxDatagramBytes) {
    this->out.push_back(SendFrame{to, std::move(bytes)});
    return;
  }
  this->out.push_back(SendDatagram{to, std::move(bytes)});
}

void AgentCore::State::SendWhole(const PeerAddress& to,
                                 const schema::PeerMessageT& message) {
  this->out.push_back(SendFrame{to, PackTable<schema::PeerMessage>(message)});
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
      this->SendWhole(item.to, message);
    } else {
      this->SendMessage(item.to, std::move(message));
    }
  }
}

// Tells a few random peers at once; they do the same when it is news to them.
void AgentCore::State::PushNews(TimePoint now) {
  if (!this->news || now < this->next_push) {
    return;
  }
  this->news = false;
  this->next_push = now + kPushGap;
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
      this->membership.OnHeard(*update, now);
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
  this->sync.OnPeerHead(from, message.head ? *message.head : none, now);
  this->OnPayload(message, now);
}

void AgentCore::State::OnPayload(const schema::PeerMessageT& message,
                                 TimePoint now) {
  const PeerAddress from(message.from_address);
  const auto& payload = message.payload;
  MembershipMessages replies;
  std::optional<TimePoint> asked;
  if (const auto* ping = payload.AsPing()) {
    replies = this->membership.OnPing(from, *ping);
  } else if (const auto* ack = payload.AsAck()) {
    asked = this->membership.OnAck(*ack, replies, now);
  } else if (const auto* request = payload.AsPingRequest()) {
    replies = this->membership.OnPingRequest(from, *request, now);
  } else if (const auto* wanted = payload.AsObjectRequest()) {
    this->AnswerObjectRequest(from, ObjectHash(wanted->hash), now);
  } else if (const auto* object = payload.AsObjectReply()) {
    this->sync.OnPeerObject(*object, now);
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
    this->planner.OnNotice(notice->plan, now, this->out);
  } else if (const auto* list_request = payload.AsListRequest()) {
    this->AnswerListRequest(from, list_request->name, now);
  } else if (const auto* list = payload.AsListReply()) {
    this->OnListUpdated(this->discovery.OnPeerList(*list, now), now);
  }
  // Only an answer says how old the sender's knowledge of a grant is.
  for (const auto& grant : message.grants) {
    if (grant) {
      this->ejection.OnNotice(*grant, asked, now);
    }
  }
  this->SendMembership(replies, now);
}

void AgentCore::State::AnswerObjectRequest(const PeerAddress& from,
                                           const ObjectHash& hash,
                                           TimePoint now) {
  const std::string* body = this->sync.FindObject(hash);
  if (body == nullptr) {
    return;
  }
  schema::ObjectReplyT reply;
  reply.hash = hash.Value();
  reply.body.assign(body->begin(), body->end());
  schema::PeerMessageT message = this->MakeMessage(from, now);
  message.payload.Set(std::move(reply));
  this->SendWhole(from, message);
}

void AgentCore::State::AnswerMemberSync(const PeerAddress& from,
                                        TimePoint now) {
  schema::PeerMessageT message = this->MakeMessage(from, now);
  MoveAll(this->membership.AllUpdates(), message.updates);
  message.payload.Set(schema::MemberSyncT());
  this->SendWhole(from, message);
}

void AgentCore::State::AskForMissingLists(TimePoint now) {
  for (const std::string& name : this->discovery.TakeMissing()) {
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
  this->SendWhole(from, message);
}

}  // namespace acacia
