// HTTP messages that are held in memory as a whole, for control traffic
// (operator servers, the platform, the stand-ins). Callers' requests are
// streamed instead; see proxy_exchange.h.
#ifndef SRC_HTTP_MESSAGE_H_
#define SRC_HTTP_MESSAGE_H_

#include <cstddef>
#include <map>
#include <string>

namespace acacia {

// Bytes of a message that may wait for its parser: the head, a chunk header or
// trailers, and what is read ahead. A longer head, chunk header or trailer is
// refused.
inline constexpr std::size_t kMaxUnparsedHttpBytes = 128 * 1024;

// Header values by lower-case name.
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
  // Makes the server close the connection without a reply.
  bool close_without_reply = false;
};

}  // namespace acacia

#endif  // SRC_HTTP_MESSAGE_H_
