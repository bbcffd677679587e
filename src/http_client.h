// Sends small whole HTTP requests and tells exactly what is known when no
// answer came.
#ifndef SRC_HTTP_CLIENT_H_
#define SRC_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
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

// One server, one kept-alive connection, one request at a time: await each Send
// before the next. A kept connection that turns out to be closed gives
// kNoReply.
class HttpClient {
 public:
  explicit HttpClient(std::string address);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  boost::asio::awaitable<tl::expected<HttpReply, HttpClientError>> Send(
      HttpRequest request,
      Duration timeout);

  // Closes the connection; a Send that waits ends with kNoReply.
  void Abort();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_HTTP_CLIENT_H_
