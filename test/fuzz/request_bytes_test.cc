#include "src/random_source.h"
#include "test/proxy_fixture.h"

namespace acacia {
namespace {

TEST_CASE("mutated requests end in an answer or a close and affect no other") {
  ProxyFixture fixture([](TextStream& stream, const std::string&) {
    return stream.Send(Ok("ran"));
  });
  fixture.Start();
  const std::vector<std::string> seeds{
      "GET /a?b=c HTTP/1.1\r\nHost: x\r\nConnection: close, te\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;a=b\r\nabc\r\n0\r\nT: u\r\n\r\n"};
  SeededRandom random(20);
  constexpr int kRounds = 300;
  for (int round = 0; round < kRounds; ++round) {
    std::string request = seeds[random.Below(seeds.size())];
    for (std::uint64_t edits = 1 + random.Below(4); edits > 0; --edits) {
      const std::size_t at = random.Below(request.size());
      switch (random.Below(3)) {
        case 0:
          request[at] = static_cast<char>(random.Below(256));
          break;
        case 1:
          request.erase(at, 1 + random.Below(3));
          break;
        default:
          request.insert(at, request.substr(random.Below(request.size()), 5));
      }
    }
    TextStream caller = fixture.Connect();
    caller.Send(request);
    boost::system::error_code ignored;
    caller.Socket().shutdown(Tcp::socket::shutdown_send, ignored);
    const std::string answer = caller.ReadToEnd();
    INFO(round << ": " << request << "\n-> " << answer);
    REQUIRE((answer.empty() || answer.starts_with("HTTP/1.1 ")));
  }
  CHECK(BodyOf(fixture.RoundTrip("GET / HTTP/1.1\r\nHost: x\r\n\r\n")) ==
        "ran");
}

}  // namespace
}  // namespace acacia
