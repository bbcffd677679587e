#include "test/proxy_fixture.h"

namespace acacia {
namespace {

const std::string kGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string kPost =
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb";

struct Case {
  std::string name;
  std::string answer;
  int status;
  std::string error;
  std::string outcome;
};

TEST_CASE("a request without an answer is reported with its true outcome") {
  const std::vector<Case> cases{
      {"closed at once", "", 502, "backend_broken", "unknown"},
      {"head cut short", "HTTP/1.1 200 OK\r\nConte", 502, "backend_broken",
       "unknown"},
      {"no HTTP", "garbage\r\n\r\n", 502, "backend_broken", "unknown"},
      {"switching", "HTTP/1.1 101 Switching\r\n\r\n", 502, "backend_broken",
       "unknown"},
      {"another's answer",
       "HTTP/1.1 200 OK\r\nAcacia-Request-Id: other\r\n"
       "Content-Length: 1\r\n\r\na",
       502, "wrong_answer", "unknown"},
      {"refused",
       "HTTP/1.1 503 Busy\r\nAcacia-Outcome: not-run\r\n"
       "Content-Length: 0\r\n\r\n",
       503, "", "not-run"}};
  for (const Case& each : cases) {
    std::atomic<int> runs{0};
    ProxyFixture fixture([&](TextStream& stream, const std::string&) {
      ++runs;
      stream.Send(each.answer);
      return each.error.empty();
    });
    fixture.Start();
    const std::string answer = fixture.RoundTrip(kPost);
    INFO(each.name << ": " << answer);
    CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(each.status)));
    if (!each.error.empty()) {
      CHECK(Field(answer, "Acacia-Error") == each.error);
      CHECK(runs == 1);
    }
    CHECK(Field(answer, "Acacia-Outcome") == each.outcome);
  }
}

TEST_CASE("a silent connection ends at the progress timeout, as unknown") {
  std::atomic<int> runs{0};
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    ++runs;
    stream.ReadToEnd();
    return false;
  });
  fixture.Service().progress_timeout_ms = 100;
  fixture.Start();
  const std::string answer = fixture.RoundTrip(kPost);
  CHECK(Field(answer, "Acacia-Error") == "backend_timeout");
  CHECK(Field(answer, "Acacia-Outcome") == "unknown");
  CHECK(runs == 1);
}

TEST_CASE("the deadline bounds the wait for a short answer") {
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    stream.ReadToEnd();
    return false;
  });
  fixture.Service().progress_timeout_ms = 3600000;
  fixture.Start();
  const std::string answer = fixture.RoundTrip(
      "GET / HTTP/1.1\r\nHost: x\r\nAcacia-Deadline-Ms: 100\r\n\r\n");
  CHECK(Field(answer, "Acacia-Error") == "backend_timeout");
}

TEST_CASE("a backend server that cannot be reached did not run the request") {
  ProxyFixture fixture([](TextStream&, const std::string&) { return false; });
  fixture.Service().backend_servers[0]->address = "127.0.0.1:1";
  fixture.Start();
  CHECK(Field(fixture.RoundTrip(kPost), "Acacia-Outcome") == "not-run");
  CHECK(fixture.backend.Accepted() == 0);
}

TEST_CASE("a truncated answer never looks complete") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string answer =
      GENERATE_COPY(head + "Content-Length: 10\r\n\r\nabc",
                    head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc");
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    stream.Send(answer);
    return false;
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(kPost);
  const std::string got = caller.ReadToEnd();
  INFO(got);
  CHECK(BodyOf(got).find("0\r\n\r\n") == std::string::npos);
  CHECK(BodyOf(got).size() < 10);
}

TEST_CASE("bytes after an answer never reach the next request") {
  std::atomic<int> runs{0};
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    const std::string surplus = runs++ == 0 ? Ok("stray") : "";
    return stream.Send(Ok("own") + surplus);
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  for (int i = 0; i < 3; ++i) {
    caller.Send(kGet);
    CHECK(BodyOf(caller.ReadMessage()) == "own");
  }
  CHECK(fixture.backend.Accepted() == 2);
}

TEST_CASE("a caller that leaves cancels its request") {
  std::promise<void> arrived;
  std::promise<std::string> rest;
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    arrived.set_value();
    rest.set_value(stream.ReadToEnd());
    return false;
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(kGet);
  arrived.get_future().wait();
  caller.Close();
  CHECK(rest.get_future().get().empty());
}

TEST_CASE("a claimed or unverifiable idempotency key runs nothing") {
  ProxyFixture fixture([](TextStream& stream, const std::string&) {
    return stream.Send(Ok("ran"));
  });
  fixture.file_set.routes[0]->claim_keys = true;
  schema::KeyClaimReplyT reply;
  fixture.agent.claim = [&](const schema::KeyClaimT& claim) {
    reply.request = claim.request;
    return reply;
  };
  fixture.Start();
  const std::string post =
      "POST / HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
      "Content-Length: 0\r\n\r\n";
  CHECK(Field(fixture.RoundTrip(post), "Acacia-Error") == "key_unverifiable");
  reply.known = true;
  CHECK(Field(fixture.RoundTrip(post), "Acacia-Error") == "duplicate_key");
  CHECK(fixture.backend.Accepted() == 0);
  reply.granted = true;
  CHECK(BodyOf(fixture.RoundTrip(post)) == "ran");
}

TEST_CASE("an entry without a configuration says so") {
  ProxyFixture fixture([](TextStream&, const std::string&) { return false; });
  fixture.agent.on_connected = [] {};
  fixture.StartEntry();
  CHECK(Field(fixture.RoundTrip(kGet), "Acacia-Error") == "not_ready");
}

}  // namespace
}  // namespace acacia
