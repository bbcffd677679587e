#include "standin/platform_standin.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/url.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "src/content_hash.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace json = boost::json;

constexpr char kRows[] = "/v1/rows/";
constexpr char kObjects[] = "/v1/objects/";
constexpr char kInstances[] = "/v1/instances/";
constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxRowBytes = 256 * 1024;
constexpr std::size_t kMaxStoredObjectBytes = 16 * 1024 * 1024;
constexpr std::uint32_t kPermille = 1000;

HttpReply PlainTextReply(int status, std::string text) {
  return {status, {{"content-type", "text/plain"}}, std::move(text) + "\n"};
}

HttpReply ReplyWithETag(std::string body, std::uint64_t version) {
  return {
      200, {{"etag", "\"" + std::to_string(version) + "\""}}, std::move(body)};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// The version in a header such as "7", with the quotes.
std::optional<std::uint64_t> QuotedVersion(const HttpRequest& request,
                                           const std::string& header) {
  const auto found = request.headers.find(header);
  if (found == request.headers.end()) {
    return std::nullopt;
  }
  const std::string& text = found->second;
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  return ParseNumber(std::string_view(text).substr(1, text.size() - 2));
}

// The part of the target after the prefix; nothing when it has another prefix
// or ends there.
std::optional<std::string> StripPrefix(const std::string& target,
                                       const std::string& prefix) {
  if (!target.starts_with(prefix) || target.size() == prefix.size()) {
    return std::nullopt;
  }
  return target.substr(prefix.size());
}

json::object ToJson(const ListedInstance& instance) {
  json::object object;
  object["address"] = instance.address;
  object["failure_domain"] = instance.failure_domain.Value();
  object["slots"] = instance.slots;
  object["state"] = instance.leaving ? "leaving" : "live";
  return object;
}

// Reads a JSON value into `value`; false when it has another type.
bool ReadMember(const json::value& from, bool* value) {
  if (from.is_bool()) {
    *value = from.get_bool();
  }
  return from.is_bool();
}

bool ReadMember(const json::value& from, std::uint32_t* value) {
  boost::system::error_code error;
  const auto number = from.to_number<std::uint32_t>(error);
  if (!error) {
    *value = number;
  }
  return !error;
}

bool ReadFault(const std::string& name,
               const json::value& value,
               PlatformFaults* faults) {
  if (name == "outage") {
    return ReadMember(value, &faults->outage);
  }
  if (name == "delay_ms") {
    return ReadMember(value, &faults->delay_ms);
  }
  if (name == "lose_replies_permille") {
    return ReadMember(value, &faults->lose_replies_permille);
  }
  if (name == "lose_requests_permille") {
    return ReadMember(value, &faults->lose_requests_permille);
  }
  if (name == "corrupt_objects") {
    return ReadMember(value, &faults->corrupt_objects);
  }
  if (name == "reads_per_second") {
    return ReadMember(value, &faults->reads_per_second);
  }
  return name == "writes_per_second" &&
         ReadMember(value, &faults->writes_per_second);
}

}  // namespace

bool PlatformStandin::RateWindow::Admit(std::uint32_t limit, TimePoint now) {
  if (now - this->start >= std::chrono::seconds(1)) {
    this->start = now;
    this->used = 0;
  }
  return ++this->used <= limit || limit == 0;
}

PlatformStandin::PlatformStandin(const net::any_io_executor& executor,
                                 const Clock& clock,
                                 Duration list_lag,
                                 std::uint64_t seed)
    : clock(clock),
      random(seed),
      store(list_lag),
      server(executor, [this](HttpRequest request) {
        return this->Handle(std::move(request));
      }) {}

tl::expected<void, std::string> PlatformStandin::Listen(
    const std::string& address) {
  return this->server.Listen(address);
}

net::awaitable<HttpReply> PlatformStandin::Handle(HttpRequest request) {
  if (request.target == "/standin/faults") {
    co_return this->HandleFaults(request);
  }
  if (request.target == "/standin/counters") {
    co_return this->DescribeCounters();
  }
  if (this->faults.delay_ms > 0) {
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(this->faults.delay_ms));
    co_await timer.async_wait(net::use_awaitable);
  }
  co_return this->HandlePlatform(request);
}

HttpReply PlatformStandin::HandlePlatform(const HttpRequest& request) {
  const bool is_write = request.method != "GET";
  ++(is_write ? this->counters.writes : this->counters.reads);
  RateWindow& window = is_write ? this->write_window : this->read_window;
  const std::uint32_t limit =
      is_write ? this->faults.writes_per_second : this->faults.reads_per_second;
  if (this->faults.outage || !window.Admit(limit, this->clock.Now())) {
    ++this->counters.refused;
    return PlainTextReply(
        503, this->faults.outage ? "outage" : "above the rate limit");
  }
  if (!is_write) {
    return this->Serve(request);
  }
  HttpReply no_reply;
  no_reply.close_without_reply = true;
  if (this->DrawChance(this->faults.lose_requests_permille)) {
    return no_reply;
  }
  const HttpReply reply = this->Serve(request);
  if (this->DrawChance(this->faults.lose_replies_permille)) {
    ++this->counters.lost_replies;
    return no_reply;
  }
  return reply;
}

HttpReply PlatformStandin::Serve(const HttpRequest& request) {
  if (request.target.size() > kMaxKeyBytes) {
    return PlainTextReply(414, "a key has at most 1024 bytes");
  }
  if (const auto key = StripPrefix(request.target, kRows)) {
    return this->HandleRow(request, *key);
  }
  if (const auto hash = StripPrefix(request.target, kObjects)) {
    return this->HandleObject(request, *hash);
  }
  if (const auto rest = StripPrefix(request.target, kInstances)) {
    return this->HandleInstances(request, *rest);
  }
  return PlainTextReply(404, "no such resource");
}

