// An entry that uses the host platform's dialect, in front of a faulty backend
// server.
#include <map>
#include <mutex>
#include <set>

#include "platform/host_dialect.h"
#include "src/fleet_pool.h"
#include "test/proxy_fixture.h"

namespace acacia {
namespace {

constexpr char kGet[] =
    "GET /b/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: abc\r\n"
    "X-Acaciaswitch-Deadline-Ms: 5000\r\n\r\n";
constexpr char kPost[] =
    "POST /b/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: abc\r\n"
    "X-Acaciaswitch-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi";

std::string SignedAnswer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Request-Id: " + id +
         "\r\nX-Acaciaswitch-Response-Signature: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Configures the scripted backend server under two names, so that a request can
// be retried on another one.
class HostFixture : public ProxyFixture {
 public:
  // `adjust` may change the entry's policy.
  explicit HostFixture(
      BackendScript script,
      std::uint32_t memory_mb = 0,
      const std::function<void(EntryPolicy&)>& adjust = [](EntryPolicy&) {})
      : ProxyFixture(std::move(script)) {
    this->settings.buffered_answer_bytes = 65536;
    this->settings.memory_mb = memory_mb;
    if (memory_mb > 0) {
      this->settings.replayable_body_bytes = memory_mb * 1024 * 1024;
    }
    EntryPolicy policy;
    policy.dialect = platform::HostDialect();
    policy.deadline_bounds_uploads = true;
    policy.make_chooser = [](const ServiceName& service, const InstanceId&,
                             RandomSource& random) {
      return std::make_unique<FleetPool>(service, FailureDomain("a"), random);
    };
    adjust(policy);
    this->settings.agent_address.clear();
    this->entry = std::make_unique<EntryServer>(this->settings, this->clock,
                                                std::move(policy));
    REQUIRE(this->entry->Listen());
    this->entry->Start();
    this->Apply();
  }

  // Applies a configuration with `backend_servers` backend servers. `addresses`
  // overrides the address of the scripted one for each.
  void Apply(const std::vector<std::string>& addresses = {},
             std::size_t backend_servers = 2) {
    auto configuration = std::make_shared<Configuration>();
    configuration->generation = this->generation;
    this->generation = this->generation.Next();
    acacia::Service service;
    service.name = ServiceName("kehto");
    service.policy.retry_window = RetryWindow{0.2, 10, std::chrono::seconds(9)};
    for (std::size_t i = 0; i < backend_servers; ++i) {
      const std::string name = "i-" + std::to_string(i + 1);
      service.backend_servers.push_back(
          {BackendId(name), FailureDomain("a"), 4,
           i < addresses.size() ? addresses[i] : this->backend.Address(),
           name});
    }
    Route route;
    route.name = "b";
    route.path_prefix = "/b/";
    route.service = service.name;
    route.max_attempts = 2;
    route.max_body_bytes = this->max_body_bytes;
    route.idempotency = Idempotency::kByMethod;
    configuration->services.emplace(service.name, service);
    configuration->routes.push_back(route);
    configuration->keyed_accounts = this->accounts;
    this->entry->ApplyConfiguration(configuration);
  }

