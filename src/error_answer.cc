#include "src/error_answer.h"

#include <boost/json.hpp>
#include <string>
#include <utility>

#include "src/caller_headers.h"

namespace acacia {
namespace {

namespace http = boost::beast::http;

constexpr int kHttp11 = 11;
constexpr int kUnauthorized = 401;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;

}  // namespace

StringResponse BuildJsonAnswer(int http_status, std::string body) {
  StringResponse response;
  response.version(kHttp11);
  response.result(static_cast<unsigned>(http_status));
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  response.content_length(response.body().size());
  return response;
}

StringResponse BuildErrorAnswer(ErrorKind kind,
                                const std::string& retry_after) {
  const ErrorAnswer& answer = AnswerFor(kind);
  const std::string outcome(OutcomeName(answer.outcome));
  const boost::json::object body{{"error", answer.name},
                                 {"outcome", outcome},
                                 {"retry_elsewhere", answer.retry_elsewhere},
                                 {"message", answer.message}};
  StringResponse response =
      BuildJsonAnswer(answer.http_status, boost::json::serialize(body) + "\n");
  response.set(kErrorHeader, answer.name);
  response.set(kOutcomeHeader, outcome);
  if (answer.http_status == kUnauthorized) {
    response.set(http::field::www_authenticate, "Bearer");
  }
  if (answer.http_status == kServiceUnavailable ||
      answer.http_status == kTooManyRequests) {
    response.set(http::field::retry_after, retry_after);
  }
  return response;
}

}  // namespace acacia
