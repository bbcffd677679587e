#include "src/caller_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <mutex>
#include <utility>
#include <vector>

#include "src/caller_session.h"
#include "src/listener.h"
#include "src/log_event.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// TCP_USER_TIMEOUT: unacknowledged bytes to a caller end the connection after
// this time.
constexpr Duration kCallerUserTimeout = std::chrono::seconds(60);
constexpr std::chrono::milliseconds kAcceptRetryDelay{10};
// Ended sessions are removed from the list whenever it has grown by this many.
constexpr std::size_t kSessionsPerCleanup = 256;

}  // namespace

struct CallerServer::State : std::enable_shared_from_this<State> {
  State(const net::any_io_executor& executor, EntryContext& context)
      : executor(executor),
        acceptor(net::make_strand(executor)),
        context(context) {}

  net::awaitable<void> Accept();
  void StartSession(Tcp::socket socket);
  void ForEach(void (CallerSession::*action)());

  net::any_io_executor executor;
  Tcp::acceptor acceptor;
  EntryContext& context;
  std::mutex mutex;
  std::vector<std::weak_ptr<CallerSession>> sessions;
  std::size_t next_cleanup_size = kSessionsPerCleanup;
};

net::awaitable<void> CallerServer::State::Accept() {
  while (this->acceptor.is_open()) {
    auto [error, socket] =
        co_await this->acceptor.async_accept(this->executor, kAwait);
    if (!this->acceptor.is_open()) {
      co_return;
    }
    if (error) {
      // For example, the process is out of file descriptors: wait until some
      // have been closed.
      net::steady_timer pause(this->acceptor.get_executor(), kAcceptRetryDelay);
      co_await pause.async_wait(kAwait);
      continue;
    }
    this->StartSession(std::move(socket));
  }
}

void CallerServer::State::StartSession(Tcp::socket socket) {
  if (this->context.connections.load() >=
      this->context.settings.max_caller_connections) {
    this->context.metrics.refused_connections->Increment();
    return;
  }
  SetStreamOptions(socket, kCallerUserTimeout);
  const SessionStrand strand = net::make_strand(this->executor);
  auto session =
      std::make_shared<CallerSession>(this->context, std::move(socket), strand);
  session->Start();
  const std::lock_guard lock(this->mutex);
  if (this->sessions.size() >= this->next_cleanup_size) {
    std::erase_if(this->sessions,
                  [](const auto& weak) { return weak.expired(); });
    this->next_cleanup_size = this->sessions.size() + kSessionsPerCleanup;
  }
  this->sessions.push_back(session);
}

CallerServer::CallerServer(const net::any_io_executor& executor,
                           EntryContext& context)
    : state(std::make_shared<State>(executor, context)) {}

CallerServer::~CallerServer() {
  this->StopAccepting();
}

tl::expected<void, std::string> CallerServer::Listen(
    const std::string& address) {
  Tcp::acceptor& acceptor = this->state->acceptor;
  auto opened = OpenListener(acceptor, address);
  if (!opened) {
    return opened;
  }
  net::co_spawn(acceptor.get_executor(), this->state->Accept(),
                [shared_state = this->state](const std::exception_ptr&) {});
  return {};
}

std::uint16_t CallerServer::Port() const {
  return this->state->acceptor.local_endpoint().port();
}

void CallerServer::StopAccepting() {
  net::post(this->state->acceptor.get_executor(), [shared_state = this->state] {
    boost::system::error_code ignored;
    shared_state->acceptor.close(ignored);
  });
}

void CallerServer::State::ForEach(void (CallerSession::*action)()) {
  std::vector<std::weak_ptr<CallerSession>> open;
  {
    const std::lock_guard lock(this->mutex);
    open = this->sessions;
  }
  for (const auto& weak : open) {
    if (const auto session = weak.lock()) {
      (session.get()->*action)();
    }
  }
}

void CallerServer::CloseIdle() {
  this->state->ForEach(&CallerSession::CloseIfIdle);
}

void CallerServer::EndAdmission() {
  this->state->ForEach(&CallerSession::EndAdmission);
}

void CallerServer::EndRequests() {
  this->state->ForEach(&CallerSession::EndRequests);
}

void CallerServer::CloseAll() {
  this->state->ForEach(&CallerSession::CloseNow);
}

}  // namespace acacia
