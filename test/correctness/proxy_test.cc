#include "test/proxy_fixture.h"

namespace acacia {
namespace {

TEST_CASE("requests are routed, relayed and answered on one connection") {
  ProxyFixture fixture([](TextStream& stream, const std::string& request) {
    const std::string line = request.substr(0, request.find("\r\n"));
    return stream.Send(Ok(line + "|" + BodyOf(request)));
  });
  fixture.Start();
  TextStream caller = fixture.Connect();
  caller.Send("GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(BodyOf(caller.ReadMessage()) == "GET /a?b=c HTTP/1.1|");
  caller.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
  CHECK(BodyOf(caller.ReadMessage()) == "POST /a HTTP/1.1|abc");
  CHECK(fixture.backend.Accepted() == 1);
}

TEST_CASE("a lookup names this entry and reports an unknown service") {
  ProxyFixture fixture([](TextStream&, const std::string&) { return false; });
  fixture.Start();
  const std::string found = fixture.RoundTrip(
      "GET /.acacia/lookup?service=kehto HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(found.starts_with("HTTP/1.1 200"));
  CHECK(found.find(R"("address":"127.0.0.1:1","failure_domain":"a")") !=
        std::string::npos);
  CHECK(fixture
            .RoundTrip(
                "GET /.acacia/lookup?service=x HTTP/1.1\r\nHost: x\r\n\r\n")
            .starts_with("HTTP/1.1 404"));
}

}  // namespace
}  // namespace acacia