HttpReply PlatformStandin::HandleRow(const HttpRequest& request,
                                     const std::string& key) {
  if (request.method == "PUT") {
    return this->WriteRow(request, key);
  }
  if (request.method != "GET") {
    return PlainTextReply(405, "rows take GET and PUT");
  }
  const Row row = this->store.ReadRow(key);
  if (row.version == RowVersion()) {
    return PlainTextReply(404, "no such row");
  }
  return ReplyWithETag(row.value, row.version.Value());
}

HttpReply PlatformStandin::WriteRow(const HttpRequest& request,
                                    const std::string& key) {
  const auto expected = QuotedVersion(request, "if-match");
  if (!expected) {
    return PlainTextReply(428, "If-Match: \"VERSION\" is required");
  }
  if (request.body.size() > kMaxRowBytes) {
    return PlainTextReply(413, "a row has at most 262144 bytes");
  }
  const auto written =
      this->store.WriteRow(key, RowVersion(*expected), request.body);
  if (!written) {
    ++this->counters.conflicts;
    return PlainTextReply(412, "the row has another version");
  }
  return ReplyWithETag("", written->Value());
}

HttpReply PlatformStandin::HandleObject(const HttpRequest& request,
                                        const std::string& hash) {
  if (request.method == "PUT") {
    if (request.body.size() > kMaxStoredObjectBytes) {
      return PlainTextReply(413, "an object has at most 16777216 bytes");
    }
    if (HashContent(request.body).Value() != hash) {
      return PlainTextReply(400, "the name is not the SHA-256 of the body");
    }
    this->store.WriteObject(hash, request.body);
    return PlainTextReply(200, "stored");
  }
  if (request.method != "GET") {
    return PlainTextReply(405, "objects take GET and PUT");
  }
  const std::string* body = this->store.FindObject(hash);
  if (body == nullptr) {
    return PlainTextReply(404, "no such object");
  }
  HttpReply reply{200, {}, *body};
  if (this->faults.corrupt_objects && !reply.body.empty()) {
    char& byte = reply.body[this->random.Below(reply.body.size())];
    byte = static_cast<char>(byte ^ 1);
  }
  return reply;
}

HttpReply PlatformStandin::HandleInstances(const HttpRequest& request,
                                           const std::string& rest) {
  if (request.method != "GET") {
    return this->ChangeInstance(request, rest);
  }
  const InstanceList list = this->store.List(rest, this->clock.Now());
  if (QuotedVersion(request, "if-none-match") == list.version) {
    HttpReply unchanged = ReplyWithETag("", list.version);
    unchanged.status = 304;
    return unchanged;
  }
  json::array array;
  for (const ListedInstance& instance : list.instances) {
    array.push_back(ToJson(instance));
  }
  return ReplyWithETag(json::serialize(array), list.version);
}

HttpReply PlatformStandin::ChangeInstance(const HttpRequest& request,
                                          const std::string& rest) {
  const std::string path = "/" + rest;
  const auto url = boost::urls::parse_relative_ref(path);
  if (!url || url->segments().size() != 2) {
    return PlainTextReply(400, "write /v1/instances/SERVICE/ADDRESS");
  }
  InstanceChange change;
  change.service = *url->segments().begin();
  change.address = *std::next(url->segments().begin());
  if (!ParseSocketAddress(change.address)) {
    return PlainTextReply(400, "the address is not ip:port");
  }
  if (request.method == "PUT") {
    ListedInstance instance{change.address, FailureDomain(), 1, false};
    for (const auto& parameter : url->params()) {
      const std::string name(parameter.key);
      const std::string value(parameter.value);
      if (name == "failure_domain") {
        instance.failure_domain = FailureDomain(value);
      } else if (name == "slots" && ParseNumber(value)) {
        instance.slots = static_cast<std::uint32_t>(*ParseNumber(value));
      } else if (name == "state" && (value == "live" || value == "leaving")) {
        instance.leaving = value == "leaving";
      } else {
        return PlainTextReply(400, "unknown parameter or value: " + name);
      }
    }
    change.instance = instance;
  } else if (request.method != "DELETE") {
    return PlainTextReply(405, "instances take GET, PUT and DELETE");
  }
  this->store.Change(std::move(change), this->clock.Now());
  return PlainTextReply(200, "registered");
}

HttpReply PlatformStandin::HandleFaults(const HttpRequest& request) {
  if (request.method != "PUT") {
    return PlainTextReply(405, "PUT the faults as JSON");
  }
  boost::system::error_code error;
  const json::value value = json::parse(request.body, error);
  if (error || !value.is_object()) {
    return PlainTextReply(400, "the body is not a JSON object");
  }
  PlatformFaults faults;
  for (const auto& member : value.get_object()) {
    const std::string name(member.key());
    if (!ReadFault(name, member.value(), &faults)) {
      return PlainTextReply(400, "unknown fault or wrong type: " + name);
    }
  }
  this->faults = faults;
  return PlainTextReply(200, "faults set");
}

HttpReply PlatformStandin::DescribeCounters() const {
  json::object object;
  object["reads"] = this->counters.reads;
  object["writes"] = this->counters.writes;
  object["conflicts"] = this->counters.conflicts;
  object["refused"] = this->counters.refused;
  object["lost_replies"] = this->counters.lost_replies;
  return {200,
          {{"content-type", "application/json"}},
          json::serialize(object) + "\n"};
}

bool PlatformStandin::DrawChance(std::uint32_t permille) {
  return permille > 0 && this->random.Below(kPermille) < permille;
}

}  // namespace acacia
