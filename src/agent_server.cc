#include "src/agent_server.h"

#include <boost/asio.hpp>
#include <optional>
#include <utility>

#include "src/agent_core.h"
#include "src/agent_metrics.h"
#include "src/entry_link_server.h"
#include "src/log_event.h"
#include "src/operator_server.h"
#include "src/peer_transport.h"
#include "src/platform_client.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// How long a stopping agent waits for the entry to reconnect.
constexpr std::chrono::seconds kEntryReconnectGrace{1};

}  // namespace

struct AgentServer::State : std::enable_shared_from_this<State> {
  State(const net::any_io_executor& executor,
        schema::AgentSettingsT settings,
        const Clock& clock)
      : executor(executor),
        settings(std::move(settings)),
        clock(clock),
        platform(this->settings.platform_address, clock),
        timer(executor) {}

  tl::expected<void, std::string> Open();
  void MakeCore();
  OperatorHandlers MakeOperatorHandlers();
  EntryLinkHandlers MakeEntryHandlers();
  net::awaitable<void> RunTicks();
  void FinishStopWhenDone();
  void Close();

  void Perform(AgentActions actions);
  // Starts a platform operation as a coroutine of its own. The operation's
  // `self` keeps the state alive.
  void SpawnOperation(net::awaitable<void> operation);
  net::awaitable<void> RunOperation(std::shared_ptr<State> self,
                                    ReadRow action);
  net::awaitable<void> RunOperation(std::shared_ptr<State> self,
                                    WriteRow action);
  net::awaitable<void> RunOperation(std::shared_ptr<State> self,
                                    ReadObject action);
  net::awaitable<void> RunOperation(std::shared_ptr<State> self,
                                    WriteObject action);
  net::awaitable<void> RunOperation(std::shared_ptr<State> self,
                                    ReadInstanceList action);

  net::any_io_executor executor;
  schema::AgentSettingsT settings;
  const Clock& clock;
  AgentMetrics metrics;
  PlatformClient platform;
  std::unique_ptr<PeerTransport> peer_transport;
  std::unique_ptr<EntryLinkServer> entry_link;
  std::unique_ptr<OperatorServer> operator_server;
  std::unique_ptr<AgentCore> core;
  net::steady_timer timer;
  bool closed = false;
  bool entry_stopped = false;
  TimePoint last_entry_connected{};
  std::function<void()> on_finished;
};

tl::expected<void, std::string> AgentServer::State::Open() {
  this->peer_transport = std::make_unique<PeerTransport>(
      this->executor,
      [this](const PeerAddress& from, const std::string& bytes) {
        this->Perform(this->core->OnPeerBytes(from, bytes, this->clock.Now()));
      });
  auto opened = this->peer_transport->Listen(this->settings.peer_listen,
                                             this->settings.peer_advertise);
  if (!opened) {
    return opened;
  }
  this->MakeCore();
  this->entry_link = std::make_unique<EntryLinkServer>(
      this->executor, this->MakeEntryHandlers());
  opened = this->entry_link->Listen(this->settings.entry_listen);
  if (!opened) {
    return opened;
  }
  this->operator_server = std::make_unique<OperatorServer>(
      this->executor, this->settings.operator_token,
      this->MakeOperatorHandlers());
  return this->operator_server->Listen(this->settings.operator_listen);
}

void AgentServer::State::MakeCore() {
  AgentIdentity identity;
  identity.instance = InstanceId(this->settings.instance);
  identity.incarnation =
      Incarnation(static_cast<std::uint64_t>(this->clock.UnixNow().count()));
  identity.failure_domain = FailureDomain(this->settings.failure_domain);
  identity.region = this->settings.region;
  identity.peer_address = this->peer_transport->Address();
  identity.caller_address = this->settings.caller_advertise;
  for (const std::string& seed : this->settings.seed_peers) {
    identity.seeds.emplace_back(seed);
  }
  identity.answer_lifetime =
      std::chrono::milliseconds(this->settings.answer_lifetime_ms);
  const std::uint64_t seed =
      this->settings.seed != 0 ? this->settings.seed : DrawSeed();
  this->core = std::make_unique<AgentCore>(std::move(identity), this->clock,
                                           std::make_unique<SeededRandom>(seed),
                                           this->clock.Now());
}

