#include "src/entry_link_server.h"

#include <boost/asio.hpp>
#include <deque>
#include <optional>
#include <utility>

#include "src/framed_stream.h"
#include "src/log_event.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::size_t kMaxQueuedReplies = 10000;
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

// Encodes an AgentToEntry message whose payload `create` builds.
template <typename Create>
std::string Encode(schema::AgentToEntryPayload type, Create create) {
  flatbuffers::FlatBufferBuilder builder;
  const auto payload = create(builder).Union();
  builder.Finish(schema::CreateAgentToEntry(builder, type, payload));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

// The connection to one entry, with the frames that wait to be sent.
struct EntryConnection {
  explicit EntryConnection(Tcp::socket socket)
      : socket(std::move(socket)), wake(this->socket.get_executor()) {}

  void Close() {
    ErrorCode ignored;
    this->socket.close(ignored);
    this->closed = true;
    this->wake.cancel();
  }

  // Returns the next frame to send; empty when none waits.
  std::string TakeNextFrame() {
    std::string bytes;
    if (this->configuration) {
      bytes = *std::exchange(this->configuration, std::nullopt);
    } else if (this->fleet) {
      bytes = *std::exchange(this->fleet, std::nullopt);
    } else if (!this->replies.empty()) {
      bytes = std::move(this->replies.front());
      this->replies.pop_front();
    }
    return bytes;
  }

  Tcp::socket socket;
  // Cancelled to wake the sender when a frame is queued.
  net::steady_timer wake;
  std::optional<std::string> configuration;
  std::optional<std::string> fleet;
  std::deque<std::string> replies;
  bool closed = false;
};

}  // namespace

struct EntryLinkServer::State : std::enable_shared_from_this<State> {
  State(const net::any_io_executor& executor, EntryLinkHandlers handlers)
      : handlers(std::move(handlers)), acceptor(executor) {}

  net::awaitable<void> Accept();
  // Closes the current connection, if any, and serves `socket` instead.
  void ReplaceConnection(Tcp::socket socket);
  net::awaitable<void> ReceiveFrames(
      std::shared_ptr<EntryConnection> connection);
  net::awaitable<void> SendQueuedFrames(
      std::shared_ptr<EntryConnection> connection);
  bool Dispatch(const std::string& bytes);
  void CloseConnection(const std::shared_ptr<EntryConnection>& connection);

  EntryLinkHandlers handlers;
  Tcp::acceptor acceptor;
  bool stopped = false;
  std::shared_ptr<EntryConnection> current;
  std::uint64_t malformed_frames = 0;
};

net::awaitable<void> EntryLinkServer::State::Accept() {
  while (!this->stopped) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (this->stopped || error == net::error::operation_aborted) {
      co_return;
    }
    if (error) {
      net::steady_timer retry_timer(this->acceptor.get_executor(),
                                    kAcceptRetryDelay);
      co_await retry_timer.async_wait(kAwait);
      continue;
    }
    this->ReplaceConnection(std::move(socket));
  }
}

void EntryLinkServer::State::ReplaceConnection(Tcp::socket socket) {
  if (this->current) {
    this->current->Close();
  }
  ErrorCode ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<EntryConnection>(std::move(socket));
  this->current = connection;
  const auto self = this->shared_from_this();
  const auto executor = this->acceptor.get_executor();
  net::co_spawn(
      executor,
      [](std::shared_ptr<State> state,
         std::shared_ptr<EntryConnection> connection) -> net::awaitable<void> {
        co_await state->ReceiveFrames(connection);
        state->CloseConnection(connection);
      }(self, connection),
      net::detached);
  net::co_spawn(
      executor,
      [](std::shared_ptr<State> state,
         std::shared_ptr<EntryConnection> connection) -> net::awaitable<void> {
        co_await state->SendQueuedFrames(connection);
        state->CloseConnection(connection);
      }(self, connection),
      net::detached);
  LogEvent("entry_link").With("connected", true);
  this->handlers.on_connected();
}

void EntryLinkServer::State::CloseConnection(
    const std::shared_ptr<EntryConnection>& connection) {
  connection->Close();
  if (this->current == connection) {
    this->current.reset();
    LogEvent("entry_link").With("connected", false);
  }
}

net::awaitable<void> EntryLinkServer::State::ReceiveFrames(
    std::shared_ptr<EntryConnection> connection) {
  for (;;) {
    const auto frame = co_await ReadFrame(connection->socket);
    if (!frame && frame.error() == FrameError::kTooLarge) {
      ++this->malformed_frames;
    }
    if (!frame || connection->closed || this->stopped) {
      co_return;
    }
    if (!this->Dispatch(*frame)) {
      ++this->malformed_frames;
      LogEvent("entry_frame_malformed", LogSeverity::kWarning)
          .With("bytes", frame->size());
      co_return;
    }
  }
}

