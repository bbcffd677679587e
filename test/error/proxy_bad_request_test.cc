#include "test/proxy_fixture.h"

namespace acacia {
namespace {

TEST_CASE("requests that others may interpret differently are refused") {
  ProxyFixture fixture([](TextStream& stream, const std::string&) {
    return stream.Send(Ok("ran"));
  });
  fixture.AddRoute("/small").max_body_bytes = 4;
  fixture.settings.max_header_bytes = 512;
  fixture.Start();
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::pair<std::string, int>> cases{
      {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400},
      {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
      {post + "Content-Length: 1, 1\r\n\r\na", 400},
      {post + "Content-Length: +1\r\n\r\na", 400},
      {post + "Content-Length: -1\r\n\r\na", 400},
      {post + "Transfer-Encoding: chunked, identity\r\n\r\n", 501},
      {post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
      {post + "Transfer-Encoding: chunked\r\n\r\nz\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400},
      {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {post + "A: b\r\n c\r\n\r\n", 400},
      {post + "A : b\r\n\r\n", 400},
      {post + "A: b\n\r\n", 400},
      {post + "A: b\rc\r\n\r\n", 400},
      {post + "A: b\x01\r\n\r\n", 400},
      {post + std::string("A: b\0\r\n\r\n", 9), 400},
      {post + "Host: y\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/2.0\r\nHost: x\r\n\r\n", 400},
      {"GET x HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 501},
      {"GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\n"
       "Upgrade: websocket\r\n\r\n",
       501},
      {post + "Acacia-Idempotent: maybe\r\n\r\n", 400},
      {post + "Acacia-Deadline-Ms: soon\r\n\r\n", 400},
      {post + "A: " + std::string(512, 'a') + "\r\n\r\n", 431},
      {"POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde",
       413},
      {"POST /small HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
       "5\r\nabcde\r\n0\r\n\r\n",
       413}};
  for (const auto& [request, status] : cases) {
    const std::string answer = fixture.RoundTrip(request);
    INFO(request << "\n-> " << answer);
    CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(status)));
    CHECK(Field(answer, "Acacia-Outcome") == "not-run");
  }
  CHECK(fixture.backend.Accepted() == 0);
}

}  // namespace
}  // namespace acacia