EntryLinkHandlers AgentServer::State::MakeEntryHandlers() {
  EntryLinkHandlers handlers;
  handlers.on_connected = [this] {
    this->Perform(this->core->OnEntryConnected(this->clock.Now()));
  };
  handlers.on_report = [this](const schema::EntryReportT& report) {
    this->entry_stopped = this->entry_stopped || report.stopped;
    this->Perform(this->core->OnEntryReport(report, this->clock.Now()));
    this->FinishStopWhenDone();
  };
  handlers.on_key_claim = [this](const schema::KeyClaimT& claim) {
    this->Perform(this->core->OnKeyClaim(claim, this->clock.Now()));
  };
  return handlers;
}

OperatorHandlers AgentServer::State::MakeOperatorHandlers() {
  OperatorHandlers handlers;
  handlers["/metrics"] = [this](const TargetParts&) {
    this->metrics.Refresh(
        {this->core->CurrentGeneration(), this->core->IsReady(),
         this->entry_link->IsConnected(), this->entry_link->MalformedFrames()},
        this->peer_transport->Counters());
    return MetricsReply(this->metrics.Registry());
  };
  handlers["/ready"] = [this](const TargetParts&) {
    return ReadyReply(this->core->IsReady());
  };
  handlers["/status"] = [this](const TargetParts&) {
    return StringArrayReply(this->core->Status(this->clock.Now()));
  };
  handlers["/explain"] = [this](const TargetParts& target) {
    const ServiceName service(target.Parameter("service"));
    return StringArrayReply(this->core->Explain(service, this->clock.Now()));
  };
  return handlers;
}

net::awaitable<void> AgentServer::State::RunTicks() {
  const std::chrono::milliseconds tick(this->settings.tick_ms);
  this->timer.expires_after(std::chrono::milliseconds(0));
  while (!this->closed) {
    co_await this->timer.async_wait(kAwait);
    if (this->closed) {
      co_return;
    }
    this->Perform(this->core->OnTick(this->clock.Now()));
    this->FinishStopWhenDone();
    this->timer.expires_after(tick);
  }
}

void AgentServer::State::FinishStopWhenDone() {
  const TimePoint now = this->clock.Now();
  if (this->entry_link->IsConnected()) {
    this->last_entry_connected = now;
  }
  const bool entry_absent =
      now - this->last_entry_connected >= kEntryReconnectGrace;
  if (this->on_finished && (this->entry_stopped || entry_absent)) {
    const auto finished = std::exchange(this->on_finished, nullptr);
    finished();
  }
}

void AgentServer::State::Close() {
  this->closed = true;
  this->timer.cancel();
  if (this->peer_transport) {
    this->peer_transport->Stop();
  }
  if (this->entry_link) {
    this->entry_link->Stop();
  }
  if (this->operator_server) {
    this->operator_server->Stop();
  }
}

void AgentServer::State::Perform(AgentActions actions) {
  const auto self = this->shared_from_this();
  for (AgentAction& action : actions) {
    if (auto* datagram = std::get_if<SendDatagram>(&action)) {
      this->peer_transport->SendDatagram(datagram->to,
                                         std::move(datagram->bytes));
    } else if (auto* frame = std::get_if<SendFrame>(&action)) {
      this->peer_transport->SendFrame(frame->to, std::move(frame->bytes));
    } else if (auto* set = std::get_if<PublishConfiguration>(&action)) {
      this->entry_link->SendConfiguration(set->generation.Value(),
                                          *set->file_set);
    } else if (auto* fleet = std::get_if<PublishFleet>(&action)) {
      this->entry_link->SendFleet(*fleet->update);
    } else if (auto* answer = std::get_if<AnswerKeyClaim>(&action)) {
      this->entry_link->SendKeyClaimReply(answer->reply);
    } else if (auto* read_row = std::get_if<ReadRow>(&action)) {
      this->SpawnOperation(this->RunOperation(self, std::move(*read_row)));
    } else if (auto* write_row = std::get_if<WriteRow>(&action)) {
      this->SpawnOperation(this->RunOperation(self, std::move(*write_row)));
    } else if (auto* read_object = std::get_if<ReadObject>(&action)) {
      this->SpawnOperation(this->RunOperation(self, std::move(*read_object)));
    } else if (auto* write_object = std::get_if<WriteObject>(&action)) {
      this->SpawnOperation(this->RunOperation(self, std::move(*write_object)));
    } else if (auto* list = std::get_if<ReadInstanceList>(&action)) {
      this->SpawnOperation(this->RunOperation(self, std::move(*list)));
    }
  }
}

