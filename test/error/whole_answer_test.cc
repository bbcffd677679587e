// Answers without a length, of backend servers and control servers that close
// the connection before they have read the whole request. Guards section 7 of
// docs/ACCOUNTS-AND-OVERLOAD.md: 25 of 25 callers got the beginning of such an
// answer as a complete one.
#include <array>

#include "src/backend_connection.h"
#include "src/http_client.h"
#include "test/io_fixture.h"
#include "test/proxy_fixture.h"

namespace acacia {
namespace {

constexpr std::size_t kUploadBytes = 60 * 1000 * 1000;
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr char kNoLength[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

// How the connection ends after an early answer.
enum class Ending {
  kReset,
  // An end of file, and then a reset because of unread bytes of the request.
  kEndThenReset,
};

// A body that is sent at once, and one that is passed on as it comes. After the
// whole request has been sent, a reset that follows an end of file may arrive
// too late to be seen.
const std::vector<std::pair<Ending, std::size_t>> kCuts{
    {Ending::kReset, 60000},
    {Ending::kReset, kUploadBytes},
    {Ending::kEndThenReset, kUploadBytes}};

// Reads ten bytes of the request, sends `answer` and ends the connection.
std::function<void(TextStream&)> AnswerEarly(std::string answer,
                                             Ending ending) {
  return [answer = std::move(answer), ending](TextStream& stream) {
    std::array<char, 10> beginning{};
    boost::system::error_code ignored;
    boost::asio::read(stream.Socket(), boost::asio::buffer(beginning), ignored);
    stream.Send(answer);
    // The upload is being written by now.
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    if (ending == Ending::kReset) {
      stream.Socket().set_option(boost::asio::socket_base::linger(true, 0));
    } else {
      stream.Socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }
    stream.Close();
  };
}

struct EarlyAnswerFixture : ProxyFixture {
  EarlyAnswerFixture(const std::string& answer,
                     Ending ending,
                     std::uint32_t buffered_bytes)
      : ProxyFixture([](TextStream&, const std::string&) { return false; }),
        server(AnswerEarly(answer, ending)) {
    this->settings.buffered_answer_bytes = buffered_bytes;
    this->Service().backend_servers.front()->address = this->server.Address();
    this->file_set.routes.front()->max_body_bytes = 2 * kUploadBytes;
    this->Start();
  }

  // Sends a request with a body of `bytes` and returns all that is answered.
  std::string Upload(std::size_t bytes, const std::string& version) {
    TextStream caller = this->Connect();
    caller.Send("POST /x HTTP/" + version +
                "\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                std::to_string(bytes) + "\r\n\r\n");
    std::thread sender([&caller, bytes] {
      const std::string piece(kPieceBytes, 'a');
      std::size_t sent = 0;
      while (sent < bytes && caller.Send(piece.substr(
                                 0, std::min(kPieceBytes, bytes - sent)))) {
        sent += piece.size();
      }
    });
    std::string answer = caller.ReadToEnd();
    // The failing write of the upload may have taken the socket's error.
    this->was_reset = !EndedCleanly(caller.Socket());
    boost::system::error_code ignored;
    caller.Socket().shutdown(Tcp::socket::shutdown_both, ignored);
    sender.join();
    return answer;
  }

  bool was_reset = false;
  ThreadedListener server;
};

TEST_CASE("an answer without a length that a reset cut off is not complete") {
  const auto [ending, body_bytes] = GENERATE_COPY(from_range(kCuts));
  INFO(static_cast<int>(ending) << " " << body_bytes);
  const std::string part = kNoLength + std::string(20000, 'p');
  EarlyAnswerFixture buffered(part, ending, 65536);
  for (int i = 0; i < 5; ++i) {
    // The reset of an upload may also reach the caller before the 502.
    const int status = StatusOf(buffered.Upload(body_bytes, "1.1"));
    CHECK((status == 502 || status == 0));
  }
}

TEST_CASE("a caller who got a part of a cut answer sees that it is one") {
  const auto [ending, body_bytes] = GENERATE_COPY(from_range(kCuts));
  INFO(static_cast<int>(ending) << " " << body_bytes);
  const std::string part = kNoLength + std::string(200000, 'p');
  EarlyAnswerFixture f(part, ending, 0);
  const std::string chunked = f.Upload(body_bytes, "1.1");
  CHECK(chunked.find("\r\n0\r\n\r\n") == std::string::npos);
  CHECK(Field(chunked, "Content-Length").empty());
  const std::string to_http10 = f.Upload(body_bytes, "1.0");
  CHECK((f.was_reset || StatusOf(to_http10) == 502));
}

TEST_CASE("a complete answer reaches the caller although the upload failed") {
  const std::string whole = GENERATE(
      std::string("HTTP/1.1 413 Large\r\nContent-Length: 4\r\n\r\nbody"),
      std::string("HTTP/1.1 413 Large\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\nbody\r\n0\r\n\r\n"));
  const auto ending = GENERATE(Ending::kReset, Ending::kEndThenReset);
  const std::size_t body_bytes = GENERATE(std::size_t{60000}, kUploadBytes);
  EarlyAnswerFixture f(whole, ending, 65536);
  const std::string answer = f.Upload(body_bytes, "1.1");
  CHECK(StatusOf(answer) == 413);
  CHECK(BodyOf(answer) == "body");
}

TEST_CASE("an answer without a length after the whole request is complete") {
  ProxyFixture f([](TextStream& stream, const std::string&) {
    stream.Send(kNoLength + std::string(100000, 'p'));
    return false;
  });
  f.file_set.routes.front()->max_body_bytes = 2 * kUploadBytes;
  f.Start();
  for (int i = 0; i < 20; ++i) {
    TextStream caller = f.Connect();
    caller.Send(
        "POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" +
        std::string(300000, 'a'));
    CHECK(BodyOf(caller.ReadToEnd()).size() == 100000);
    CHECK_FALSE(caller.WasReset());
  }
}

TEST_CASE("an answer with an unknown status is not relayed") {
  for (const std::string status : {"600 X", "999 X", "199 X", "000 X"}) {
    INFO(status);
    ProxyFixture f([&](TextStream& stream, const std::string&) {
      return stream.Send("HTTP/1.1 " + status +
                         "\r\nContent-Length: 0\r\n\r\n");
    });
    f.Start();
    CHECK(StatusOf(f.RoundTrip("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")) == 502);
  }
}

TEST_CASE("a reply without a length that a reset cut off is none") {
  ThreadedListener server(
      AnswerEarly(kNoLength + std::string("[1,2"), Ending::kEndThenReset));
  boost::asio::io_context context;
  // The client has sent its request by then, and reads on after the reset.
  boost::asio::steady_timer pause(context, std::chrono::milliseconds(10));
  pause.async_wait([](const boost::system::error_code&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  });
  HttpClient client(server.Address());
  HttpRequest request;
  request.method = "PUT";
  request.body = std::string(60000, 'a');
  const auto reply = RunAwaitable(
      context, client.Send(std::move(request), std::chrono::seconds(5)));
  REQUIRE_FALSE(reply.has_value());
  CHECK(reply.error() == HttpClientError::kNoReply);
}

// The second request got the reply that the first one should have had.
TEST_CASE("an interim reply does not shift the replies of a connection") {
  const std::string interim =
      GENERATE(std::string("HTTP/1.1 100 Continue\r\n\r\n"),
               std::string("HTTP/1.1 150 X\r\n\r\n"),
               std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"));
  ThreadedListener server(
      ServeByScript([&](TextStream& stream, const std::string& request) {
        const std::string path = request.substr(0, request.find(" HTTP"));
        return stream.Send(interim + Ok(path));
      }));
  boost::asio::io_context context;
  HttpClient client(server.Address());
  for (const std::string path : {"/1", "/2", "/3"}) {
    HttpRequest request;
    request.target = path;
    const auto reply = RunAwaitable(
        context, client.Send(std::move(request), std::chrono::seconds(5)));
    INFO(path);
    CHECK((!reply || reply->body == "x" || reply->body == "GET " + path));
  }
}

}  // namespace
}  // namespace acacia
