#include "standin/backend_standin.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast.hpp>
#include <optional>
#include <sstream>
#include <utility>

#include "src/listener.h"
#include "standin/backend_state.h"
#include "standin/work_body.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = net::ip::tcp;
using namespace net::experimental::awaitable_operators;  // NOLINT

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::size_t kBodyBufferBytes = 64 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kMaxControlBodyBytes = 64 * 1024;
constexpr std::size_t kMaxAnswerBytes = 256 * 1024 * 1024;
// How long the unread body of a refused request is read and discarded. Closing
// with unread data would reset the connection, which can lose the refusal.
constexpr std::chrono::seconds kLingerTimeout{2};

using Parser = http::request_parser<http::buffer_body>;

struct WorkRequest {
  std::string id;
  std::string request_id;
  bool is_head = false;
  bool is_long = false;
  bool chunked_answer = false;
  std::size_t answer_bytes = 0;
  std::optional<TimePoint> deadline;
  bool keep_alive = true;
};

struct BodyDigest {
  std::uint64_t bytes = 0;
  std::uint64_t hash = 0;
};

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::istringstream in{std::string(text)};
  if (in >> number) {
    return number;
  }
  return std::nullopt;
}

WorkRequest ParseWorkRequest(const http::request<http::buffer_body>& message,
                             TimePoint now) {
  WorkRequest work;
  work.id = std::string(message["X-Work-Id"]);
  work.request_id = std::string(message["Acacia-Request-Id"]);
  work.is_head = message.method() == http::verb::head;
  work.is_long = message["X-Work-Class"] == "long" ||
                 message.target().starts_with("/long") ||
                 message.target().starts_with("/takes") ||
                 message.target().starts_with("/archives");
  work.chunked_answer = message["X-Answer-Chunked"] == "true";
  const std::size_t default_bytes = work.id.size() + 1;
  work.answer_bytes =
      std::min(ReadNumber(message["X-Answer-Bytes"]).value_or(default_bytes),
               kMaxAnswerBytes);
  if (const auto remaining_ms = ReadNumber(message["Acacia-Deadline-Ms"])) {
    work.deadline = now + std::chrono::milliseconds(*remaining_ms);
  }
  work.keep_alive = message.keep_alive();
  return work;
}

// Releases the slot when the work ends, whatever its result.
class SlotGuard {
 public:
  explicit SlotGuard(BackendState& backend) : backend(backend) {}
  ~SlotGuard() { this->backend.Release(SystemClock().Now()); }
  SlotGuard(const SlotGuard&) = delete;
  SlotGuard& operator=(const SlotGuard&) = delete;

 private:
  BackendState& backend;
};

class Session {
 public:
  Session(Tcp::socket socket, std::shared_ptr<BackendStandin::State> server);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  net::awaitable<void> Serve();

 private:
  using Response = http::response<http::string_body>;

  // Each returns whether the connection can serve another request.
  net::awaitable<bool> ServeRequest();
  net::awaitable<bool> ServeControl(Parser& parser);
  net::awaitable<bool> ServeWork(Parser& parser);
  net::awaitable<bool> Refuse(Parser& parser, const WorkRequest& work);
  net::awaitable<bool> Run(const WorkRequest& work);
  net::awaitable<bool> Answer(const WorkRequest& work, FaultKind fault);
  net::awaitable<bool> Write(Response& response);

  net::awaitable<std::optional<BodyDigest>> ReceiveBody(Parser& parser);
  net::awaitable<std::optional<std::string>> ReceiveSmallBody(Parser& parser);
  net::awaitable<bool> ContinueIfExpected(const Parser& parser);
  // Returns false if the caller closes the connection within `time`.
  net::awaitable<bool> WaitUnlessClosed(Duration time);
  net::awaitable<void> DiscardUntilClosed();
  net::awaitable<void> DiscardUnreadBody();

  Response MakeResponse(const WorkRequest& work, int status);
  TimePoint Now() const { return SystemClock().Now(); }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::shared_ptr<BackendStandin::State> server;
  BackendState& backend;
  RequestOrigin origin;
};

}  // namespace

