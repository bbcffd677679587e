#include "src/proxy_exchange.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <utility>

#include "src/caller_authentication.h"
#include "src/keep_running.h"
#include "src/log_event.h"
#include "src/query_string.h"
#include "src/retry_after.h"

namespace acacia {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::string_view kReservedPathPrefix = "/.acacia/";
constexpr std::string_view kLookupPath = "/.acacia/lookup";
constexpr std::uint32_t kMinConnections = 2;
constexpr std::size_t kBodyReadBytes = 16 * 1024;
constexpr int kHttp10 = 10;
constexpr int kNotFound = 404;
// Other entries can take the request at once; the spread keeps callers that are
// refused together apart.
constexpr double kMinRetryAfterShare = 0.5;
constexpr Duration kMaxStoppingRetryAfter = std::chrono::milliseconds(200);
// A newer configuration arrives within about a second after an entry hears of
// it.
constexpr Duration kMaxOutdatedRetryAfter = std::chrono::milliseconds(600);

// Counts the request as active for the lifetime of this object.
class ActiveRequest {
 public:
  explicit ActiveRequest(std::atomic<std::uint32_t>& count) : count(count) {
    ++this->count;
  }
  ~ActiveRequest() { --this->count; }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

 private:
  std::atomic<std::uint32_t>& count;
};

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// The number of connections that this entry may hold to each backend server:
// the service's limit divided by the number of live entries.
std::uint32_t ConnectionShare(const EntrySnapshot& snapshot,
                              const ServicePolicy& policy) {
  const auto alive =
      std::count_if(snapshot.members.begin(), snapshot.members.end(),
                    [](const EntryMember& member) { return member.alive; });
  const auto share = policy.max_connections_per_backend_server /
                     static_cast<std::uint32_t>(std::max<long>(alive, 1));
  return std::max(kMinConnections, share);
}

}  // namespace

ProxyExchange::ProxyExchange(EntryContext& context,
                             std::shared_ptr<CallerSession> session)
    : context(context),
      session(std::move(session)),
      caller(this->session->Connection()),
      signal(this->session->Strand()),
      watchdog(this->session->Strand()),
      metrics(&context.metrics.ForService(ServiceName())) {}

net::awaitable<bool> ProxyExchange::Run(tl::expected<void, HeadError> head) {
  const ActiveRequest active(this->context.active_requests);
  this->start_time = this->context.clock.Now();
  try {
    co_return co_await this->Answer(head);
  } catch (...) {
    this->OnException(std::current_exception());
  }
  co_return co_await this->AnswerAfterException();
}

net::awaitable<bool> ProxyExchange::Answer(tl::expected<void, HeadError> head) {
  if (!head) {
    co_return co_await this->Refuse(head.error() == HeadError::kTooLarge
                                        ? ErrorKind::kHeaderTooLarge
                                        : ErrorKind::kBadRequest);
  }
  this->is_head_request = this->caller.Head().method() == http::verb::head;
  this->caller_request_id =
      std::string(this->caller.Head()[this->context.dialect.request_id]);
  co_return co_await this->AnswerRequest();
}

void ProxyExchange::OnException(const std::exception_ptr& error) {
  LogEvent("request_broke", LogSeverity::kError)
      .With("request", this->LoggedId())
      .With("service", this->service_name)
      .With("reason", DescribeException(error));
  this->refusal = ErrorKind::kEntryFailed;
  if (this->is_dispatched) {
    try {
      this->ReportCallerLeft();
    } catch (...) {
      LogFailureOf("report_caller_left")(std::current_exception());
    }
  }
  this->CancelAttempts();
  this->Signal();
}

net::awaitable<bool> ProxyExchange::AnswerAfterException() {
  while (!this->attempts.empty() ||
         (this->exchange && this->exchange->active_uploads > 0)) {
    co_await this->WaitForSignal();
  }
  if (this->is_dispatched) {
    this->context.registry.Remove(this->exchange->id);
  }
  const bool relay_started =
      this->relaying && this->relaying->HasRelayStarted();
  if (relay_started || this->reply_begun || this->caller_failed) {
    co_return false;
  }
  // Where the request ends on the connection is not known.
  this->caller.MarkOutOfSync();
  co_return co_await this->Refuse(
      this->ErrorKindForOutcome(ErrorKind::kEntryFailed));
}

