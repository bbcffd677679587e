// Pipelining: callers that send further requests before the first is answered.
#include "test/proxy_fixture.h"

namespace acacia {
namespace {

std::string Get(const std::string& path, const std::string& more = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + more + "\r\n";
}

std::string Post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
}

// A thread-safe counter whose value other threads can wait for.
class Counter {
 public:
  int Add() {
    const std::lock_guard lock(this->mutex);
    this->changed.notify_all();
    return ++this->value;
  }
  int Value() {
    const std::lock_guard lock(this->mutex);
    return this->value;
  }
  void WaitFor(int minimum) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [&] { return this->value >= minimum; });
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  int value = 0;
};

// Returns false once a stopping entry accepts no more connections.
bool Accepts(std::uint16_t port) {
  boost::asio::io_context context;
  Tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(Loopback(port), error);
  return !error;
}

TEST_CASE("pipelined requests run concurrently and are answered in order") {
  Counter arrived;
  ProxyFixture fixture([&](TextStream& stream, const std::string& request) {
    arrived.Add();
    // The first is answered last.
    arrived.WaitFor(request.starts_with("GET /1") ? 3 : 1);
    return stream.Send(Ok(request.substr(4, 2)));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  CHECK(BodyOf(caller.ReadMessage()) == "/1");
  CHECK(BodyOf(caller.ReadMessage()) == "/2");
  CHECK(BodyOf(caller.ReadMessage()) == "/3");
  caller.Send(Get("/4"));
  CHECK(BodyOf(caller.ReadMessage()) == "/4");
}

TEST_CASE("more requests than are served at a time are all answered in order") {
  ProxyFixture fixture([](TextStream& stream, const std::string& request) {
    return stream.Send(Ok(request.substr(4, request.find(' ', 4) - 4)));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  constexpr int kRequests = 50;
  std::string all;
  for (int i = 0; i < kRequests; ++i) {
    all += Get("/" + std::to_string(i));
  }
  caller.Send(all);
  for (int i = 0; i < kRequests; ++i) {
    CHECK(BodyOf(caller.ReadMessage()) == "/" + std::to_string(i));
  }
}

TEST_CASE("non-idempotent work waits for all earlier answers") {
  Counter posts;
  Counter gets;
  std::atomic<int> posts_before_answers{0};
  ProxyFixture fixture([&](TextStream& stream, const std::string& request) {
    if (request.starts_with("POST")) {
      posts.Add();
    } else if (!request.starts_with("GET /4")) {
      gets.Add();
      gets.WaitFor(2);
      posts_before_answers += posts.Value();
    }
    return stream.Send(Ok(request.substr(0, 4)));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(Get("/1") + Get("/2") + Post("/3") + Get("/4"));
  CHECK(BodyOf(caller.ReadMessage()) == "GET ");
  CHECK(BodyOf(caller.ReadMessage()) == "GET ");
  CHECK(BodyOf(caller.ReadMessage()) == "POST");
  CHECK(BodyOf(caller.ReadMessage()) == "GET ");
  CHECK(posts_before_answers == 0);
}

TEST_CASE(
    "requests after an answer that closes the connection are not dispatched") {
  Counter arrived;
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    arrived.Add();
    return stream.Send(Ok("last"));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(Get("/1", "Connection: close\r\n") + Get("/2") + Post("/3"));
  const std::string answer = caller.ReadMessage();
  CHECK(BodyOf(answer) == "last");
  CHECK(Field(answer, "connection") == "close");
  CHECK(caller.ReadToEnd().empty());
  CHECK(arrived.Value() == 1);
}

TEST_CASE("requests after a malformed request are not dispatched") {
  Counter arrived;
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    arrived.Add();
    return stream.Send(Ok("whole"));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(Get("/1") + "GET /2 HTTP/1.1\r\nno colon\r\n\r\n" + Post("/3"));
  CHECK(BodyOf(caller.ReadMessage()) == "whole");
  CHECK(caller.ReadMessage().starts_with("HTTP/1.1 400"));
  CHECK(caller.ReadToEnd().empty());
  CHECK(arrived.Value() == 1);
}

TEST_CASE("a caller that leaves ends all of its attempts") {
  Counter arrived;
  Counter ended;
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    arrived.Add();
    stream.ReadToEnd();
    ended.Add();
    return false;
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  arrived.WaitFor(3);
  caller.Close();
  ended.WaitFor(3);
  CHECK(arrived.Value() == 3);
}

TEST_CASE(
    "a stop answers all requests read from a connection, then closes it") {
  Counter arrived;
  Counter stopping;
  ProxyFixture fixture([&](TextStream& stream, const std::string& request) {
    arrived.Add();
    stopping.WaitFor(1);
    return stream.Send(Ok(request.substr(4, 2)));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(Get("/1") + Get("/2"));
  arrived.WaitFor(2);
  const std::uint16_t port = fixture.entry->CallerPort();
  fixture.entry->BeginStop();
  while (Accepts(port)) {
    std::this_thread::yield();
  }
  stopping.Add();
  const std::string first = caller.ReadMessage();
  CHECK(BodyOf(first) == "/1");
  CHECK(Field(first, "connection").empty());
  const std::string second = caller.ReadMessage();
  CHECK(BodyOf(second) == "/2");
  CHECK(Field(second, "connection") == "close");
}

TEST_CASE("an answer without a length does not close on later requests") {
  Counter arrived;
  ProxyFixture fixture([&](TextStream& stream, const std::string& request) {
    arrived.Add();
    arrived.WaitFor(2);
    if (request.starts_with("GET /1")) {
      stream.Send("HTTP/1.1 200 OK\r\n\r\nno length");
      return false;
    }
    return stream.Send(Ok("next"));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(Get("/1") + Get("/2"));
  CHECK(Field(caller.ReadMessage(), "transfer-encoding") == "chunked");
  CHECK(caller.ReadUntil("0\r\n\r\n").find("no length") != std::string::npos);
  CHECK(BodyOf(caller.ReadMessage()) == "next");
}

TEST_CASE("later requests get no answer after a truncated one") {
  Counter arrived;
  ProxyFixture fixture([&](TextStream& stream, const std::string& request) {
    arrived.Add();
    arrived.WaitFor(2);
    if (request.starts_with("GET /1")) {
      stream.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
      return false;
    }
    return stream.Send(Ok("next"));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(Get("/1") + Get("/2"));
  CHECK(caller.ReadToEnd().find("next") == std::string::npos);
}

}  // namespace
}  // namespace acacia