// Returns false when the bytes are not a valid EntryToAgent buffer.
bool EntryLinkServer::State::Dispatch(const std::string& bytes) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!verifier.VerifyBuffer<schema::EntryToAgent>(nullptr)) {
    return false;
  }
  const auto* message =
      flatbuffers::GetRoot<schema::EntryToAgent>(bytes.data());
  if (const auto* report = message->payload_as_EntryReport()) {
    schema::EntryReportT unpacked;
    report->UnPackTo(&unpacked);
    this->handlers.on_report(unpacked);
    return true;
  }
  if (const auto* claim = message->payload_as_KeyClaim()) {
    schema::KeyClaimT unpacked;
    claim->UnPackTo(&unpacked);
    this->handlers.on_key_claim(unpacked);
    return true;
  }
  return false;
}

net::awaitable<void> EntryLinkServer::State::SendQueuedFrames(
    std::shared_ptr<EntryConnection> connection) {
  while (!connection->closed && !this->stopped) {
    std::string bytes = connection->TakeNextFrame();
    if (bytes.empty()) {
      connection->wake.expires_at(net::steady_timer::time_point::max());
      co_await connection->wake.async_wait(kAwait);
      continue;
    }
    const auto written =
        co_await WriteFrame(connection->socket, std::move(bytes));
    if (!written) {
      co_return;
    }
  }
}

EntryLinkServer::EntryLinkServer(const net::any_io_executor& executor,
                                 EntryLinkHandlers handlers)
    : state(std::make_shared<State>(executor, std::move(handlers))) {}

EntryLinkServer::~EntryLinkServer() {
  this->Stop();
}

tl::expected<void, std::string> EntryLinkServer::Listen(
    const std::string& address) {
  const auto endpoint = ParseSocketAddress(address);
  if (!endpoint) {
    return tl::unexpected("\"" + address + "\" is not an address");
  }
  const Tcp::endpoint local(endpoint->address, endpoint->port);
  ErrorCode error;
  Tcp::acceptor& acceptor = this->state->acceptor;
  if (acceptor.open(local.protocol(), error) ||
      acceptor.set_option(Tcp::acceptor::reuse_address(true), error) ||
      acceptor.bind(local, error) ||
      acceptor.listen(Tcp::acceptor::max_listen_connections, error)) {
    return tl::unexpected("entry link " + address + ": " + error.message());
  }
  net::co_spawn(
      acceptor.get_executor(),
      [](std::shared_ptr<State> state) -> net::awaitable<void> {
        co_await state->Accept();
      }(this->state),
      net::detached);
  return {};
}

std::uint16_t EntryLinkServer::Port() const {
  return this->state->acceptor.local_endpoint().port();
}

void EntryLinkServer::Stop() {
  this->state->stopped = true;
  ErrorCode ignored;
  this->state->acceptor.close(ignored);
  if (this->state->current) {
    this->state->current->Close();
  }
}

bool EntryLinkServer::IsConnected() const {
  return this->state->current != nullptr;
}

std::uint64_t EntryLinkServer::MalformedFrames() const {
  return this->state->malformed_frames;
}

void EntryLinkServer::SendConfiguration(std::uint64_t generation,
                                        const schema::FileSetT& file_set) {
  if (!this->state->current) {
    return;
  }
  EntryConnection& connection = *this->state->current;
  connection.configuration = Encode(
      schema::AgentToEntryPayload::ConfigurationUpdate,
      [&](flatbuffers::FlatBufferBuilder& builder) {
        const auto set = schema::CreateFileSet(builder, &file_set);
        return schema::CreateConfigurationUpdate(builder, generation, set);
      });
  connection.wake.cancel();
}

void EntryLinkServer::SendFleet(const schema::FleetUpdateT& update) {
  if (!this->state->current) {
    return;
  }
  EntryConnection& connection = *this->state->current;
  connection.fleet =
      Encode(schema::AgentToEntryPayload::FleetUpdate,
             [&](flatbuffers::FlatBufferBuilder& builder) {
               return schema::CreateFleetUpdate(builder, &update);
             });
  connection.wake.cancel();
}

void EntryLinkServer::SendKeyClaimReply(const schema::KeyClaimReplyT& reply) {
  if (!this->state->current ||
      this->state->current->replies.size() >= kMaxQueuedReplies) {
    return;
  }
  EntryConnection& connection = *this->state->current;
  connection.replies.push_back(
      Encode(schema::AgentToEntryPayload::KeyClaimReply,
             [&](flatbuffers::FlatBufferBuilder& builder) {
               return schema::CreateKeyClaimReply(builder, &reply);
             }));
  connection.wake.cancel();
}

}  // namespace acacia