net::awaitable<bool> ProxyExchange::AnswerRequest() {
  const auto& head = this->caller.Head();
  if (const auto error = CheckRequestHead(head)) {
    this->caller.MarkOutOfSync();
    co_return co_await this->Refuse(*error);
  }
  const auto options = ReadCallerOptions(head, this->context.dialect.deadline);
  if (!options) {
    co_return co_await this->Refuse(options.error());
  }
  if (std::string_view(head.target()).starts_with(kReservedPathPrefix)) {
    co_return co_await this->AnswerLookup();
  }
  const auto snapshot = this->context.snapshot.Get();
  if (!snapshot->IsReady()) {
    co_return co_await this->Refuse(ErrorKind::kNotReady);
  }
  this->generation = snapshot->configuration->generation;
  const auto route = snapshot->router->Find(
      head[http::field::host], PathOf(head.target()), head.method_string());
  if (!route) {
    co_return co_await this->Refuse(route.error());
  }
  co_return co_await this->ProxyTo(snapshot, **route, *options);
}

net::awaitable<bool> ProxyExchange::AnswerLookup() {
  const auto target = ParseTarget(this->caller.Head().target());
  const auto snapshot = this->context.snapshot.Get();
  if (!target || target->path != kLookupPath) {
    co_return co_await this->Refuse(ErrorKind::kNoRoute);
  }
  if (this->caller.Head().method() != http::verb::get) {
    co_return co_await this->Refuse(ErrorKind::kMethodNotAllowed);
  }
  if (!snapshot->IsReady()) {
    co_return co_await this->Refuse(ErrorKind::kNotReady);
  }
  const ServiceName name(target->Parameter("service"));
  const auto subset = snapshot->subsets.find(name);
  if (subset == snapshot->subsets.end()) {
    boost::json::object body{{"error", "no_service"},
                             {"service", name.Value()}};
    co_return co_await this->WriteReply(
        BuildJsonAnswer(kNotFound, boost::json::serialize(body) + "\n"));
  }
  const auto lifetime =
      std::chrono::milliseconds(this->context.settings.answer_lifetime_ms);
  const LookupAnswer answer = BuildLookupAnswer(name, subset->second, lifetime);
  constexpr int kOk = 200;
  co_return co_await this->WriteReply(BuildJsonAnswer(kOk, LookupJson(answer)));
}

net::awaitable<bool> ProxyExchange::ProxyTo(
    std::shared_ptr<const EntrySnapshot> snapshot,
    const Route& route,
    CallerOptions options) {
  this->service_name = this->ChooseService(route);
  this->metrics = &this->context.metrics.ForService(this->service_name);
  const auto account = this->Authenticate(*snapshot, route);
  if (!account) {
    co_return co_await this->Refuse(account.error());
  }
  this->service = this->context.services.Find(this->service_name);
  if (!this->service) {
    co_return co_await this->Refuse(ErrorKind::kNotReady);
  }
  if (this->caller.ContentLength() > route.max_body_bytes) {
    co_return co_await this->Refuse(ErrorKind::kBodyTooLarge);
  }
  this->PrepareExchange(*snapshot, route, options, *account);
  if (this->IsTooLateToPassOn()) {
    co_return co_await this->Refuse(ErrorKind::kStopping);
  }
  // A pipelined request is dispatched before earlier answers are written only
  // if it is idempotent and its body has been read to the end.
  bool may_begin =
      this->exchange->work.idempotent && this->exchange->body_complete;
  if (!may_begin) {
    may_begin = co_await this->AwaitTurn();
  }
  if (!may_begin) {
    co_return this->LogDropped();
  }
  // A caller that sent "Expect: 100-continue" gets a refusal before it sends
  // its body, so the body is not read before dispatch.
  if (!options.expects_continue) {
    if (const auto error = co_await this->BufferBody()) {
      co_return co_await this->Refuse(*error);
    }
  }
  if (this->caller_failed) {
    co_return this->LogDropped();
  }
  if (route.claim_keys && !options.key.empty()) {
    if (const auto error = co_await this->ClaimKey(options.key)) {
      co_return co_await this->Refuse(*error);
    }
  }
  if (this->IsTooLateToPassOn()) {
    co_return co_await this->Refuse(ErrorKind::kStopping);
  }
  if (const auto wait = this->context.quotas.Admit(this->exchange->work.account,
                                                   this->context.clock.Now())) {
    this->retry_after = *wait;
    co_return co_await this->Refuse(ErrorKind::kAccountLimited);
  }
  this->is_charged = true;
  co_return co_await this->Dispatch();
}

