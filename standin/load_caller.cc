#include "standin/load_caller.h"

#include <xxhash.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <map>
#include <utility>
#include <vector>

#include "src/socket_address.h"
#include "standin/entry_directory.h"
#include "standin/work_body.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = net::ip::tcp;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::size_t kBufferBytes = 32 * 1024;
constexpr int kMaxConnectTries = 4;
constexpr std::chrono::milliseconds kConnectTimeout{2000};
constexpr std::chrono::seconds kMaxIdleTime{20};
constexpr std::uint64_t kDirectorySeedOffset = 7919;

struct Connection {
  explicit Connection(const net::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::string address;
  TimePoint idle_since;
};

// False when the other end has closed the connection or sent unsolicited data.
bool IsUsable(Connection& connection) {
  boost::system::error_code error;
  Tcp::socket& socket = connection.stream.socket();
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(net::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == net::error::would_block;
}

using Request = http::request<http::empty_body>;
using AnswerParser = http::response_parser<http::buffer_body>;

Request MakeRequest(const schema::LoadClassT& load_class,
                    const PlannedRequest& planned) {
  Request request;
  request.version(11);
  request.method_string(load_class.method.empty() ? "GET" : load_class.method);
  request.target(load_class.path);
  const bool has_host = !load_class.host.empty();
  request.set(http::field::host,
              has_host ? load_class.host : load_class.service);
  request.set("X-Work-Id", planned.work_id);
  request.set("Acacia-Idempotent", load_class.idempotent ? "true" : "false");
  if (!planned.account.empty()) {
    request.set("Acacia-Account", planned.account);
  }
  if (load_class.answer_bytes > 0) {
    request.set("X-Answer-Bytes", std::to_string(load_class.answer_bytes));
  }
  if (load_class.chunked_answer) {
    request.set("X-Answer-Chunked", "true");
  }
  if (load_class.body_bytes > 0) {
    request.content_length(load_class.body_bytes);
  }
  return request;
}

}  // namespace

struct LoadCaller::State {
  explicit State(const schema::LoadSettingsT& settings)
      : settings(settings),
        directory(settings.entries,
                  settings.lookup,
                  settings.seed + kDirectorySeedOffset) {}

  net::awaitable<std::unique_ptr<Connection>> Connect(std::string service);
  net::awaitable<bool> Exchange(Connection* connection,
                                const PlannedRequest* planned,
                                CallResult* result);
  net::awaitable<bool> SendBody(Connection* connection,
                                const PlannedRequest* planned,
                                CallResult* result);
  net::awaitable<bool> ReceiveAnswer(Connection* connection,
                                     const PlannedRequest* planned,
                                     CallResult* result);
  net::awaitable<bool> ReceiveBody(Connection* connection,
                                   AnswerParser* parser,
                                   WorkBodyChecker* checker);
  void ClassifyAnswer(const AnswerParser& parser,
                      const WorkBodyChecker& checker,
                      const schema::LoadClassT& load_class,
                      CallResult* result) const;
  std::unique_ptr<Connection> TakeIdle(const std::string& address);

