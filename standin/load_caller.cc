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
constexpr std::size_t kPieceBytes = 32 * 1024;
constexpr int kMaxConnectTries = 4;
constexpr std::chrono::milliseconds kConnectTimeout{2000};
constexpr std::chrono::seconds kMaxIdle{20};
constexpr std::uint64_t kDirectorySeedOffset = 7919;

struct Connection {
  explicit Connection(const net::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::string address;
  TimePoint idle_since;
};

// False when the other end has closed it, or sent something unasked.
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
  const bool named = !load_class.host.empty();
  request.set(http::field::host, named ? load_class.host : load_class.service);
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
  void Judge(const AnswerParser& parser,
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
  auto& kept = this->idle[address];
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    const Duration age = SystemClock().Now() - connection->idle_since;
    if (age < kMaxIdle && IsUsable(*connection)) {
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
    if (auto kept = this->TakeIdle(address)) {
      co_return kept;
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
  std::vector<char> piece(kPieceBytes);
  const TimePoint start = SystemClock().Now();
  std::uint64_t sent = 0;
  while (sent < load_class.body_bytes) {
    const std::size_t size =
        std::min<std::uint64_t>(piece.size(), load_class.body_bytes - sent);
    FillWorkBody(planned->work_id, sent, piece.data(), size);
    XXH64_update(hash.get(), piece.data(), size);
    const auto [error, written] = co_await net::async_write(
        connection->stream, net::buffer(piece.data(), size), kAwait);
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
  std::vector<char> piece(kPieceBytes);
  while (!parser->is_done()) {
    parser->get().body().data = piece.data();
    parser->get().body().size = piece.size();
    const auto [error, read] = co_await http::async_read(
        connection->stream, connection->buffer, *parser, kAwait);
    if (error && error != http::error::need_buffer) {
      co_return false;
    }
    const std::size_t got = piece.size() - parser->get().body().size;
    checker->Add({piece.data(), got});
  }
  co_return true;
}

void LoadCaller::State::Judge(const AnswerParser& parser,
                              const WorkBodyChecker& checker,
                              const schema::LoadClassT& load_class,
                              CallResult* result) const {
  const auto& answer = parser.get();
  result->status = static_cast<int>(answer.result_int());
  result->error = std::string(answer["Acacia-Error"]);
  const std::string outcome(answer["Acacia-Outcome"]);
  if (!result->error.empty() || outcome == "not-run") {
    result->told = outcome == "not-run" ? Told::kNotRun : Told::kUnknown;
    return;
  }
  if (result->status >= 500) {
    result->told = Told::kServerError;
    return;
  }
  result->told = Told::kAnswered;
  const std::uint64_t expected = load_class.answer_bytes > 0
                                     ? load_class.answer_bytes
                                     : result->work_id.size() + 1;
  const bool is_mine = answer["X-Work-Id"] == result->work_id;
  const bool head = load_class.method == "HEAD";
  const bool is_whole = head || checker.Size() == expected;
  result->wrong = !is_mine || !is_whole || !checker.IsCorrect();
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
  this->Judge(parser, checker, load_class, result);
  co_return parser.get().keep_alive();
}

// Returns whether the connection can be kept.
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
  bool sent_whole = true;
  if (load_class.body_bytes > 0) {
    sent_whole = co_await this->SendBody(connection, planned, result);
  }
  const bool keep = co_await this->ReceiveAnswer(connection, planned, result);
  co_return keep&& sent_whole;
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
        result.told = Told::kNotRun;
        result.error = "no_entry";
      }
      co_return result;
    }
    result.error.clear();
    const bool keep =
        co_await state.Exchange(connection.get(), &planned, &result);
    if (keep) {
      connection->idle_since = SystemClock().Now();
      connection->stream.expires_never();
      state.idle[connection->address].push_back(std::move(connection));
    }
    const bool ran_perhaps = i > 0;
    if (ran_perhaps && result.told == Told::kNotRun) {
      result.told = Told::kUnknown;
    }
    if (result.error != "no_answer") {
      co_return result;
    }
  }
  co_return result;
}

}  // namespace acacia
