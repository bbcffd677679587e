#include "src/platform_client.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/url.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/http_client.h"
#include "src/log_event.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace json = boost::json;
namespace urls = boost::urls;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::size_t kMaxCachedLists = 10000;
// The agent's connections together hold at most eight replies. While a body
// without a length grows, its copies take half as much again. With 8 MB for
// objects that is 96 MB; 64 MB for each gave 860 MB with endless replies.
// Rows hold a few fields, or the head with its history.
constexpr std::uint64_t kMaxRowBytes = 1024 * 1024;
// 28,000 instances of 75 bytes. Parsed, a list takes up to twelve times its
// length.
constexpr std::uint64_t kMaxListBytes = 2 * 1024 * 1024;

using Reply = tl::expected<HttpReply, HttpClientError>;

struct Connection {
  HttpClient client;
  TimePoint last_used;
};

struct CachedList {
  std::string etag;
  std::vector<ListedInstance> instances;
};

std::string EncodePath(const std::string& text) {
  return urls::encode(text, urls::pchars + '/');
}

// The number in an ETag of the form "\"7\"".
std::optional<RowVersion> ParseETagVersion(const HttpReply& reply) {
  const auto found = reply.headers.find("etag");
  if (found == reply.headers.end() || found->second.size() < 3) {
    return std::nullopt;
  }
  const std::string& text = found->second;
  const char* end = text.data() + text.size() - 1;
  std::uint64_t version = 0;
  const auto parsed = std::from_chars(text.data() + 1, end, version);
  if (text.front() != '"' || *end != '"' || parsed.ec != std::errc() ||
      parsed.ptr != end) {
    return std::nullopt;
  }
  return RowVersion(version);
}

bool IsSuccess(const Reply& reply) {
  return reply && reply->status >= 200 && reply->status < 300;
}

// The error of a write that did not succeed. Only a refusal by the platform, or
// the certainty that the request was never sent, excludes an effect.
PlatformError WriteError(const Reply& reply) {
  if (!reply) {
    return reply.error() == HttpClientError::kNotSent
               ? PlatformError::kUnavailable
               : PlatformError::kUnknown;
  }
  if (reply->status == 412) {
    return PlatformError::kConflict;
  }
  const bool refused = reply->status >= 400 && reply->status < 500;
  return refused || reply->status == 503 ? PlatformError::kUnavailable
                                         : PlatformError::kUnknown;
}

std::optional<ListedInstance> ParseInstance(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  ListedInstance instance;
  const json::value* address = object->if_contains("address");
  if (address == nullptr || !address->is_string()) {
    return std::nullopt;
  }
  instance.address = address->get_string().c_str();
  if (!ParseSocketAddress(instance.address)) {
    return std::nullopt;
  }
  const json::value* domain = object->if_contains("failure_domain");
  if (domain != nullptr && domain->is_string()) {
    instance.failure_domain = FailureDomain(domain->get_string().c_str());
  }
  const json::value* slots = object->if_contains("slots");
  boost::system::error_code error;
  if (slots != nullptr) {
    instance.slots = slots->to_number<std::uint32_t>(error);
  }
  const json::value* state = object->if_contains("state");
  instance.leaving = state != nullptr && *state == "leaving";
  if (error) {
    return std::nullopt;
  }
  return instance;
}

// Rejects the whole list if one of its items cannot be read: a shorter list
// would look like lost capacity.
std::optional<std::vector<ListedInstance>> ParseInstances(
    const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  if (error || !value.is_array()) {
    return std::nullopt;
  }
  std::vector<ListedInstance> instances;
  for (const json::value& item : value.get_array()) {
    auto instance = ParseInstance(item);
    if (!instance) {
      return std::nullopt;
    }
    instances.push_back(*std::move(instance));
  }
  return instances;
}

std::uint64_t MaxReplyBytes(PlatformOperation operation) {
  switch (operation) {
    case PlatformOperation::kReadObject:
      return kMaxObjectBytes;
    case PlatformOperation::kReadInstanceList:
      return kMaxListBytes;
    case PlatformOperation::kReadRow:
    case PlatformOperation::kWriteRow:
    case PlatformOperation::kWriteObject:
      return kMaxRowBytes;
  }
  return kMaxRowBytes;
}

}  // namespace