struct BackendStandin::State {
  State(const net::any_io_executor& executor,
        schema::BackendStandinSettingsT settings)
      : acceptor(executor), backend(std::move(settings), SystemClock().Now()) {}

  Tcp::acceptor acceptor;
  BackendState backend;
};

namespace {

Session::Session(Tcp::socket socket,
                 std::shared_ptr<BackendStandin::State> server)
    : stream(std::move(socket)),
      server(std::move(server)),
      backend(this->server->backend) {
  boost::system::error_code error;
  const auto remote = this->stream.socket().remote_endpoint(error);
  if (!error) {
    this->origin.caller_address = remote.address().to_string();
    this->origin.caller_port = remote.port();
  }
  this->stream.socket().set_option(Tcp::no_delay(true), error);
  ++this->backend.connections;
  auto& peak = this->backend.ledger.totals.max_connections;
  peak = std::max<std::uint64_t>(peak, this->backend.connections);
}

Session::~Session() {
  --this->backend.connections;
}

net::awaitable<void> Session::Serve() {
  bool open = true;
  while (open) {
    open = co_await this->ServeRequest();
  }
}

net::awaitable<bool> Session::ServeRequest() {
  Parser parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(boost::none);
  const auto [error, read] = co_await http::async_read_header(
      this->stream, this->buffer, parser, kAwait);
  if (error) {
    co_return false;
  }
  const std::string_view target = parser.get().target();
  const bool is_control = target.starts_with("/standin/") ||
                          target == "/health" || target == "/load";
  if (is_control) {
    co_return co_await this->ServeControl(parser);
  }
  co_return co_await this->ServeWork(parser);
}

net::awaitable<bool> Session::ServeControl(Parser& parser) {
  const auto body = co_await this->ReceiveSmallBody(parser);
  if (!body) {
    co_return false;
  }
  const std::string target(parser.get().target());
  Response response;
  response.version(11);
  response.result(http::status::ok);
  tl::expected<void, std::string> result;
  if (target == "/health") {
    const bool unhealthy = this->backend.ShouldFailHealthCheck(this->Now());
    response.result(unhealthy ? http::status::service_unavailable
                              : http::status::ok);
  } else if (target == "/load") {
    response.body() = "{\"load_permille\": " +
                      std::to_string(this->backend.ReportedLoad(this->Now())) +
                      "}";
  } else if (target == "/standin/ledger" || target == "/standin/totals") {
    response.body() = this->backend.ledger.Json(target == "/standin/ledger");
  } else if (target == "/standin/faults") {
    result = this->backend.SetFaults(*body, this->Now());
  } else if (target == "/standin/state") {
    result = this->backend.SetState(*body, this->Now());
  } else {
    response.result(http::status::not_found);
  }
  if (!result) {
    response.result(http::status::bad_request);
    response.body() = result.error();
  }
  response.keep_alive(parser.get().keep_alive());
  response.prepare_payload();
  co_return co_await this->Write(response);
}

net::awaitable<bool> Session::ServeWork(Parser& parser) {
  const WorkRequest work = ParseWorkRequest(parser.get(), this->Now());
  this->origin.request_id = work.request_id;
  if (this->backend.connections > this->backend.settings.max_connections) {
    ++this->backend.ledger.totals.shed;
    co_return co_await this->Refuse(parser, work);
  }
  if (this->backend.Admit(this->Now()) != Admission::kAdmitted) {
    co_return co_await this->Refuse(parser, work);
  }
  const SlotGuard slot(this->backend);
  if (!co_await this->ContinueIfExpected(parser)) {
    co_return false;
  }
  const auto body = co_await this->ReceiveBody(parser);
  if (!body) {
    ++this->backend.ledger.totals.cancelled_before_start;
    co_return false;
  }
  if (work.deadline && this->Now() >= *work.deadline) {
    ++this->backend.ledger.totals.expired;
    co_return co_await this->Refuse(parser, work);
  }
  if (!co_await this->WaitUnlessClosed(Duration::zero())) {
    ++this->backend.ledger.totals.cancelled_before_start;
    co_return false;
  }
  this->backend.ledger.AddRun(work.id, body->bytes, body->hash);
  co_return co_await this->Run(work);
}

net::awaitable<bool> Session::Run(const WorkRequest& work) {
  const TimePoint start = this->Now();
  Duration time = this->backend.ServiceTime(work.is_long, this->origin, start);
  const bool expires = work.deadline && start + time > *work.deadline;
  if (expires) {
    time = *work.deadline - start;
  }
  if (time > Duration::zero() && !co_await this->WaitUnlessClosed(time)) {
    ++this->backend.ledger.totals.cancelled_running;
    co_return false;
  }
  if (expires) {
    Response response = this->MakeResponse(work, 504);
    response.prepare_payload();
    co_return co_await this->Write(response);
  }
  const FaultKind fault = this->backend.Fault(this->origin, this->Now());
  co_return co_await this->Answer(work, fault);
}

Session::Response Session::MakeResponse(const WorkRequest& work, int status) {
  Response response;
  response.version(11);
  response.result(static_cast<unsigned>(status));
  response.set("X-Backend", this->backend.settings.name);
  response.set("Acacia-Load",
               std::to_string(this->backend.ReportedLoad(this->Now())));
  if (!work.id.empty()) {
    response.set("X-Work-Id", work.id);
  }
  if (!work.request_id.empty()) {
    response.set("Acacia-Request-Id", work.request_id);
  }
  if (this->backend.IsLeaving()) {
    response.set("Acacia-Leaving", "true");
  }
  response.keep_alive(work.keep_alive && !this->backend.IsLeaving());
  return response;
}

net::awaitable<bool> Session::Answer(const WorkRequest& work, FaultKind fault) {
  if (fault == FaultKind::kSilence) {
    co_await this->DiscardUntilClosed();
    co_return false;
  }
  if (fault == FaultKind::kReset) {
    this->stream.socket().set_option(net::socket_base::linger(true, 0));
    co_return false;
  }
  const bool failed = fault == FaultKind::kError;
  Response response = this->MakeResponse(work, failed ? 500 : 200);
  std::string id = work.id;
  if (fault == FaultKind::kWrong) {
    id = "another-" + id;
    response.set("X-Work-Id", id);
    response.set("Acacia-Request-Id", "another-" + work.request_id);
  }
  if (work.is_head) {
    response.content_length(work.answer_bytes);
    co_return co_await this->Write(response);
  }
  response.body() = WorkBody(id, work.answer_bytes);
  if (work.chunked_answer) {
    response.chunked(true);
  } else {
    response.content_length(work.answer_bytes);
  }
  if (fault == FaultKind::kTruncate) {
    std::ostringstream whole;
    whole << response;
    const std::string bytes = whole.str();
    const std::size_t kept = bytes.size() - (work.answer_bytes + 1) / 2;
    co_await net::async_write(this->stream, net::buffer(bytes.data(), kept),
                              kAwait);
    co_return false;
  }
  co_return co_await this->Write(response);
}

net::awaitable<bool> Session::Refuse(Parser& parser, const WorkRequest& work) {
  Response response = this->MakeResponse(work, 503);
  response.set("Acacia-Outcome", "not-run");
  const bool whole = parser.is_done();
  response.keep_alive(response.keep_alive() && whole);
  response.prepare_payload();
  const bool keep = co_await this->Write(response);
  if (!whole) {
    co_await this->DiscardUnreadBody();
  }
  co_return keep;
}

net::awaitable<bool> Session::Write(Response& response) {
  const auto [error, written] =
      co_await http::async_write(this->stream, response, kAwait);
  co_return !error && response.keep_alive();
}

net::awaitable<bool> Session::ContinueIfExpected(const Parser& parser) {
  if (!beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    co_return true;
  }
  http::response<http::empty_body> response(http::status::continue_, 11);
  const auto [error, written] =
      co_await http::async_write(this->stream, response, kAwait);
  co_return !error;
}

net::awaitable<std::optional<BodyDigest>> Session::ReceiveBody(Parser& parser) {
  BodyDigest digest;
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> hash(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(hash.get(), 0);
  std::unique_ptr<std::array<char, kBodyBufferBytes>> chunk;
  while (!parser.is_done()) {
    if (!chunk) {
      chunk = std::make_unique<std::array<char, kBodyBufferBytes>>();
    }
    parser.get().body().data = chunk->data();
    parser.get().body().size = chunk->size();
    const auto [error, read] =
        co_await http::async_read(this->stream, this->buffer, parser, kAwait);
    if (error && error != http::error::need_buffer) {
      co_return std::nullopt;
    }
    const std::size_t read_bytes = chunk->size() - parser.get().body().size;
    XXH64_update(hash.get(), chunk->data(), read_bytes);
    digest.bytes += read_bytes;
  }
  digest.hash = XXH64_digest(hash.get());
  co_return digest;
}

net::awaitable<std::optional<std::string>> Session::ReceiveSmallBody(
    Parser& parser) {
  std::string body(kMaxControlBodyBytes, '\0');
  parser.get().body().data = body.data();
  parser.get().body().size = body.size();
  if (!parser.is_done()) {
    const auto [error, read] =
        co_await http::async_read(this->stream, this->buffer, parser, kAwait);
    if (error) {
      co_return std::nullopt;
    }
  }
  body.resize(body.size() - parser.get().body().size);
  co_return body;
}

net::awaitable<bool> Session::WaitUnlessClosed(Duration time) {
  Tcp::socket& socket = this->stream.socket();
  const TimePoint end = this->Now() + time;
  if (time > Duration::zero()) {
    net::steady_timer timer(socket.get_executor(), end);
    const auto first =
        co_await (timer.async_wait(kAwait) ||
                  socket.async_wait(Tcp::socket::wait_read, kAwait));
    if (first.index() == 0) {
      co_return true;
    }
  }
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(net::buffer(&byte, 1), Tcp::socket::message_peek, error);
  if (error && error != net::error::would_block) {
    co_return false;
  }
  net::steady_timer remaining_timer(socket.get_executor(), end);
  co_await remaining_timer.async_wait(kAwait);
  co_return true;
}

net::awaitable<void> Session::DiscardUntilClosed() {
  std::array<char, 1024> ignored{};
  for (;;) {
    const auto [error, read] =
        co_await this->stream.async_read_some(net::buffer(ignored), kAwait);
    if (error) {
      co_return;
    }
  }
}

net::awaitable<void> Session::DiscardUnreadBody() {
  boost::system::error_code ignored;
  this->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  this->stream.expires_after(kLingerTimeout);
  co_await this->DiscardUntilClosed();
}

net::awaitable<void> ServeSession(
    Tcp::socket socket,
    std::shared_ptr<BackendStandin::State> server) {
  Session session(std::move(socket), std::move(server));
  co_await session.Serve();
}

net::awaitable<void> Accept(std::shared_ptr<BackendStandin::State> state) {
  while (state->acceptor.is_open()) {
    auto [error, socket] = co_await state->acceptor.async_accept(kAwait);
    if (error == net::error::operation_aborted || !state->acceptor.is_open()) {
      co_return;
    }
    if (error) {
      continue;
    }
    auto executor = socket.get_executor();
    net::co_spawn(executor, ServeSession(std::move(socket), state),
                  net::detached);
  }
}

}  // namespace

BackendStandin::BackendStandin(const net::any_io_executor& executor,
                               schema::BackendStandinSettingsT settings)
    : state(std::make_shared<State>(executor, std::move(settings))) {}

BackendStandin::~BackendStandin() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

tl::expected<void, std::string> BackendStandin::Listen() {
  const std::string& address = this->state->backend.settings.listen;
  Tcp::acceptor& acceptor = this->state->acceptor;
  auto opened = OpenListener(acceptor, address);
  if (!opened) {
    return opened;
  }
  net::co_spawn(acceptor.get_executor(), Accept(this->state), net::detached);
  return {};
}

std::uint16_t BackendStandin::Port() const {
  return this->state->acceptor.local_endpoint().port();
}

}  // namespace acacia
