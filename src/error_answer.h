// Builds the HTTP answers that the entry itself gives: errors, from the table
// in error_kind.h, and other JSON answers.
#ifndef SRC_ERROR_ANSWER_H_
#define SRC_ERROR_ANSWER_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "src/error_kind.h"

namespace acacia {

using StringResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// `retry_after` is the value of the Retry-After header; only answers with
// status 429 or 503 have one. Answers with status 401 name the scheme of the
// keys.
StringResponse BuildErrorAnswer(ErrorKind kind, const std::string& retry_after);

// Builds a JSON answer of the entry itself that does not report a request's
// error.
StringResponse BuildJsonAnswer(int http_status, std::string body);

}  // namespace acacia

#endif  // SRC_ERROR_ANSWER_H_