const char* NameOf(PlatformOperation operation) {
  switch (operation) {
    case PlatformOperation::kReadRow:
      return "read_row";
    case PlatformOperation::kWriteRow:
      return "write_row";
    case PlatformOperation::kReadObject:
      return "read_object";
    case PlatformOperation::kWriteObject:
      return "write_object";
    case PlatformOperation::kReadInstanceList:
      return "read_instance_list";
  }
  return "";
}

struct PlatformClient::State {
  State(std::string address,
        const Clock& clock,
        const PlatformClientOptions& options)
      : address(std::move(address)), clock(clock), options(options) {}

  std::string address;
  const Clock& clock;
  PlatformClientOptions options;
  Observer observer;
  std::vector<Connection> idle;
  // Requests that hold a permit, at most options.max_connections.
  std::size_t open = 0;
  // Requests that wait for a connection, in order.
  std::deque<net::steady_timer*> waiting;
  std::map<std::string, CachedList> lists;

  // Waits for a free connection; false when none became free in time.
  net::awaitable<bool> AcquirePermit(TimePoint deadline);
  void ReleasePermit();
  Connection TakeConnection();
  net::awaitable<Reply> SendOnce(PlatformOperation operation,
                                 HttpRequest request,
                                 TimePoint deadline);
  net::awaitable<Reply> Send(PlatformOperation operation, HttpRequest request);
};

net::awaitable<bool> PlatformClient::State::AcquirePermit(TimePoint deadline) {
  if (this->open < this->options.max_connections) {
    ++this->open;
    co_return true;
  }
  net::steady_timer timer(co_await net::this_coro::executor);
  timer.expires_after(deadline - this->clock.Now());
  this->waiting.push_back(&timer);
  // ReleasePermit removes the timer from the queue and cancels it.
  co_await timer.async_wait(kAwait);
  const bool queued = std::erase(this->waiting, &timer) > 0;
  co_return !queued;
}

void PlatformClient::State::ReleasePermit() {
  if (this->waiting.empty()) {
    --this->open;
    return;
  }
  net::steady_timer* next = this->waiting.front();
  this->waiting.pop_front();
  next->cancel();
}

Connection PlatformClient::State::TakeConnection() {
  const TimePoint now = this->clock.Now();
  while (!this->idle.empty()) {
    Connection connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (now - connection.last_used < this->options.max_idle) {
      return connection;
    }
  }
  return {HttpClient(this->address), now};
}

net::awaitable<Reply> PlatformClient::State::SendOnce(
    PlatformOperation operation,
    HttpRequest request,
    TimePoint deadline) {
  const bool acquired = co_await this->AcquirePermit(deadline);
  if (!acquired) {
    co_return tl::unexpected(HttpClientError::kNotSent);
  }
  const Duration time_left = deadline - this->clock.Now();
  if (time_left <= Duration::zero()) {
    this->ReleasePermit();
    co_return tl::unexpected(HttpClientError::kNotSent);
  }
  Connection connection = this->TakeConnection();
  Reply reply = co_await connection.client.Send(std::move(request), time_left,
                                                MaxReplyBytes(operation));
  if (reply) {
    connection.last_used = this->clock.Now();
    this->idle.push_back(std::move(connection));
  }
  this->ReleasePermit();
  co_return reply;
}

// A read without a reply is sent once more, on a new connection: the platform
// may have closed the first one while it was idle.
net::awaitable<Reply> PlatformClient::State::Send(PlatformOperation operation,
                                                  HttpRequest request) {
  const TimePoint began = this->clock.Now();
  const TimePoint deadline = began + this->options.timeout;
  const bool is_read = request.method == "GET";
  Reply reply = co_await this->SendOnce(operation, request, deadline);
  if (!reply && is_read && reply.error() == HttpClientError::kNoReply) {
    this->idle.clear();
    reply = co_await this->SendOnce(operation, std::move(request), deadline);
  }
  const Duration elapsed = this->clock.Now() - began;
  const bool answered = reply && reply->status < 500;
  if (this->observer) {
    this->observer({operation, answered, elapsed});
  }
  co_return reply;
}

PlatformClient::PlatformClient(std::string address,
                               const Clock& clock,
                               const PlatformClientOptions& options)
    : state(std::make_shared<State>(std::move(address), clock, options)) {}

PlatformClient::~PlatformClient() = default;

