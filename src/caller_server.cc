#include "src/caller_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <mutex>
#include <tuple>
#include <utility>
#include <vector>

#include "src/caller_session.h"
#include "src/keep_running.h"
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
// Ended sessions are removed from the list whenever it has grown by this many.
constexpr std::size_t kSessionsPerCleanup = 256;
// At the limit, this part of the connections is closed if it is idle, and as
// many may be open beyond the limit until these are closed.
constexpr std::size_t kEvictionDivisor = 32;

}  // namespace

struct CallerServer::State : std::enable_shared_from_this<State> {
  State(const net::any_io_executor& executor, EntryContext& context)
      : executor(executor),
        acceptor(net::make_strand(executor)),
        context(context) {}

  net::awaitable<void> Accept();
  void StartSession(Tcp::socket socket);
  bool MakeRoom();
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
      co_await AwaitAcceptRetry();
      continue;
    }
    this->StartSession(std::move(socket));
  }
}

void CallerServer::State::StartSession(Tcp::socket socket) {
  if (!this->MakeRoom()) {
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

// Closes idle connections if there are too many: first those that were never
// used, then those that have been idle for longest. Returns false if there is
// no room for another one.
bool CallerServer::State::MakeRoom() {
  const std::size_t limit = this->context.connection_limits.callers;
  const std::size_t open = this->context.connections.load();
  if (open < limit) {
    return true;
  }
  const std::size_t batch = std::max<std::size_t>(limit / kEvictionDivisor, 1);
  struct Candidate {
    bool was_used;
    TimePoint idle_since;
    std::shared_ptr<CallerSession> session;
  };
  std::vector<Candidate> idle;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& weak : this->sessions) {
      auto session = weak.lock();
      if (session && session->IdleSince() < TimePoint::max()) {
        idle.push_back({session->WasUsed(), session->IdleSince(), session});
      }
    }
  }
  const std::size_t count = std::min(batch, idle.size());
  std::nth_element(
      idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count),
      idle.end(), [](const Candidate& one, const Candidate& other) {
        return std::tie(one.was_used, one.idle_since) <
               std::tie(other.was_used, other.idle_since);
      });
  for (std::size_t i = 0; i < count; ++i) {
    idle[i].session->CloseForAnother();
  }
  return count > 0 && open < limit + batch;
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
  SpawnLoop(acceptor.get_executor(), "accept_callers",
            [shared_state = this->state] { return shared_state->Accept(); });
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