  const schema::LoadSettingsT& settings;
  EntryDirectory directory;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle;
};

LoadCaller::LoadCaller(const schema::LoadSettingsT& settings)
    : state(std::make_unique<State>(settings)) {}

LoadCaller::~LoadCaller() = default;

std::unique_ptr<Connection> LoadCaller::State::TakeIdle(
    const std::string& address) {
  auto& pooled = this->idle[address];
  while (!pooled.empty()) {
    auto connection = std::move(pooled.back());
    pooled.pop_back();
    const Duration age = SystemClock().Now() - connection->idle_since;
    if (age < kMaxIdleTime && IsUsable(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

net::awaitable<std::unique_ptr<Connection>> LoadCaller::State::Connect(
    std::string service) {
  for (int i = 0; i < kMaxConnectTries; ++i) {
    const std::string address = co_await this->directory.Choose(service);
    const auto to = ParseSocketAddress(address);
    if (!to) {
      continue;
    }
    if (auto pooled = this->TakeIdle(address)) {
      co_return pooled;
    }
    const auto executor = co_await net::this_coro::executor;
    auto connection = std::make_unique<Connection>(executor);
    connection->stream.expires_after(kConnectTimeout);
    const Tcp::endpoint endpoint(to->address, to->port);
    const auto [error] =
        co_await connection->stream.async_connect(endpoint, kAwait);
    if (!error) {
      boost::system::error_code ignored;
      connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
      connection->address = address;
      co_return connection;
    }
    this->directory.MarkFailed(address);
  }
  co_return nullptr;
}

net::awaitable<bool> LoadCaller::State::SendBody(Connection* connection,
                                                 const PlannedRequest* planned,
                                                 CallResult* result) {
  const auto& load_class = *this->settings.classes[planned->load_class];
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> hash(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(hash.get(), 0);
  std::vector<char> chunk(kBufferBytes);
  const TimePoint start = SystemClock().Now();
  std::uint64_t sent = 0;
  while (sent < load_class.body_bytes) {
    const std::size_t size =
        std::min<std::uint64_t>(chunk.size(), load_class.body_bytes - sent);
    FillWorkBody(planned->work_id, sent, chunk.data(), size);
    XXH64_update(hash.get(), chunk.data(), size);
    const auto [error, written] = co_await net::async_write(
        connection->stream, net::buffer(chunk.data(), size), kAwait);
    if (error || connection->stream.socket().available() > 0) {
      co_return false;
    }
    sent += size;
    if (load_class.body_bytes_per_second > 0) {
      const std::chrono::duration<double> due(
          static_cast<double>(sent) /
          static_cast<double>(load_class.body_bytes_per_second));
      net::steady_timer timer(
          co_await net::this_coro::executor,
          start + std::chrono::duration_cast<Duration>(due));
      co_await timer.async_wait(kAwait);
    }
  }
  result->body_bytes = sent;
  result->body_hash = XXH64_digest(hash.get());
  co_return true;
}

net::awaitable<bool> LoadCaller::State::ReceiveBody(Connection* connection,
                                                    AnswerParser* parser,
                                                    WorkBodyChecker* checker) {
  std::vector<char> chunk(kBufferBytes);
  while (!parser->is_done()) {
    parser->get().body().data = chunk.data();
    parser->get().body().size = chunk.size();
    const auto [error, read] = co_await http::async_read(
        connection->stream, connection->buffer, *parser, kAwait);
    if (error && error != http::error::need_buffer) {
      co_return false;
    }
    const std::size_t read_bytes = chunk.size() - parser->get().body().size;
    checker->Add({chunk.data(), read_bytes});
  }
  co_return true;
}

void LoadCaller::State::ClassifyAnswer(const AnswerParser& parser,
                                       const WorkBodyChecker& checker,
                                       const schema::LoadClassT& load_class,
                                       CallResult* result) const {
  const auto& answer = parser.get();
  result->status = static_cast<int>(answer.result_int());
  result->error = std::string(answer["Acacia-Error"]);
  const std::string outcome_header(answer["Acacia-Outcome"]);
  if (!result->error.empty() || outcome_header == "not-run") {
    result->outcome = outcome_header == "not-run" ? CallOutcome::kNotRun
                                                  : CallOutcome::kUnknown;
    return;
  }
  if (result->status >= 500) {
    result->outcome = CallOutcome::kServerError;
    return;
  }
  result->outcome = CallOutcome::kAnswered;
  const std::uint64_t expected = load_class.answer_bytes > 0
                                     ? load_class.answer_bytes
                                     : result->work_id.size() + 1;
  const bool matches_request = answer["X-Work-Id"] == result->work_id;
  const bool is_head = load_class.method == "HEAD";
  const bool is_complete = is_head || checker.Size() == expected;
  result->wrong = !matches_request || !is_complete || !checker.IsCorrect();
}

net::awaitable<bool> LoadCaller::State::ReceiveAnswer(
    Connection* connection,
    const PlannedRequest* planned,
    CallResult* result) {
  const auto& load_class = *this->settings.classes[planned->load_class];
  AnswerParser parser;
  parser.body_limit(boost::none);
  parser.skip(load_class.method == "HEAD");
  const auto [error, read] = co_await http::async_read_header(
      connection->stream, connection->buffer, parser, kAwait);
  if (error) {
    result->error = error == beast::error::timeout ? "timeout" : "no_answer";
    co_return false;
  }
  WorkBodyChecker checker(planned->work_id);
  if (!co_await this->ReceiveBody(connection, &parser, &checker)) {
    result->error = "cut_short";
    co_return false;
  }
  this->ClassifyAnswer(parser, checker, load_class, result);
  co_return parser.get().keep_alive();
}

// Returns whether the connection can be reused.
net::awaitable<bool> LoadCaller::State::Exchange(Connection* connection,
                                                 const PlannedRequest* planned,
                                                 CallResult* result) {
  const auto& load_class = *this->settings.classes[planned->load_class];
  Request request = MakeRequest(load_class, *planned);
  connection->stream.expires_after(
      std::chrono::milliseconds(this->settings.timeout_ms));
  http::request_serializer<http::empty_body> serializer(request);
  const auto [error, written] =
      co_await http::async_write_header(connection->stream, serializer, kAwait);
  if (error) {
    result->error = "no_answer";
    co_return false;
  }
  bool sent_completely = true;
  if (load_class.body_bytes > 0) {
    sent_completely = co_await this->SendBody(connection, planned, result);
  }
  const bool reusable =
      co_await this->ReceiveAnswer(connection, planned, result);
  co_return reusable&& sent_completely;
}

net::awaitable<CallResult> LoadCaller::Call(PlannedRequest planned) {
  State& state = *this->state;
  const auto& load_class = *state.settings.classes[planned.load_class];
  CallResult result;
  result.work_id = planned.work_id;
  result.load_class = planned.load_class;
  result.idempotent = load_class.idempotent;
  result.intended = planned.at;
  const int tries = load_class.idempotent ? 2 : 1;
  for (int i = 0; i < tries; ++i) {
    auto connection = co_await state.Connect(load_class.service);
    if (!connection) {
      if (i == 0) {
        result.outcome = CallOutcome::kNotRun;
        result.error = "no_entry";
      }
      co_return result;
    }
    result.error.clear();
    const bool reusable =
        co_await state.Exchange(connection.get(), &planned, &result);
    if (reusable) {
      connection->idle_since = SystemClock().Now();
      connection->stream.expires_never();
      state.idle[connection->address].push_back(std::move(connection));
    }
    const bool may_have_run = i > 0;
    if (may_have_run && result.outcome == CallOutcome::kNotRun) {
      result.outcome = CallOutcome::kUnknown;
    }
    if (result.error != "no_answer") {
      co_return result;
    }
  }
  co_return result;
}

}  // namespace acacia
