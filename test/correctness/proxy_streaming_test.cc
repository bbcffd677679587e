#include "test/proxy_fixture.h"

namespace acacia {
namespace {

TEST_CASE("answers without a body leave the connection usable") {
  ProxyFixture fixture([](TextStream& stream, const std::string& request) {
    if (request.starts_with("HEAD")) {
      return stream.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    }
    if (request.starts_with("GET /304")) {
      return stream.Send("HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n");
    }
    if (request.starts_with("GET /204")) {
      return stream.Send("HTTP/1.1 204 No Content\r\n\r\n");
    }
    return stream.Send("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
                       Ok("body"));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  const auto ask = [&](const std::string& line) {
    caller.Send(line + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.ReadUntil("\r\n\r\n");
  };
  CHECK(Field(ask("HEAD /"), "Content-Length") == "5");
  CHECK(ask("GET /204").starts_with("HTTP/1.1 204"));
  CHECK(ask("GET /304").starts_with("HTTP/1.1 304"));
  CHECK(ask("GET /").starts_with("HTTP/1.1 103"));
  CHECK(BodyOf(caller.ReadMessage()) == "body");
  CHECK(fixture.backend.Accepted() == 1);
}

TEST_CASE("chunked bodies go both ways, also for answers without a length") {
  ProxyFixture fixture([](TextStream& stream, const std::string& request) {
    if (request.starts_with("GET")) {
      stream.Send("HTTP/1.1 200 OK\r\n\r\nto the end");
      return false;
    }
    return stream.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       std::string("3\r\nabc\r\n0\r\n\r\n") + BodyOf(request));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n");
  CHECK(BodyOf(caller.ReadUntil("0\r\n\r\n")) == "3\r\nabc\r\n0\r\n\r\n");
  for (int i = 0; i < 2; ++i) {
    caller.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string answer = caller.ReadUntil("0\r\n\r\n");
    CHECK(BodyOf(answer) == "a\r\nto the end\r\n0\r\n\r\n");
    CHECK(Field(answer, "Transfer-Encoding") == "chunked");
    CHECK(Field(answer, "Connection").empty());
  }
  // A caller that does not know chunks.
  TextStream older = fixture.Connect();
  older.Send("GET / HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n");
  const std::string last = older.ReadToEnd();
  CHECK_FALSE(older.WasReset());
  CHECK(BodyOf(last) == "to the end");
  CHECK(Field(last, "Connection") == "close");
}

// Guards MIXED: an answer without a length that the end of the entry cut short
// looked complete.
TEST_CASE("the end of the entry is never the end of an answer") {
  for (const std::string version : {"1.1", "1.0"}) {
    INFO(version);
    ProxyFixture fixture([](TextStream& stream, const std::string&) {
      stream.Send("HTTP/1.1 200 OK\r\n\r\nthe beginning");
      stream.ReadToEnd();
      return false;
    });
    fixture.Start();
    TextStream caller = fixture.Connect();
    caller.Send("GET / HTTP/" + version + "\r\nHost: x\r\n\r\n");
    caller.ReadUntil("the beginning");
    fixture.entry.reset();
    const std::string rest = caller.ReadToEnd();
    const bool is_marked = version == "1.1"
                               ? rest.find("0\r\n\r\n") == std::string::npos
                               : caller.WasReset();
    CHECK(is_marked);
  }
}

TEST_CASE("hop-by-hop and Acacia headers are not forwarded") {
  std::string seen;
  ProxyFixture fixture([&](TextStream& stream, const std::string& request) {
    seen = request;
    return stream.Send(
        "HTTP/1.1 200 OK\r\nConnection: X-Back\r\nX-Back: 1\r\n"
        "Acacia-Error: forged\r\nAcacia-Request-Id: " +
        Field(request, "Acacia-Request-Id") +
        "\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n");
  });
  fixture.Start();
  const std::string trace =
      "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01";
  const std::string answer = fixture.RoundTrip(
      "GET / HTTP/1.1\r\nHost: x\r\nConnection: X-Drop, Host\r\nX-Drop: 1\r\n"
      "Keep-Alive: 1\r\nTE: trailers\r\nAcacia-Request-Id: forged\r\n"
      "X-Kept: 1\r\ntraceparent: " +
      trace + "\r\n\r\n");
  for (const char* gone : {"X-Drop", "Keep-Alive", "TE", "Connection"}) {
    CHECK(Field(seen, gone).empty());
  }
  CHECK(Field(seen, "Host") == "x");
  CHECK(Field(seen, "X-Kept") == "1");
  CHECK(Field(seen, "Acacia-Request-Id") != "forged");
  CHECK(Field(seen, "traceparent").substr(0, 36) == trace.substr(0, 36));
  for (const char* gone : {"X-Back", "Acacia-Error", "Acacia-Request-Id"}) {
    CHECK(Field(answer, gone).empty());
  }
  CHECK(Field(answer, "X-Kept") == "1");
}

TEST_CASE(
    "a caller that expects 100-continue gets it or an immediate refusal") {
  ProxyFixture fixture([](TextStream& stream, const std::string& request) {
    return stream.Send(Ok(BodyOf(request)));
  });
  fixture.AddRoute("/none").methods = {"GET"};
  fixture.file_set.routes.erase(fixture.file_set.routes.begin());
  fixture.AddRoute("/yes");
  fixture.Start();
  const std::string rest =
      " HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
      "Content-Length: 3\r\n\r\n";
  CHECK(fixture.RoundTrip("POST /none" + rest).starts_with("HTTP/1.1 405"));
  TextStream caller = fixture.Connect();
  caller.Send("POST /yes" + rest);
  CHECK(caller.ReadUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  caller.Send("abc");
  CHECK(BodyOf(caller.ReadMessage()) == "abc");
}

TEST_CASE("a steady upload outlives its deadline") {
  ProxyFixture fixture([](TextStream& stream, const std::string& request) {
    return stream.Send(Ok(std::to_string(BodyOf(request).size())));
  });
  fixture.file_set.routes[0]->deadline_ms = 20;
  fixture.file_set.routes[0]->work_class = schema::WorkClass::Long;
  fixture.Service().progress_timeout_ms = 3600000;
  fixture.Start();
  constexpr int kPieces = 12;
  const std::string piece(20000, 'a');
  TextStream caller = fixture.Connect();
  caller.Send("PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(kPieces * piece.size()) + "\r\n\r\n");
  for (int i = 0; i < kPieces; ++i) {
    // The entry reads the first 64 KiB before it dispatches the request.
    if (i * piece.size() > 64 * 1024) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    caller.Send(piece);
  }
  CHECK(BodyOf(caller.ReadMessage()) == std::to_string(kPieces * piece.size()));
}

TEST_CASE("an upload waits for its backend server instead of filling memory") {
  constexpr std::size_t kUpload = 100 * 1024 * 1024;
  constexpr std::size_t kMaxBufferedBytes = 32 * 1024 * 1024;
  std::promise<void> go_on;
  auto released = go_on.get_future().share();
  ThreadedListener server([&](TextStream& stream) {
    stream.Socket().set_option(
        boost::asio::socket_base::receive_buffer_size(64 * 1024));
    stream.ReadUntil("\r\n\r\n");
    released.wait();
    stream.Send(Ok(std::to_string(stream.ReadBytes(kUpload).size())));
  });
  ProxyFixture fixture([](TextStream&, const std::string&) { return false; });
  fixture.Service().backend_servers[0]->address = server.Address();
  fixture.Service().progress_timeout_ms = 3600000;
  fixture.file_set.routes[0]->work_class = schema::WorkClass::Long;
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send("PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(kUpload) + "\r\n\r\n");
  std::atomic<std::size_t> sent{0};
  std::thread sender([&] {
    const std::string piece(64 * 1024, 'a');
    while (sent < kUpload && caller.Send(piece)) {
      sent += piece.size();
    }
  });
  // Bytes that the backend server has not read are held by sockets and the
  // entry. Without back-pressure the whole upload would have been sent by now.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(sent < kMaxBufferedBytes);
  go_on.set_value();
  CHECK(BodyOf(caller.ReadMessage()) == std::to_string(kUpload));
  sender.join();
}

TEST_CASE("a stop completes the requests in flight") {
  std::promise<void> arrived;
  std::promise<void> go_on;
  ProxyFixture fixture([&](TextStream& stream, const std::string&) {
    arrived.set_value();
    go_on.get_future().wait();
    return stream.Send(Ok("whole"));
  });
  fixture.Start();
  TextStream idle = fixture.Connect();
  TextStream caller = fixture.Connect();
  caller.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  arrived.get_future().wait();
  schema::FleetUpdateT update;
  update.stop = true;
  fixture.agent.Send(std::move(update));
  fixture.agent.WaitForReport(
      [](const schema::EntryReportT& report) { return report.stopping; });
  CHECK(idle.ReadToEnd().empty());
  go_on.set_value();
  const std::string answer = caller.ReadMessage();
  CHECK(BodyOf(answer) == "whole");
  CHECK(Field(answer, "Connection") == "close");
  CHECK(caller.ReadToEnd().empty());
  fixture.agent.WaitForReport(
      [](const schema::EntryReportT& report) { return report.stopped; });
  fixture.entry->Wait();
}

TEST_CASE("an older configuration never replaces a newer one") {
  ProxyFixture fixture([](TextStream& stream, const std::string&) {
    return stream.Send(Ok("ran"));
  });
  fixture.Start();
  fixture.SendConfiguration(5);
  fixture.file_set.routes.clear();
  fixture.SendConfiguration(4);
  schema::FleetUpdateT update;
  update.sequence = 9;
  fixture.agent.Send(std::move(update));
  fixture.agent.WaitForReport([](const schema::EntryReportT& report) {
    return report.fleet_sequence == 9 && report.generation == 5;
  });
  CHECK(BodyOf(fixture.RoundTrip("GET / HTTP/1.1\r\nHost: x\r\n\r\n")) ==
        "ran");
}

}  // namespace
}  // namespace acacia