  Generation generation{3};
  // Client accounts of the next configuration.
  std::shared_ptr<const AccountTable> accounts;
  std::uint64_t max_body_bytes = 1000;
};

// A listener whose accept queue is full, so that connecting to it never
// completes.
class FullListener {
 public:
  FullListener() : acceptor(this->context) {
    const boost::asio::ip::tcp::endpoint any(
        boost::asio::ip::address_v4::loopback(), 0);
    this->acceptor.open(any.protocol());
    this->acceptor.bind(any);
    this->acceptor.listen(0);
    for (int i = 0; i < kFillers; ++i) {
      this->fillers.emplace_back(this->context);
      this->fillers.back().async_connect(
          this->acceptor.local_endpoint(),
          [](const boost::system::error_code&) {});
    }
  }
  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  static constexpr int kFillers = 4;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<boost::asio::ip::tcp::socket> fillers;
};

TEST_CASE(
    "the request names its backend server and has the caller's request id") {
  std::string seen;
  HostFixture f([&](TextStream& stream, const std::string& request) {
    seen = request;
    return stream.Send(SignedAnswer("abc", "body"));
  });
  const std::string answer = f.RoundTrip(kPost);
  CHECK(StatusOf(answer) == 200);
  CHECK(BodyOf(answer) == "body");
  CHECK(Field(answer, "X-Acaciaswitch-Response-Signature") == "s");
  CHECK(Field(seen, "X-Acaciaswitch-Request-Id") == "abc");
  CHECK(Field(seen, "X-Acaciaswitch-Expected-Instance").starts_with("i-"));
  const int left = std::stoi(Field(seen, "X-Acaciaswitch-Deadline-Ms"));
  CHECK(left <= 5000);
  CHECK(left > 0);
}

// Guards against requests of a limited account that reach a backend server, and
// against charging for requests that did not run.
TEST_CASE("an account over its limit gets 429 until the limit is raised") {
  std::atomic<int> runs{0};
  std::atomic<bool> refuses{true};
  HostFixture f([&](TextStream& stream, const std::string&) {
    if (refuses) {
      return stream.Send(
          "HTTP/1.1 503 Service Unavailable\r\n"
          "X-Acaciaswitch-Request-Id: abc\r\n"
          "X-Acaciaswitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    ++runs;
    return stream.Send(SignedAnswer("abc", "body"));
  });
  const auto limit = [&f](double rate, double burst) {
    auto accounts = std::make_shared<AccountTable>();
    accounts->Add({AccountId("acme"), std::nullopt, rate, burst}, {"key"});
    f.accounts = accounts;
    f.Apply();
  };
  const std::string request =
      "POST /b/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: abc\r\n"
      "Authorization: Bearer key\r\nAcacia-Account: acme\r\n"
      "Content-Length: 2\r\n\r\nhi";
  limit(0.001, 2);
  CHECK(StatusOf(f.RoundTrip(request)) == 503);
  CHECK(StatusOf(f.RoundTrip(request)) == 503);
  refuses = false;
  CHECK(StatusOf(f.RoundTrip(request)) == 200);
  CHECK(StatusOf(f.RoundTrip(request)) == 200);
  const std::string answer = f.RoundTrip(request);
  CHECK(StatusOf(answer) == 429);
  CHECK(Field(answer, "Retry-After") != "");
  CHECK(runs == 2);
  limit(1000, 1000);
  CHECK(StatusOf(f.RoundTrip(request)) == 200);
}

TEST_CASE("a late answer to another request is skipped") {
  HostFixture f([](TextStream& stream, const std::string&) {
    stream.Send(SignedAnswer("other", "wrong"));
    return stream.Send(SignedAnswer("abc", "right"));
  });
  const std::string answer = f.RoundTrip(kPost);
  CHECK(StatusOf(answer) == 200);
  CHECK(BodyOf(answer) == "right");
}

TEST_CASE(
    "a success without proof, or without the request's id, is not relayed") {
  for (const std::string& forged : std::vector<std::string>{
           "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Request-Id: abc\r\n"
           "Content-Length: 1\r\n\r\nx",
           "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Response-Signature: s\r\n"
           "Content-Length: 1\r\n\r\nx",
           "garbage\r\n\r\n"}) {
    HostFixture f([&](TextStream& stream, const std::string&) {
      stream.Send(forged);
      return false;
    });
    INFO(forged);
    CHECK(StatusOf(f.RoundTrip(kPost)) == 502);
  }
}

TEST_CASE("a truncated answer to idempotent work is retried elsewhere") {
  std::atomic<int> attempts{0};
  HostFixture f([&](TextStream& stream, const std::string&) {
    if (++attempts == 1) {
      stream.Send(SignedAnswer("abc", std::string(100, 'x')).substr(0, 150));
      return false;
    }
    return stream.Send(SignedAnswer("abc", "whole"));
  });
  const std::string answer = f.RoundTrip(kGet);
  CHECK(StatusOf(answer) == 200);
  CHECK(BodyOf(answer) == "whole");
  CHECK(attempts == 2);
}

TEST_CASE(
    "a truncated answer to non-idempotent work is not reported as not run") {
  std::atomic<int> attempts{0};
  HostFixture f([&](TextStream& stream, const std::string&) {
    ++attempts;
    stream.Send(SignedAnswer("abc", std::string(100, 'x')).substr(0, 150));
    return false;
  });
  CHECK(StatusOf(f.RoundTrip(kPost)) == 502);
  CHECK(attempts == 1);
}

// The route allows two backend servers. Those that refused may be asked again
// until the request's deadline.
TEST_CASE(
    "work that did not run is retried at as many backend servers as allowed") {
  constexpr int kMaxAttempts = 32;
  std::mutex mutex;
  int attempts = 0;
  std::set<std::string> asked;
  HostFixture f([&](TextStream& stream, const std::string& request) {
    const std::lock_guard lock(mutex);
    ++attempts;
    asked.insert(Field(request, "X-Acaciaswitch-Expected-Instance"));
    return stream.Send(
        "HTTP/1.1 503 Full\r\nX-Acaciaswitch-Request-Id: abc\r\n"
        "X-Acaciaswitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  });
  f.Apply({}, 6);
  const std::string answer = f.RoundTrip(kPost);
  CHECK(StatusOf(answer) == 503);
  CHECK_FALSE(Field(answer, "Retry-After").empty());
  const std::lock_guard lock(mutex);
  CHECK(asked.size() == 2);
  CHECK(attempts >= 2);
  CHECK(attempts <= kMaxAttempts);
}

std::string PostWithId(const std::string& id) {
  std::string post = kPost;
  return post.replace(post.find("abc"), 3, id);
}

// Guards REFUSED and TWICE: a refusal written once more was taken for that of
// the next request on the connection.
TEST_CASE(
    "a refusal that is written twice is not taken for another request's") {
  enum class SecondCopy { kAtOnce, kBeforeNextAnswer, kInsteadOfNextAnswer };
  for (const SecondCopy copy :
       {SecondCopy::kAtOnce, SecondCopy::kBeforeNextAnswer,
        SecondCopy::kInsteadOfNextAnswer}) {
    for (const std::string& body : {std::string(), std::string("full")}) {
      INFO(static_cast<int>(copy) << " " << body);
      const std::string refusal =
          "HTTP/1.1 503 Full\r\nX-Acaciaswitch-Request-Id: r1\r\n"
          "X-Acaciaswitch-Not-Executed: 1\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
      std::mutex mutex;
      std::map<std::string, int> runs;
      std::set<TextStream*> refused_on;
      HostFixture f([&](TextStream& stream, const std::string& request) {
        const std::lock_guard lock(mutex);
        const std::string id = Field(request, "X-Acaciaswitch-Request-Id");
        if (id == "r1") {
          refused_on.insert(&stream);
          return stream.Send(copy == SecondCopy::kAtOnce ? refusal + refusal
                                                         : refusal);
        }
        ++runs[id];
        if (refused_on.erase(&stream) > 0 && copy != SecondCopy::kAtOnce) {
          stream.Send(refusal);
          if (copy == SecondCopy::kInsteadOfNextAnswer) {
            return false;
          }
        }
        return stream.Send(SignedAnswer(id, "body of " + id));
      });
      // A short deadline, as the request is sent again until it ends.
      std::string first = PostWithId("r1");
      first.replace(first.find("5000"), 4, "300");
      CHECK(StatusOf(f.RoundTrip(first)) == 503);
      for (const std::string id : {"r2", "r3", "r4"}) {
        const std::string answer = f.RoundTrip(PostWithId(id));
        INFO(id << ": " << answer);
        CHECK(runs[id] == 1);
        if (StatusOf(answer) == 200) {
          CHECK(BodyOf(answer) == "body of " + id);
        } else {
          CHECK(copy == SecondCopy::kInsteadOfNextAnswer);
          CHECK(StatusOf(answer) == 502);
        }
      }
    }
  }
}

// Guards MIXED: an answer that broke off in its head reached the caller as a
// whole one with an empty or short body.
TEST_CASE("an answer that ends in its head is never a success") {
  const std::vector<std::string> answers{
      SignedAnswer("abc", "body"),
      "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Request-Id: abc\r\n"
      "X-Acaciaswitch-Response-Signature: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"};
  for (const std::string& whole : answers) {
    const std::size_t head_bytes = whole.find("\r\n\r\n") + 4;
    std::atomic<std::size_t> cut{0};
    std::atomic<bool> resets{false};
    HostFixture f([&](TextStream& stream, const std::string&) {
      stream.Send(whole.substr(0, cut));
      if (resets) {
        stream.Socket().set_option(boost::asio::socket_base::linger(true, 0));
        stream.Close();
      }
      return false;
    });
    for (cut = 0; cut < head_bytes; ++cut) {
      resets = !resets;
      INFO("cut after " << cut << " bytes of: " << whole);
      CHECK(StatusOf(f.RoundTrip(kPost)) == 502);
      // Distinct requests, so that none counts as crashing backend servers.
      std::string get = kGet;
      get.replace(get.find("/b/x"), 4, "/b/" + std::to_string(cut));
      CHECK(StatusOf(f.RoundTrip(get)) == 502);
    }
  }
}

TEST_CASE("an answer that ends with its connection reaches the caller whole") {
  HostFixture f([](TextStream& stream, const std::string&) {
    stream.Send(
        "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Request-Id: abc\r\n"
        "X-Acaciaswitch-Response-Signature: s\r\n\r\nno length");
    return false;
  });
  const std::string answer = f.RoundTrip(kPost);
  CHECK(BodyOf(answer) == "no length");
  CHECK(Field(answer, "Content-Length") == "9");
}

// Sends `beginning` once, then `rest` repeatedly until the entry closes.
BackendScript EndlessAnswer(const std::string& beginning,
                            const std::string& rest) {
  return [=](TextStream& stream, const std::string&) {
    bool open = stream.Send(beginning);
    while (open) {
      open = stream.Send(rest);
    }
    return false;
  };
}

TEST_CASE("endless bytes that are no answer end the attempt early") {
  const std::string rest(4096, 'x');
  const std::string foreign_head =
      "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Request-Id: other\r\n"
      "X-Acaciaswitch-Response-Signature: s\r\nTransfer-Encoding: chunked"
      "\r\n\r\n";
  const std::string own_head = SignedAnswer("abc", "").replace(
      SignedAnswer("abc", "").find("Content-Length: 0"), 17,
      "Transfer-Encoding: chunked");
  struct Case {
    std::string beginning;
    std::string rest;
  };
  const std::vector<Case> cases{
      // No head at all, two endless heads, and an endless body of an answer to
      // another request.
      {"", rest},
      {"HTTP/1.1 200 OK\r\nX-Long: ", rest},
      {"HTTP/1.1 200 OK\r\n", "X-More: " + rest + "\r\n"},
      {foreign_head, "1000\r\n" + rest + "\r\n"},
      // An endless chunk size, chunk extension and trailer.
      {own_head, std::string(4096, '0')},
      {own_head + "1;x=", rest},
      {own_head + "0\r\nX-Long: ", rest}};
  for (const Case& each : cases) {
    INFO(each.beginning);
    HostFixture f(EndlessAnswer(each.beginning, each.rest));
    // Non-idempotent work: a single attempt, which may have run.
    const auto began = std::chrono::steady_clock::now();
    CHECK(StatusOf(f.RoundTrip(kPost)) == 502);
    // The caller's deadline is five seconds.
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(4));
    // Idempotent work is retried, with the same result.
    CHECK(StatusOf(f.RoundTrip(kGet)) == 502);
  }
}

// Guards FAULT: answers that were buffered at the same time took more memory
// than the process may use.
TEST_CASE("an answer for which no memory is left is passed on as it comes") {
  // Each takes more than a third of the memory for bodies. The first two are
  // held back halfway.
  const std::string body(60000, 'b');
  std::atomic<int> halfway{0};
  std::promise<void> go_on;
  auto released = go_on.get_future().share();
  HostFixture f(
      [&](TextStream& stream, const std::string& request) {
        const std::string id = Field(request, "X-Acaciaswitch-Request-Id");
        const std::string answer = SignedAnswer(id, body);
        const std::size_t half = answer.size() / 2;
        stream.Send(answer.substr(0, half));
        if (id != "last") {
          ++halfway;
          released.wait();
        }
        return stream.Send(answer.substr(half));
      },
      1);
  std::vector<TextStream> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(f.Connect());
    callers.back().Send(PostWithId("r" + std::to_string(i)));
  }
  while (halfway < 8) {
    std::this_thread::yield();
  }
  CHECK(BodyOf(f.RoundTrip(PostWithId("last"))) == body);
  go_on.set_value();
  for (TextStream& caller : callers) {
    CHECK(BodyOf(caller.ReadMessage()) == body);
  }
}

TEST_CASE("a body for which no memory is left is refused at once as not run") {
  std::atomic<int> arrived{0};
  HostFixture f(
      [&](TextStream& stream, const std::string&) {
        ++arrived;
        return stream.Send(SignedAnswer("abc", "body"));
      },
      1);
  f.max_body_bytes = 1024 * 1024;
  f.Apply();
  // With a length, and in chunks.
  TextStream sized = f.Connect();
  sized.Send(
      "POST /b/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: abc\r\n"
      "Content-Length: 900000\r\n\r\n");
  const std::string answer = sized.ReadMessage();
  CHECK(StatusOf(answer) == 503);
  CHECK_FALSE(Field(answer, "Retry-After").empty());
  TextStream chunked = f.Connect();
  chunked.Send(
      "POST /b/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: abc\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  for (int i = 0; i < 40; ++i) {
    chunked.Send(chunk);
  }
  CHECK(StatusOf(chunked.ReadMessage()) == 503);
  CHECK(arrived == 0);
  CHECK(StatusOf(f.RoundTrip(kPost)) == 200);
}

// Guards MIXED: what is no interim answer of HTTP reached the caller as one,
// and such answers without end did so until the deadline.
TEST_CASE("interim answers that are unknown or endless end the attempt") {
  for (const std::string status : {"099 X", "000 X", "101 X", "150 X"}) {
    INFO(status);
    HostFixture f([&](TextStream& stream, const std::string&) {
      stream.Send("HTTP/1.1 " + status + "\r\n\r\n");
      return stream.Send(SignedAnswer("abc", "body"));
    });
    CHECK(StatusOf(f.RoundTrip(kPost)) == 502);
  }
  for (const std::string status : {"100 Continue", "103 Early Hints"}) {
    INFO(status);
    HostFixture f(EndlessAnswer("", "HTTP/1.1 " + status + "\r\n\r\n"));
    const auto began = std::chrono::steady_clock::now();
    TextStream caller = f.Connect();
    caller.Send(kPost);
    std::string answer = caller.ReadMessage();
    while (StatusOf(answer) == 103) {
      answer = caller.ReadMessage();
    }
    CHECK(StatusOf(answer) == 502);
    // The caller's deadline is five seconds.
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(4));
  }
  HostFixture f([&](TextStream& stream, const std::string&) {
    stream.Send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    return stream.Send(SignedAnswer("abc", "body"));
  });
  TextStream caller = f.Connect();
  caller.Send(kPost);
  CHECK(StatusOf(caller.ReadMessage()) == 103);
  CHECK(BodyOf(caller.ReadMessage()) == "body");
}

// Guards CONFIG: an upload to a slow backend server had no answer at the
// route's time limit.
TEST_CASE("an upload that is not read in time gets its final answer") {
  std::promise<void> go_on;
  auto released = go_on.get_future().share();
  ThreadedListener server([&](TextStream& stream) {
    stream.Socket().set_option(
        boost::asio::socket_base::receive_buffer_size(16 * 1024));
    stream.ReadUntil("\r\n\r\n");
    released.wait();
  });
  HostFixture f([](TextStream&, const std::string&) { return false; });
  constexpr std::size_t kUpload = 64 * 1024 * 1024;
  f.max_body_bytes = kUpload;
  f.Apply({server.Address(), server.Address()});
  TextStream caller = f.Connect();
  const auto began = std::chrono::steady_clock::now();
  caller.Send(
      "POST /b/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: abc\r\n"
      "X-Acaciaswitch-Deadline-Ms: 600\r\nContent-Length: " +
      std::to_string(kUpload) + "\r\n\r\n");
  std::thread sender([&caller] {
    const std::string piece(64 * 1024, 'a');
    for (std::size_t sent = 0; sent < kUpload && caller.Send(piece);
         sent += piece.size()) {
    }
  });
  CHECK(StatusOf(caller.ReadMessage()) == 504);
  // The backend server's progress time-out is five seconds.
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(4));
  sender.join();
  go_on.set_value();
}

TEST_CASE("an endless chunk header of a caller is refused") {
  HostFixture f([](TextStream& stream, const std::string&) {
    return stream.Send(SignedAnswer("abc", "body"));
  });
  for (const std::string beginning : {"", "1;x="}) {
    TextStream caller = f.Connect();
    caller.Send(
        "POST /b/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: abc\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        beginning);
    const std::string piece(4096, '0');
    std::size_t sent = 0;
    while (sent < 64 * 1024 * 1024 && caller.Send(piece)) {
      sent += piece.size();
    }
    CHECK(sent < 64 * 1024 * 1024);
  }
}

TEST_CASE("an error with an endless body is relayed until the caller leaves") {
  std::atomic<bool> ended{false};
  HostFixture f([&](TextStream& stream, const std::string&) {
    bool open = stream.Send(
        "HTTP/1.1 500 Broken\r\nX-Acaciaswitch-Request-Id: abc\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    while (open) {
      open = stream.Send(chunk);
    }
    ended = true;
    return false;
  });
  TextStream caller = f.Connect();
  caller.Send(kPost);
  CHECK(caller.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 500"));
  CHECK(caller.ReadBytes(1024 * 1024).size() == 1024 * 1024);
  caller.Close();
  while (!ended) {
    std::this_thread::yield();
  }
}

// Guards LIMIT: a backend server got every request, whatever limit it named.
TEST_CASE("no more requests are passed on than a named rate limit allows") {
  std::atomic<int> arrived{0};
  HostFixture f([&](TextStream& stream, const std::string&) {
    ++arrived;
    std::string answer = SignedAnswer("abc", "body");
    answer.insert(answer.find("\r\n") + 2, "Server-Limit: 1.0\r\n");
    return stream.Send(answer);
  });
  constexpr int kRequests = 60;
  constexpr int kBackendServers = 2;
  const auto start = std::chrono::steady_clock::now();
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string answer = f.RoundTrip(i % 2 == 0 ? kGet : kPost);
    if (StatusOf(answer) == 503) {
      ++refused;
      CHECK_FALSE(Field(answer, "Retry-After").empty());
    }
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  const double window = std::max(4.0, elapsed.count());
  CHECK(arrived <= kBackendServers * (1.5 * window + 5));
  CHECK(arrived + refused == kRequests);
}

// Guards BUDGET: a request crashed one backend server after the other.
TEST_CASE("a request that crashes backend servers is kept from further ones") {
  std::atomic<int> crashed{0};
  HostFixture f([&](TextStream& stream, const std::string& request) {
    if (request.find("/b/deadly") != std::string::npos) {
      ++crashed;
      return false;
    }
    return stream.Send(SignedAnswer("abc", "body"));
  });
  f.Apply({}, 8);
  for (const std::string& kind : {std::string(kGet), std::string(kPost)}) {
    crashed = 0;
    std::string deadly = kind;
    deadly.replace(deadly.find("/b/x"), 4, "/b/deadly");
    std::string answer;
    for (int i = 0; i < 6; ++i) {
      answer = f.RoundTrip(deadly);
    }
    CHECK(crashed == 3);
    CHECK(StatusOf(answer) == 503);
    CHECK(std::stod(Field(answer, "Retry-After")) > 50);
    CHECK(StatusOf(f.RoundTrip(kind)) == 200);
  }
}

// Adds a header field to an answer.
std::string WithField(std::string answer, const std::string& field) {
  return answer.insert(answer.find("\r\n") + 2, field + "\r\n");
}

// Guards DRAIN: an answer that announced its backend server's leaving did not
// keep later requests away.
TEST_CASE(
    "requests go no more to a backend server that announced its leaving") {
  const std::string server_error =
      "HTTP/1.1 500 Broken\r\nX-Acaciaswitch-Request-Id: abc\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string refusal =
      "HTTP/1.1 503 Leaving\r\nX-Acaciaswitch-Request-Id: abc\r\n"
      "X-Acaciaswitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& last :
       {SignedAnswer("abc", "body"), server_error, refusal}) {
    INFO(last);
    std::mutex mutex;
    std::map<std::string, int> arrived;
    std::atomic<bool> all_leave{false};
    HostFixture f([&](TextStream& stream, const std::string& request) {
      const std::lock_guard lock(mutex);
      const std::string name =
          Field(request, "X-Acaciaswitch-Expected-Instance");
      ++arrived[name];
      const bool leaves = name == "i-1" || all_leave;
      return stream.Send(leaves ? WithField(last, "Server-Leaving: 1")
                                : SignedAnswer("abc", "body"));
    });
    for (int i = 0; i < 20; ++i) {
      f.RoundTrip(i % 2 == 0 ? kGet : kPost);
      f.Apply();
    }
    CHECK(arrived["i-1"] == 1);
    all_leave = true;
    f.RoundTrip(kPost);
    const int before = arrived["i-1"] + arrived["i-2"];
    CHECK(StatusOf(f.RoundTrip(kPost)) == 503);
    CHECK(arrived["i-1"] + arrived["i-2"] == before);
  }
}

// Guards BUDGET: requests went on to a backend server that had turned one away
// and asked for a pause.
TEST_CASE("requests go to no backend server in a pause that it asked for") {
  std::mutex mutex;
  std::map<std::string, int> arrived;
  std::atomic<bool> all_pause{false};
  HostFixture f([&](TextStream& stream, const std::string& request) {
    const std::lock_guard lock(mutex);
    const std::string name = Field(request, "X-Acaciaswitch-Expected-Instance");
    ++arrived[name];
    return stream.Send(
        name == "i-1" || all_pause
            ? "HTTP/1.1 503 Full\r\nX-Acaciaswitch-Request-Id: abc\r\n"
              "X-Acaciaswitch-Not-Executed: 1\r\nRetry-After: 60\r\n"
              "Content-Length: 0\r\n\r\n"
            : SignedAnswer("abc", "body"));
  });
  for (int i = 0; i < 30; ++i) {
    CHECK(StatusOf(f.RoundTrip(i % 2 == 0 ? kGet : kPost)) == 200);
  }
  CHECK(arrived["i-1"] == 1);
  all_pause = true;
  f.RoundTrip(kPost);
  const int before = arrived["i-1"] + arrived["i-2"];
  const std::string answer = f.RoundTrip(kPost);
  CHECK(StatusOf(answer) == 503);
  CHECK(std::stod(Field(answer, "Retry-After")) > 50);
  CHECK(arrived["i-1"] + arrived["i-2"] == before);
}

// A backend server that refuses a number of requests. A second copy of each
// refusal arrives late: on its connection, where the next answer is expected.
class LateCopies {
 public:
  BackendScript Script() {
    return [this](TextStream& stream, const std::string& request) {
      const std::string id = Field(request, "X-Acaciaswitch-Request-Id");
      const std::lock_guard lock(this->mutex);
      std::string& copy = this->copies[&stream];
      const bool sent = stream.Send(std::exchange(copy, std::string()));
      if (this->refusals_left == 0) {
        ++this->runs;
        return sent && stream.Send(SignedAnswer(id, "body"));
      }
      --this->refusals_left;
      copy = WithField(this->refusal, "X-Acaciaswitch-Request-Id: " + id);
      return sent && stream.Send(copy);
    };
  }
  // Refuses the next `count` requests with `status`, which may be followed by
  // header fields.
  void Refuse(int count, const std::string& status) {
    const std::lock_guard lock(this->mutex);
    this->refusals_left = count;
    this->refusal = "HTTP/1.1 " + status +
                    "\r\nX-Acaciaswitch-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n";
    this->runs = 0;
  }
  int Runs() {
    const std::lock_guard lock(this->mutex);
    return this->runs;
  }

 private:
  std::mutex mutex;
  std::map<TextStream*, std::string> copies;
  std::string refusal;
  int refusals_left = 0;
  int runs = 0;
};

// A request with this id and a deadline that leaves time for several attempts
// at the same backend server.
std::string Repeatable(std::string request, const std::string& id = "abc") {
  request.replace(request.find("abc"), 3, id);
  return request.replace(request.find("5000"), 4, "1600");
}

// Guards TWICE and REFUSED: a late copy of a refusal was taken for the answer
// to the same request, sent again on the same connection.
TEST_CASE("a late copy of a refusal does not answer the request sent again") {
  for (const std::string status : {"503 Full", "421 Misdirected", "408 Late",
                                   "429 Over\r\nRetry-After: 0.1"}) {
    for (const int backend_servers : {1, 2}) {
      for (const std::string& request : {Repeatable(kGet), Repeatable(kPost)}) {
        INFO(status << " from " << backend_servers << "\n" << request);
        LateCopies backend;
        HostFixture f(backend.Script());
        f.Apply({}, static_cast<std::size_t>(backend_servers));
        backend.Refuse(backend_servers, status);
        const std::string answer = f.RoundTrip(request);
        CHECK(StatusOf(answer) == 200);
        CHECK(BodyOf(answer) == "body");
        CHECK(backend.Runs() == 1);
      }
    }
  }
}

// Guards against a storm of new connections: a request that is sent again takes
// an open connection if there is one that has not carried it.
TEST_CASE("requests that are refused again and again open few connections") {
  constexpr int kRequests = 4;
  constexpr int kRefusals = 2;
  LateCopies backend;
  HostFixture f(backend.Script());
  f.Apply({}, 1);
  for (int i = 0; i < kRequests; ++i) {
    backend.Refuse(kRefusals, "503 Full");
    const std::string id = "id-" + std::to_string(i);
    CHECK(StatusOf(f.RoundTrip(Repeatable(kGet, id))) == 200);
  }
  CHECK(f.backend.Accepted() <= kRefusals + 1);
}

TEST_CASE("an older configuration does not replace a newer one") {
  HostFixture f([](TextStream& stream, const std::string&) {
    return stream.Send(SignedAnswer("abc", "body"));
  });
  auto older = std::make_shared<Configuration>();
  older->generation = Generation(2);
  f.entry->ApplyConfiguration(older);
  CHECK(StatusOf(f.RoundTrip(kGet)) == 200);
}

// Guards DRAIN: a request whose body arrived after its service had been dropped
// from the configuration was passed on by the registrations of that moment.
TEST_CASE(
    "a request of a service that has been dropped is refused as not run") {
  std::atomic<bool> has_run = false;
  HostFixture f([&](TextStream& stream, const std::string& request) {
    has_run = has_run || request.rfind("POST ", 0) == 0;
    return stream.Send(
        SignedAnswer(Field(request, "X-Acaciaswitch-Request-Id"), "body"));
  });
  TextStream caller = f.Connect();
  const std::string post = kPost;
  caller.Send(post.substr(0, post.size() - 1));
  // Its head has been read when many later requests have been answered.
  constexpr int kLater = 20;
  for (int i = 0; i < kLater; ++i) {
    REQUIRE(StatusOf(f.RoundTrip(kGet)) == 200);
  }
  auto without = std::make_shared<Configuration>();
  without->generation = f.generation;
  f.entry->ApplyConfiguration(without);
  caller.Send(post.substr(post.size() - 1));
  const std::string answer = caller.ReadMessage();
  CHECK(StatusOf(answer) == 503);
  CHECK_FALSE(Field(answer, "Retry-After").empty());
  CHECK_FALSE(has_run);
}

constexpr char kUrgentPost[] =
    "POST /b/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: abc\r\n"
    "X-Acaciaswitch-Deadline-Ms: 900\r\nContent-Length: 2\r\n\r\nhi";

TEST_CASE("a connection that never opens delays a request only briefly") {
  const FullListener full;
  HostFixture f([](TextStream& stream, const std::string&) {
    return stream.Send(SignedAnswer("abc", "body"));
  });
  f.Apply({full.Address()});
  for (int i = 0; i < 3; ++i) {
    CHECK(StatusOf(f.RoundTrip(kUrgentPost)) == 200);
  }
}

TEST_CASE("a request never sent is refused as not run, also at its deadline") {
  const FullListener full;
  HostFixture f([](TextStream&, const std::string&) { return false; });
  f.Apply({full.Address(), full.Address()});
  const std::string answer = f.RoundTrip(kUrgentPost);
  CHECK(StatusOf(answer) == 503);
  CHECK_FALSE(Field(answer, "Retry-After").empty());
}

// Throws where a backend server is chosen.
class FailingPool : public FleetPool {
 public:
  using FleetPool::FleetPool;
  PooledBackend* Pick(const PickRequest& request, TimePoint now) override {
    if (this->failing) {
      throw std::bad_alloc();
    }
    return FleetPool::Pick(request, now);
  }

  inline static std::atomic<bool> failing{false};
};

// Guards LOST: a request whose handling threw before anything was sent got no
// answer.
TEST_CASE("a request that the entry fails before it is sent is refused") {
  std::atomic<int> attempts{0};
  HostFixture f(
      [&](TextStream& stream, const std::string&) {
        ++attempts;
        return stream.Send(SignedAnswer("abc", "body"));
      },
      0,
      [](EntryPolicy& policy) {
        policy.make_chooser = [](const ServiceName& service, const InstanceId&,
                                 RandomSource& random) {
          return std::make_unique<FailingPool>(service, FailureDomain("a"),
                                               random);
        };
      });
  for (const std::string& request : {std::string(kGet), std::string(kPost)}) {
    FailingPool::failing = true;
    const std::string answer = f.RoundTrip(request);
    FailingPool::failing = false;
    CHECK(StatusOf(answer) == 503);
    CHECK(Field(answer, "Acacia-Error") == "entry_failed");
    CHECK_FALSE(Field(answer, "Retry-After").empty());
    CHECK(attempts == 0);
  }
  CHECK(StatusOf(f.RoundTrip(kPost)) == 200);
}

// Guards LOST and REFUSED: a request whose handling threw after it was sent was
// answered only at its deadline, and its backend server's slot stayed taken
// until then.
TEST_CASE("a request that the entry fails after it was sent is answered") {
  std::atomic<int> attempts{0};
  std::atomic<bool> failing{true};
  HostFixture f(
      [&](TextStream& stream, const std::string&) {
        ++attempts;
        return stream.Send(SignedAnswer("abc", "body"));
      },
      0,
      [&](EntryPolicy& policy) {
        policy.dialect.announces_leaving = [&](const auto&) {
          if (failing) {
            throw std::bad_alloc();
          }
          return false;
        };
      });
  // More than the slots of both backend servers.
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    const std::string answer = f.RoundTrip(i % 2 == 0 ? kPost : kGet);
    CHECK(StatusOf(answer) == 500);
    CHECK(Field(answer, "Acacia-Error") == "internal");
  }
  CHECK(attempts == kRequests);
  failing = false;
  CHECK(StatusOf(f.RoundTrip(kPost)) == 200);
}

// Guards FAULT: an exception of a handler outside of any request ended the
// process.
TEST_CASE("an entry outlives a handler that throws") {
  HostFixture f([&](TextStream& stream, const std::string&) {
    return stream.Send(SignedAnswer("abc", "body"));
  });
  for (int i = 0; i < 10; ++i) {
    boost::asio::post(f.entry->Executor(), [] { throw std::bad_alloc(); });
    CHECK(StatusOf(f.RoundTrip(kPost)) == 200);
  }
}

}  // namespace
}  // namespace acacia
