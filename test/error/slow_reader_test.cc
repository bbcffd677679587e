// Callers that read slowly or not at all. Guards section 5 of
// docs/ACCOUNTS-AND-OVERLOAD.md: such a caller held a backend server's
// connection until its idle timeout of a minute.
#include "test/proxy_fixture.h"

namespace acacia {
namespace {

constexpr char kGet[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kGetLarge[] = "GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
// More than the kernel takes for a caller that does not read, and less than an
// entry reads ahead.
constexpr std::size_t kLargeBytes = 6000000;

BackendScript LargeOrSmall(std::size_t large_bytes) {
  return [large_bytes](TextStream& stream, const std::string& request) {
    return stream.Send(request.starts_with("GET /large")
                           ? Ok(std::string(large_bytes, 'b'))
                           : Ok("small"));
  };
}

// Connects a caller whose kernel accepts little that it does not read.
TextStream ConnectSlow(ProxyFixture& f, boost::asio::io_context& context) {
  Tcp::socket socket(context, Tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  socket.connect(Loopback(f.entry->CallerPort()));
  return TextStream(std::move(socket));
}

TEST_CASE("a caller that does not read holds no backend connection") {
  ProxyFixture f(LargeOrSmall(kLargeBytes));
  f.Start();
  boost::asio::io_context context;
  TextStream slow = ConnectSlow(f, context);
  slow.Send(kGetLarge);
  CHECK(slow.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  // The connection of the large answer is used again.
  CHECK(BodyOf(f.RoundTrip(kGet)) == "small");
  CHECK(f.backend.Accepted() == 1);
  CHECK(slow.ReadBytes(kLargeBytes).size() == kLargeBytes);
}

TEST_CASE("an answer that finds no room and no reader is ended") {
  constexpr int kSlowCallers = 20;
  std::atomic<int> ended{0};
  ProxyFixture f([&](TextStream& stream, const std::string& request) {
    if (!request.starts_with("GET /large")) {
      return stream.Send(Ok("small"));
    }
    const std::string piece(64 * 1024, 'b');
    bool open =
        stream.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
    while (open) {
      open = stream.Send(piece);
    }
    ++ended;
    return false;
  });
  f.settings.memory_mb = 3;
  f.Service().slots_per_backend_server = 2 * kSlowCallers;
  f.Start();
  boost::asio::io_context context;
  std::vector<TextStream> callers;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kSlowCallers; ++i) {
    callers.push_back(ConnectSlow(f, context));
    callers.back().Send(kGetLarge);
  }
  while (ended < kSlowCallers) {
    // Slow callers leave the others room, also for the bodies of requests.
    const std::string answer = f.RoundTrip(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n" +
        std::string(30000, 'a'));
    CHECK(BodyOf(answer) == "small");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(30));
  for (TextStream& caller : callers) {
    CHECK(caller.ReadToEnd().size() < 1000000000);
    CHECK(caller.WasReset());
  }
}

TEST_CASE("a caller that reads slowly gets its whole answer") {
  ProxyFixture f(LargeOrSmall(4 * kLargeBytes));
  f.settings.memory_mb = 1;
  f.Start();
  boost::asio::io_context context;
  TextStream slow = ConnectSlow(f, context);
  slow.Send(kGetLarge);
  slow.ReadUntil("\r\n\r\n");
  std::size_t read = 0;
  for (int i = 0; i < 12; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    read += slow.ReadBytes(100000).size();
  }
  read += slow.ReadBytes(4 * kLargeBytes - read).size();
  CHECK(read == 4 * kLargeBytes);
}

// A slow caller must see that its answer broke off, also when the parts before
// the break were read ahead.
TEST_CASE("an answer that breaks off after it was read ahead is incomplete") {
  const bool has_length = GENERATE(true, false);
  const bool is_http10 = GENERATE(true, false);
  ProxyFixture f([has_length](TextStream& stream, const std::string&) {
    const std::string body(1000000, 'b');
    stream.Send(has_length
                    ? "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"
                    : "HTTP/1.1 200 OK\r\n"
                      "Transfer-Encoding: chunked\r\n\r\nf4240\r\n");
    stream.Send(body);
    return false;
  });
  f.Start();
  boost::asio::io_context context;
  TextStream slow = ConnectSlow(f, context);
  slow.Send(is_http10 ? "GET /x HTTP/1.0\r\nHost: h\r\n\r\n" : kGet);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const std::string answer = slow.ReadToEnd();
  INFO(has_length << " " << is_http10 << " " << answer.size());
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find("\r\n0\r\n\r\n") == std::string::npos);
  CHECK(answer.size() < 2000000);
  CHECK((has_length || !is_http10 || slow.WasReset()));
}

}  // namespace
}  // namespace acacia