tl::expected<const ClientAccount*, ErrorKind> ProxyExchange::Authenticate(
    const EntrySnapshot& snapshot,
    const Route& route) const {
  std::vector<std::string_view> authorization;
  const auto [begin, end] =
      this->caller.Head().equal_range(http::field::authorization);
  for (auto field = begin; field != end; ++field) {
    authorization.push_back(field->value());
  }
  return AuthenticateCaller(authorization, route, *snapshot.configuration,
                            this->context.configuration_age.load());
}

// Logs that the connection was closed, by the caller or by an earlier answer,
// before the request was dispatched. Returns false: the connection is not kept.
bool ProxyExchange::LogDropped() {
  LogEvent("request_dropped")
      .With("request", this->LoggedId())
      .With("service", this->service_name)
      .With("reason", "connection closed before it was passed on");
  return false;
}

// Returns the route's service or, if the route splits its requests, a random
// service in proportion to the weights.
ServiceName ProxyExchange::ChooseService(const Route& route) {
  if (route.split.empty()) {
    return route.service;
  }
  double total = 0;
  for (const WeightedService& part : route.split) {
    total += part.weight;
  }
  double at = this->context.RandomFraction() * total;
  for (const WeightedService& part : route.split) {
    at -= part.weight;
    if (at < 0) {
      return part.service;
    }
  }
  return route.split.back().service;
}

void ProxyExchange::PrepareExchange(const EntrySnapshot& snapshot,
                                    const Route& route,
                                    const CallerOptions& options,
                                    const ClientAccount* account) {
  const auto& head = this->caller.Head();
  Exchange& prepared = this->exchange.emplace();
  prepared.body_share.emplace(this->context.buffers);
  prepared.id = this->context.NextRequest();
  const Duration allowed =
      std::min(route.deadline, options.deadline.value_or(route.deadline));
  prepared.work.request = prepared.id;
  prepared.work.work_class = route.work_class;
  prepared.work.account = options.account;
  prepared.work.rank = route.priority;
  prepared.work.max_attempts = route.max_attempts;
  prepared.work.latency_key = route.name;
  prepared.work.target_latency = route.target_latency;
  prepared.work.body_bytes = this->caller.ContentLength();
  prepared.replayable_bytes = this->context.settings.replayable_body_bytes;
  prepared.work.idempotent = IsIdempotent(route, head.method_string(), options);
  prepared.deadline = this->start_time + allowed;
  prepared.policy = snapshot.views.at(this->service_name).policy;
  prepared.max_connections = ConnectionShare(snapshot, prepared.policy);
  prepared.max_body_bytes = route.max_body_bytes;
  prepared.is_head_request = head.method() == http::verb::head;
  prepared.caller_is_http10 = head.version() == kHttp10;
  prepared.keep_alive = this->caller.WantsKeepAlive();
  prepared.must_send_continue = options.expects_continue;
  prepared.is_chunked = this->caller.HasChunkedBody();
  prepared.has_body =
      prepared.is_chunked || head.count(http::field::content_length) > 0;
  prepared.body_complete = this->caller.IsBodyDone();
  this->PrepareHead();
  if (snapshot.configuration->keyed_accounts) {
    this->PrepareAccount(account);
  }
}

// The request runs on the account that its key belongs to, or on none, whatever
// else the caller claims. Backend servers are told the account, never the key.
void ProxyExchange::PrepareAccount(const ClientAccount* account) {
  http::request_header<>& head = this->exchange->head;
  Work& work = this->exchange->work;
  const std::string& name_header = this->context.dialect.account;
  work.account = account == nullptr ? AccountId() : account->id;
  if (account != nullptr) {
    work.rank = account->priority.value_or(work.rank);
  }
  if (HoldsKey(head[http::field::authorization])) {
    head.erase(http::field::authorization);
  }
  if (!name_header.empty()) {
    head.erase(name_header);
  }
  if (!name_header.empty() && account != nullptr) {
    head.set(name_header, account->id.Value());
  }
}