void PlatformClient::SetObserver(Observer observer) {
  this->state->observer = std::move(observer);
}

net::awaitable<RowResult> PlatformClient::ReadRow(std::string key) {
  const std::shared_ptr<State> shared_state = this->state;
  HttpRequest request;
  request.target = "/v1/rows/" + EncodePath(key);
  const Reply reply = co_await shared_state->Send(PlatformOperation::kReadRow,
                                                  std::move(request));
  if (reply && reply->status == 404) {
    co_return Row{};
  }
  if (!reply || reply->status != 200) {
    co_return tl::unexpected(PlatformError::kUnavailable);
  }
  const auto version = ParseETagVersion(*reply);
  if (!version) {
    co_return tl::unexpected(PlatformError::kUnavailable);
  }
  co_return Row{reply->body, *version};
}

net::awaitable<WriteResult> PlatformClient::WriteRow(std::string key,
                                                     RowVersion expected,
                                                     std::string value) {
  const std::shared_ptr<State> shared_state = this->state;
  HttpRequest request;
  request.method = "PUT";
  request.target = "/v1/rows/" + EncodePath(key);
  request.headers["if-match"] = "\"" + std::to_string(expected.Value()) + "\"";
  request.body = std::move(value);
  const Reply reply = co_await shared_state->Send(PlatformOperation::kWriteRow,
                                                  std::move(request));
  if (!IsSuccess(reply)) {
    co_return tl::unexpected(WriteError(reply));
  }
  const auto version = ParseETagVersion(*reply);
  if (!version) {
    co_return tl::unexpected(PlatformError::kUnknown);
  }
  co_return *version;
}

net::awaitable<ObjectResult> PlatformClient::ReadObject(ObjectHash hash) {
  const std::shared_ptr<State> shared_state = this->state;
  HttpRequest request;
  request.target = "/v1/objects/" + EncodePath(hash.Value());
  Reply reply = co_await shared_state->Send(PlatformOperation::kReadObject,
                                            std::move(request));
  if (reply && reply->status == 404) {
    co_return tl::unexpected(PlatformError::kNotFound);
  }
  if (!reply || reply->status != 200) {
    co_return tl::unexpected(PlatformError::kUnavailable);
  }
  co_return std::move(reply->body);
}

net::awaitable<ObjectWriteResult> PlatformClient::WriteObject(
    ObjectHash hash,
    std::string body) {
  const std::shared_ptr<State> shared_state = this->state;
  HttpRequest request;
  request.method = "PUT";
  request.target = "/v1/objects/" + EncodePath(hash.Value());
  request.body = std::move(body);
  const Reply reply = co_await shared_state->Send(
      PlatformOperation::kWriteObject, std::move(request));
  if (!IsSuccess(reply)) {
    const PlatformError error = WriteError(reply);
    co_return tl::unexpected(error == PlatformError::kConflict
                                 ? PlatformError::kUnavailable
                                 : error);
  }
  co_return ObjectWriteResult();
}

net::awaitable<InstanceListResult> PlatformClient::ReadInstanceList(
    std::string service) {
  const std::shared_ptr<State> shared_state = this->state;
  HttpRequest request;
  request.target = "/v1/instances/" + EncodePath(service);
  const auto cached = shared_state->lists.find(service);
  if (cached != shared_state->lists.end()) {
    request.headers["if-none-match"] = cached->second.etag;
  }
  const Reply reply = co_await shared_state->Send(
      PlatformOperation::kReadInstanceList, std::move(request));
  if (reply && reply->status == 304) {
    const auto known = shared_state->lists.find(service);
    if (known != shared_state->lists.end()) {
      co_return known->second.instances;
    }
  }
  if (!reply || reply->status != 200) {
    co_return tl::unexpected(PlatformError::kUnavailable);
  }
  auto instances = ParseInstances(reply->body);
  if (!instances) {
    LogEvent("platform_list_malformed", LogSeverity::kWarning)
        .With("service", service);
    co_return tl::unexpected(PlatformError::kUnavailable);
  }
  const auto etag = reply->headers.find("etag");
  if (etag != reply->headers.end() &&
      shared_state->lists.size() < kMaxCachedLists) {
    shared_state->lists[service] = {etag->second, *instances};
  }
  co_return *std::move(instances);
}

}  // namespace acacia
