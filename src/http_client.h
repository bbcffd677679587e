// An HTTP client for small messages. If no answer arrives, the error states
// whether the request may have been received.
#ifndef SRC_HTTP_CLIENT_H_
#define SRC_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/http_message.h"

namespace acacia {

enum class HttpClientError {
  // No byte of the request was sent.
  kNotSent,
  // The request may have been received.
  kNoReply,
};

// Sends requests to one server over one keep-alive connection, one at a time:
// await each Send before the next. Returns kNoReply if the server has closed
// the connection since the last request.
class HttpClient {
 public:
  static constexpr std::uint64_t kMaxBodyBytes = 64 * 1024 * 1024;

  // A reply with a longer body than `max_body_bytes` counts as none.
  explicit HttpClient(std::string address,
                      std::uint64_t max_body_bytes = kMaxBodyBytes);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  // Sends `request`, connecting first if necessary. Fails if the reply is not
  // complete `timeout` after sending began, or its body is longer than
  // `max_body_bytes`, which replaces the client's bound for this reply.
  boost::asio::awaitable<tl::expected<HttpReply, HttpClientError>> Send(
      HttpRequest request,
      Duration timeout,
      std::optional<std::uint64_t> max_body_bytes = std::nullopt);

  // Closes the connection. A pending Send ends with kNoReply; the next one
  // opens another.
  void Abort();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_HTTP_CLIENT_H_
