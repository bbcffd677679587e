#include "src/entry_link.h"

#include <boost/asio.hpp>
#include <deque>
#include <map>
#include <utility>

#include "src/framed_stream.h"
#include "src/log_event.h"
#include "src/random_source.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::chrono::milliseconds kReportInterval{500};
constexpr std::chrono::milliseconds kMinReconnectDelay{100};
constexpr std::uint64_t kMaxReconnectJitterMs = 400;
constexpr std::chrono::seconds kKeyClaimTimeout{2};

template <typename Payload>
std::string Pack(Payload payload) {
  schema::EntryToAgentT message;
  message.payload.Set(std::move(payload));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(schema::EntryToAgent::Pack(builder, &message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

// Returns null when the bytes are not a valid message.
std::unique_ptr<schema::AgentToEntryT> Unpack(const std::string& bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<schema::AgentToEntry>(nullptr)) {
    return nullptr;
  }
  return std::unique_ptr<schema::AgentToEntryT>(
      flatbuffers::GetRoot<schema::AgentToEntry>(data)->UnPack());
}

}  // namespace

struct EntryLink::State : std::enable_shared_from_this<State> {
  State(const net::any_io_executor& executor,
        std::string agent_address,
        std::uint64_t seed,
        EntryLinkHooks hooks)
      : strand(net::make_strand(executor)),
        agent_address(std::move(agent_address)),
        random(seed),
        hooks(std::move(hooks)),
        reconnect_timer(strand),
        report_timer(strand) {}

  struct PendingClaim {
    std::unique_ptr<net::steady_timer> timer;
    KeyClaimDone done;
  };

  // Connects, receives frames and reconnects until the link is stopped.
  net::awaitable<void> Run();
  net::awaitable<bool> Connect();
  net::awaitable<void> ReceiveFrames();
  net::awaitable<void> SendReports();
  net::awaitable<void> WriteQueuedFrames();
  void Enqueue(std::string bytes);
  void HandleFrame(const std::string& bytes);
  void CompleteClaim(const schema::KeyClaimReplyT& reply);
  void FailPendingClaims();

  net::strand<net::any_io_executor> strand;
  std::string agent_address;
  SeededRandom random;
  EntryLinkHooks hooks;
  net::steady_timer reconnect_timer;
  net::steady_timer report_timer;
  std::unique_ptr<Tcp::socket> socket;
  bool connected = false;
  bool writing = false;
  bool stopped = false;
  std::deque<std::string> write_queue;
  std::map<std::uint64_t, PendingClaim> pending_claims;
};

net::awaitable<void> EntryLink::State::Run() {
  while (!this->stopped) {
    if (co_await this->Connect()) {
      this->connected = true;
      this->hooks.on_connected(true);
      this->report_timer.cancel();
      co_await this->ReceiveFrames();
      this->connected = false;
      this->write_queue.clear();
      this->FailPendingClaims();
      this->hooks.on_connected(false);
    }
    if (this->stopped) {
      co_return;
    }
    const std::chrono::milliseconds jitter(
        this->random.Below(kMaxReconnectJitterMs));
    this->reconnect_timer.expires_after(kMinReconnectDelay + jitter);
    co_await this->reconnect_timer.async_wait(kAwait);
  }
}

net::awaitable<bool> EntryLink::State::Connect() {
  const auto address = ParseSocketAddress(this->agent_address);
  if (!address) {
    co_return false;
  }
  while (this->writing) {
    co_await net::post(this->strand, net::use_awaitable);
  }
  this->socket = std::make_unique<Tcp::socket>(this->strand);
  const Tcp::endpoint endpoint(address->address, address->port);
  const auto [error] = co_await this->socket->async_connect(endpoint, kAwait);
  if (!error) {
    boost::system::error_code ignored;
    this->socket->set_option(Tcp::no_delay(true), ignored);
  }
  co_return !error && !this->stopped;
}

net::awaitable<void> EntryLink::State::ReceiveFrames() {
  for (;;) {
    const auto frame = co_await ReadFrame(*this->socket);
    if (!frame || this->stopped) {
      break;
    }
    this->HandleFrame(*frame);
  }
  boost::system::error_code ignored;
  this->socket->close(ignored);
}

void EntryLink::State::HandleFrame(const std::string& bytes) {
  const auto message = Unpack(bytes);
  if (!message) {
    LogEvent("bad_agent_message", LogSeverity::kError)
        .With("bytes", bytes.size());
    boost::system::error_code ignored;
    this->socket->close(ignored);
    return;
  }
  using schema::AgentToEntryPayload;
  auto& payload = message->payload;
  switch (payload.type) {
    case AgentToEntryPayload::ConfigurationUpdate:
      this->hooks.on_configuration(
          std::make_unique<schema::ConfigurationUpdateT>(
              std::move(*payload.AsConfigurationUpdate())));
      break;
    case AgentToEntryPayload::FleetUpdate:
      this->hooks.on_fleet(std::make_unique<schema::FleetUpdateT>(
          std::move(*payload.AsFleetUpdate())));
      break;
    case AgentToEntryPayload::KeyClaimReply:
      this->CompleteClaim(*payload.AsKeyClaimReply());
      break;
    case AgentToEntryPayload::NONE:
      break;
  }
}

net::awaitable<void> EntryLink::State::SendReports() {
  while (!this->stopped) {
    if (this->connected) {
      this->Enqueue(Pack(this->hooks.make_report()));
    }
    this->report_timer.expires_after(kReportInterval);
    co_await this->report_timer.async_wait(kAwait);
  }
}

void EntryLink::State::Enqueue(std::string bytes) {
  this->write_queue.push_back(std::move(bytes));
  if (!this->writing) {
    this->writing = true;
    net::co_spawn(this->strand, this->WriteQueuedFrames(),
                  [self = this->shared_from_this()](const std::exception_ptr&) {
                    self->writing = false;
                  });
  }
}

net::awaitable<void> EntryLink::State::WriteQueuedFrames() {
  while (this->connected && !this->write_queue.empty()) {
    std::string bytes = std::move(this->write_queue.front());
    this->write_queue.pop_front();
    if (!co_await WriteFrame(*this->socket, std::move(bytes))) {
      boost::system::error_code ignored;
      this->socket->close(ignored);
      co_return;
    }
  }
}

void EntryLink::State::CompleteClaim(const schema::KeyClaimReplyT& reply) {
  const auto found = this->pending_claims.find(reply.request);
  if (found == this->pending_claims.end()) {
    return;
  }
  const KeyClaimDone done = std::move(found->second.done);
  this->pending_claims.erase(found);
  done(reply);
}

void EntryLink::State::FailPendingClaims() {
  while (!this->pending_claims.empty()) {
    schema::KeyClaimReplyT unknown;
    unknown.request = this->pending_claims.begin()->first;
    this->CompleteClaim(unknown);
  }
}

EntryLink::EntryLink(const net::any_io_executor& executor,
                     std::string agent_address,
                     std::uint64_t seed,
                     EntryLinkHooks hooks)
    : state(std::make_shared<State>(executor,
                                    std::move(agent_address),
                                    seed,
                                    std::move(hooks))) {}

EntryLink::~EntryLink() {
  this->Stop();
}

void EntryLink::Start() {
  const auto keep_alive = [state = this->state](const std::exception_ptr&) {};
  net::co_spawn(this->state->strand, this->state->Run(), keep_alive);
  net::co_spawn(this->state->strand, this->state->SendReports(), keep_alive);
}

void EntryLink::ReportSoon() {
  net::post(this->state->strand,
            [state = this->state] { state->report_timer.cancel(); });
}

void EntryLink::ClaimKey(schema::KeyClaimT claim, KeyClaimDone done) {
  net::post(this->state->strand, [state = this->state, claim = std::move(claim),
                                  done = std::move(done)]() mutable {
    const std::uint64_t request = claim.request;
    schema::KeyClaimReplyT unknown;
    unknown.request = request;
    if (!state->connected) {
      done(unknown);
      return;
    }
    auto timer =
        std::make_unique<net::steady_timer>(state->strand, kKeyClaimTimeout);
    timer->async_wait([state, unknown](const boost::system::error_code& error) {
      if (!error) {
        state->CompleteClaim(unknown);
      }
    });
    state->pending_claims[request] = {std::move(timer), std::move(done)};
    state->Enqueue(Pack(std::move(claim)));
  });
}

void EntryLink::Stop() {
  net::post(this->state->strand, [state = this->state] {
    state->stopped = true;
    state->reconnect_timer.cancel();
    state->report_timer.cancel();
    boost::system::error_code ignored;
    if (state->socket) {
      state->socket->close(ignored);
    }
  });
}

}  // namespace acacia
