// Writes an ErrorKind as the answer that the caller gets, from the table in
// error_kind.h.
#ifndef SRC_ERROR_ANSWER_H_
#define SRC_ERROR_ANSWER_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "src/error_kind.h"

namespace acacia {

using StringResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// `retry_after` is the header's value, where the answer has one.
StringResponse BuildErrorAnswer(ErrorKind kind, const std::string& retry_after);

// A JSON answer of the entry itself that is no error of a request.
StringResponse BuildJsonAnswer(int http_status, std::string body);

}  // namespace acacia

#endif  // SRC_ERROR_ANSWER_H_