void AgentServer::State::SpawnOperation(net::awaitable<void> operation) {
  net::co_spawn(this->executor, std::move(operation), net::detached);
}

net::awaitable<void> AgentServer::State::RunOperation(
    std::shared_ptr<State> self,
    ReadRow action) {
  const RowResult result = co_await self->platform.ReadRow(action.key);
  if (!self->closed) {
    self->Perform(
        self->core->OnRowRead(action.operation, result, self->clock.Now()));
  }
}

net::awaitable<void> AgentServer::State::RunOperation(
    std::shared_ptr<State> self,
    WriteRow action) {
  const WriteResult result = co_await self->platform.WriteRow(
      action.key, action.expected, std::move(action.value));
  if (!self->closed) {
    self->Perform(
        self->core->OnRowWritten(action.operation, result, self->clock.Now()));
  }
}

net::awaitable<void> AgentServer::State::RunOperation(
    std::shared_ptr<State> self,
    ReadObject action) {
  const ObjectResult result = co_await self->platform.ReadObject(action.hash);
  if (!self->closed) {
    self->Perform(
        self->core->OnObjectRead(action.operation, result, self->clock.Now()));
  }
}

// Objects are named by the hash of their content, so writing one again is
// harmless and AgentCore does not wait for the result.
net::awaitable<void> AgentServer::State::RunOperation(
    std::shared_ptr<State> self,
    WriteObject action) {
  const ObjectWriteResult result =
      co_await self->platform.WriteObject(action.hash, std::move(action.body));
  if (!result) {
    LogEvent("object_write_failed", LogSeverity::kWarning)
        .With("hash", action.hash);
  }
}

net::awaitable<void> AgentServer::State::RunOperation(
    std::shared_ptr<State> self,
    ReadInstanceList action) {
  const InstanceListResult result =
      co_await self->platform.ReadInstanceList(action.service);
  if (!self->closed) {
    self->Perform(self->core->OnInstanceList(action.operation, result,
                                             self->clock.Now()));
  }
}

AgentServer::AgentServer(const net::any_io_executor& executor,
                         schema::AgentSettingsT settings,
                         const Clock& clock)
    : state(std::make_shared<State>(executor, std::move(settings), clock)) {
  State* raw_state = this->state.get();
  raw_state->platform.SetObserver(
      [raw_state](const PlatformRequestReport& report) {
        raw_state->metrics.CountPlatformRequest(report);
      });
}

AgentServer::~AgentServer() {
  this->state->Close();
}

tl::expected<void, std::string> AgentServer::Start() {
  const auto opened = this->state->Open();
  if (!opened) {
    return opened;
  }
  net::co_spawn(
      this->state->executor,
      [](std::shared_ptr<State> state) -> net::awaitable<void> {
        co_await state->RunTicks();
      }(this->state),
      net::detached);
  return {};
}

void AgentServer::RequestStop(std::function<void()> on_finished) {
  State& state = *this->state;
  state.on_finished = std::move(on_finished);
  state.last_entry_connected = state.clock.Now();
  state.Perform(state.core->OnStopRequested(state.clock.Now()));
}

bool AgentServer::IsReady() const {
  return this->state->core->IsReady();
}

Generation AgentServer::CurrentGeneration() const {
  return this->state->core->CurrentGeneration();
}

std::uint16_t AgentServer::EntryPort() const {
  return this->state->entry_link->Port();
}

std::uint16_t AgentServer::OperatorPort() const {
  return this->state->operator_server->Port();
}

PeerAddress AgentServer::PeerListenAddress() const {
  return this->state->peer_transport->Address();
}

}  // namespace acacia