// Prepares the part of the head that all attempts share. Each attempt adds its
// own headers in ProxyAttempt::BuildHead.
void ProxyExchange::PrepareHead() {
  Exchange& prepared = *this->exchange;
  prepared.head = this->caller.Head();
  http::request_header<>& head = prepared.head;
  StripHopByHop(head);
  head.erase(http::field::expect);
  prepared.caller_request_id = this->caller_request_id;
  head.erase(this->context.dialect.request_id);
  head.version(11);
  head.insert(http::field::via, "1.1 " + this->context.settings.instance);
  if (prepared.is_chunked) {
    head.set(http::field::transfer_encoding, "chunked");
  }
  const auto parent = ParseTraceparent(head[kTraceHeader]);
  if (parent) {
    this->parent_span = parent->span;
    prepared.trace = this->context.NewChild(*parent);
  } else if (this->context.spans.IsOn()) {
    this->parent_span = 0;
    prepared.trace = this->context.NewTrace();
  }
}

// Reads the body up to the size that can be replayed. A small request therefore
// occupies no slot while a slow caller sends it, and can be retried.
net::awaitable<std::optional<ErrorKind>> ProxyExchange::BufferBody() {
  Exchange& request = *this->exchange;
  // The whole body at once, so that uploads do not keep one another from being
  // completed.
  const std::size_t declared = std::min<std::uint64_t>(
      this->caller.ContentLength(), request.replayable_bytes);
  if (!request.ReserveBody(declared)) {
    co_return ErrorKind::kBuffersFull;
  }
  std::vector<char> scratch;
  while (!request.body_complete &&
         request.body_prefix.size() < request.replayable_bytes) {
    scratch.resize(std::min(
        kBodyReadBytes, request.replayable_bytes - request.body_prefix.size()));
    const bool has_room =
        !request.is_chunked ||
        request.ReserveBody(request.body_prefix.size() + scratch.size());
    if (!has_room) {
      co_return ErrorKind::kBuffersFull;
    }
    this->EnableCallerTimeout(true);
    this->is_reading_body = true;
    const auto read = co_await this->caller.ReadBody(net::buffer(scratch));
    this->is_reading_body = false;
    this->EnableCallerTimeout(false);
    if (this->refusal) {
      this->caller.MarkOutOfSync();
      co_return *this->refusal;
    }
    if (!read) {
      if (read.error() == BodyError::kMalformed) {
        this->caller.MarkOutOfSync();
        co_return ErrorKind::kBadRequest;
      }
      this->caller_failed = read.error();
      co_return std::nullopt;
    }
    if (!request.AddBodyBytes({scratch.data(), *read},
                              this->caller.IsBodyDone())) {
      this->caller.MarkOutOfSync();
      co_return ErrorKind::kBodyTooLarge;
    }
  }
  if (request.body_complete && request.is_chunked) {
    // The whole body is buffered, so it is sent with a Content-Length instead.
    request.is_chunked = false;
    request.head.erase(http::field::transfer_encoding);
  }
  co_return std::nullopt;
}

net::awaitable<std::optional<ErrorKind>> ProxyExchange::ClaimKey(
    std::string key) {
  auto reply = std::make_shared<std::optional<schema::KeyClaimReplyT>>();
  schema::KeyClaimT claim;
  claim.request = this->exchange->id.Value();
  claim.service = this->service_name.Value();
  claim.account = this->exchange->work.account.Value();
  claim.key = std::move(key);
  KeyClaimDone done = [reply, self = this->shared_from_this()](
                          const schema::KeyClaimReplyT& result) {
    net::post(self->Strand(), [reply, self, result] {
      *reply = result;
      self->Signal();
    });
  };
  this->context.claim_key(std::move(claim), std::move(done));
  while (!*reply) {
    co_await this->WaitForSignal();
  }
  if (!(*reply)->known) {
    co_return ErrorKind::kKeyUnverifiable;
  }
  if (!(*reply)->granted) {
    co_return ErrorKind::kDuplicateKey;
  }
  co_return std::nullopt;
}

