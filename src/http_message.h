// Small whole HTTP messages for control traffic (operator listeners, the
// platform, the stand-ins). The callers' requests do not use these: they are
// streamed (see proxy_exchange.h).
#ifndef SRC_HTTP_MESSAGE_H_
#define SRC_HTTP_MESSAGE_H_

#include <map>
#include <string>

namespace acacia {

// Header names are lower-case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  std::string method = "GET";
  // Path and query, as sent.
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

struct HttpReply {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // Servers only: close the connection without an answer.
  bool drop = false;
};

}  // namespace acacia

#endif  // SRC_HTTP_MESSAGE_H_