// Logs the refusal and writes the error answer. Keeps the connection only if
// the rest of the request is small and well-formed.
net::awaitable<bool> ProxyExchange::Refuse(ErrorKind kind) {
  if (kind == ErrorKind::kBuffersFull) {
    this->retry_after = std::chrono::duration_cast<Duration>(
        kDefaultRetryAfter *
        (kMinRetryAfterShare + this->context.RandomFraction()));
  }
  if (kind == ErrorKind::kStopping) {
    this->retry_after = std::chrono::duration_cast<Duration>(
        this->context.RandomFraction() * kMaxStoppingRetryAfter);
  }
  if (kind == ErrorKind::kConfigurationOutdated) {
    this->retry_after = std::chrono::duration_cast<Duration>(
        kMaxOutdatedRetryAfter *
        (kMinRetryAfterShare +
         (1 - kMinRetryAfterShare) * this->context.RandomFraction()));
  }
  if (this->is_charged && AnswerFor(kind).outcome == Outcome::kNotRun) {
    this->context.quotas.Return(this->exchange->work.account);
  }
  this->LogRefusal(kind);
  this->metrics->errors[static_cast<std::size_t>(kind)]->Increment();
  this->WriteSpan(AnswerFor(kind).name);
  co_return co_await this->WriteReply(BuildErrorAnswer(
      kind, FormatRetryAfter(this->retry_after,
                             this->context.dialect.fractional_retry_after)));
}

net::awaitable<bool> ProxyExchange::WriteReply(StringResponse reply) {
  // A connection that is to be closed is answered before its caller has sent
  // the rest.
  bool may_keep_open = !this->MustClose();
  if (may_keep_open) {
    may_keep_open = co_await this->DiscardBody();
  }
  if (!co_await this->AwaitTurn()) {
    co_return false;
  }
  const bool keep_open = may_keep_open && !this->MustClose();
  reply.keep_alive(keep_open);
  if (this->is_head_request) {
    reply.body().clear();
  }
  if (!keep_open) {
    this->OnClosingAnswer();
  }
  this->EnableCallerTimeout(true);
  this->reply_begun = true;
  const auto [error, bytes] =
      co_await http::async_write(this->caller.Socket(), reply, kAwait);
  this->EnableCallerTimeout(false);
  if (!error && !keep_open) {
    co_await this->session->CloseGracefully(this->IsCallerSending());
  }
  co_return !error && keep_open;
}

bool ProxyExchange::IsCallerSending() const {
  return this->exchange && !this->exchange->body_complete;
}

// Reads and discards the rest of the body. Returns true if the connection can
// carry another request.
net::awaitable<bool> ProxyExchange::DiscardBody() {
  if (this->allows_pipelining) {
    co_return this->exchange->keep_alive;
  }
  if (!this->caller.IsInSync() || !this->caller.WantsKeepAlive()) {
    co_return false;
  }
  if (this->caller.IsBodyDone()) {
    co_return true;
  }
  const bool large = this->caller.ContentLength() > kReplayableBodyBytes;
  if (large || this->caller.HasChunkedBody() ||
      this->caller.Head().count(http::field::expect) > 0) {
    co_return false;
  }
  std::vector<char> scratch(kBodyReadBytes);
  this->EnableCallerTimeout(true);
  while (!this->caller.IsBodyDone()) {
    if (!co_await this->caller.ReadBody(net::buffer(scratch))) {
      co_return false;
    }
  }
  co_return true;
}

// Returns the caller's request id or, if it sent none, the internal one.
std::string ProxyExchange::LoggedId() const {
  if (!this->caller_request_id.empty() || !this->exchange) {
    return this->caller_request_id;
  }
  return std::to_string(this->exchange->id.Value());
}

void ProxyExchange::LogRefusal(ErrorKind kind) {
  const ErrorAnswer& answer = AnswerFor(kind);
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->context.clock.Now() - this->start_time);
  LogEvent event(
      answer.outcome == Outcome::kNotRun ? "request_refused" : "request_failed",
      LogSeverity::kWarning);
  event.With("request", this->LoggedId())
      .With("service", this->service_name)
      .With("route", this->exchange ? this->exchange->work.latency_key : "")
      .With("error", answer.name)
      .With("ms", waited.count())
      .With("retry_after_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(
                this->retry_after)
                .count())
      .With("generation", this->generation);
  if (kind == ErrorKind::kQuarantined) {
    event.With("fingerprint", this->exchange->work.fingerprint);
  }
}

void ProxyExchange::WriteSpan(std::string_view result) {
  if (!this->context.spans.IsOn() || !this->exchange) {
    return;
  }
  Span span{"request", this->exchange->trace, this->parent_span, {}, {}, {}};
  span.duration = this->context.clock.Now() - this->start_time;
  span.start = this->context.clock.UnixNow() -
               std::chrono::duration_cast<UnixTime>(span.duration);
  span.tags = {{"service", this->service_name.Value()},
               {"instance", this->context.settings.instance},
               {"result", std::string(result)}};
  this->context.spans.Write(span);
}

}  // namespace acacia
