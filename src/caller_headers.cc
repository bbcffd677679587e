#include "src/caller_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <vector>

namespace acacia {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::array kHopByHopFields = {http::field::connection,
                                        http::field::keep_alive,
                                        http::field::proxy_connection,
                                        http::field::te,
                                        http::field::trailer,
                                        http::field::transfer_encoding,
                                        http::field::upgrade,
                                        http::field::proxy_authenticate,
                                        http::field::proxy_authorization};
constexpr std::array<std::string_view, 6> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

std::optional<ErrorKind> CheckLengths(const http::request_header<>& head) {
  const auto lengths = head.count(http::field::content_length);
  const auto codings = head.count(http::field::transfer_encoding);
  if (lengths + codings > 1) {
    return ErrorKind::kBadRequest;
  }
  if (lengths == 1 && !IsNumber(head[http::field::content_length])) {
    return ErrorKind::kBadRequest;
  }
  if (codings == 0) {
    return std::nullopt;
  }
  if (head.version() < 11) {
    return ErrorKind::kBadRequest;
  }
  if (!beast::iequals(head[http::field::transfer_encoding], "chunked")) {
    return ErrorKind::kNotImplemented;
  }
  return std::nullopt;
}

std::optional<ErrorKind> CheckTarget(const http::request_header<>& head) {
  if (head.method() == http::verb::connect ||
      head.count(http::field::upgrade) > 0) {
    return ErrorKind::kNotImplemented;
  }
  if (head.target().empty() || head.target().front() != '/') {
    return ErrorKind::kBadRequest;
  }
  if (head.target().find('#') != beast::string_view::npos) {
    return ErrorKind::kBadRequest;
  }
  return std::nullopt;
}

}  // namespace

bool HasAmbiguousBytes(std::string_view head) {
  for (std::size_t i = 0; i < head.size(); ++i) {
    const char c = head[i];
    const bool last = i + 1 == head.size();
    if (c == '\0') {
      return true;
    }
    if (c == '\r' && !last && head[i + 1] != '\n') {
      return true;
    }
    if (c != '\n') {
      continue;
    }
    const bool folded = !last && (head[i + 1] == ' ' || head[i + 1] == '\t');
    if (i == 0 || head[i - 1] != '\r' || folded) {
      return true;
    }
  }
  return false;
}

std::optional<ErrorKind> CheckRequestHead(const http::request_header<>& head) {
  if (head.version() != 11 && head.version() != 10) {
    return ErrorKind::kBadRequest;
  }
  const auto hosts = head.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && head.version() == 11)) {
    return ErrorKind::kBadRequest;
  }
  if (const auto error = CheckLengths(head)) {
    return error;
  }
  return CheckTarget(head);
}

tl::expected<CallerOptions, ErrorKind> ReadCallerOptions(
    const http::request_header<>& head,
    const std::string& deadline_header) {
  CallerOptions options;
  options.account = AccountId(std::string(head[kAccountHeader]));
  options.key = std::string(head[kKeyHeader]);
  if (options.key.size() > kMaxKeyBytes) {
    return tl::unexpected(ErrorKind::kBadRequest);
  }
  const auto idempotent = head[kIdempotentHeader];
  if (idempotent == "true" || idempotent == "false") {
    options.idempotent = idempotent == "true";
  } else if (!idempotent.empty()) {
    return tl::unexpected(ErrorKind::kBadRequest);
  }
  const std::string_view deadline = head[deadline_header];
  if (!deadline.empty()) {
    std::uint32_t milliseconds = 0;
    const char* end = deadline.data() + deadline.size();
    const auto parsed = std::from_chars(deadline.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return tl::unexpected(ErrorKind::kBadRequest);
    }
    options.deadline = std::chrono::milliseconds(milliseconds);
  }
  const auto expect = head[http::field::expect];
  options.expects_continue =
      head.version() == 11 && beast::iequals(expect, "100-continue");
  return options;
}

bool IsIdempotent(const Route& route,
                  std::string_view method,
                  const CallerOptions& options) {
  switch (route.idempotency) {
    case Idempotency::kAlways:
      return true;
    case Idempotency::kNever:
      return false;
    case Idempotency::kByMethod:
      break;
  }
  if (options.idempotent) {
    return *options.idempotent;
  }
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

void StripHopByHop(http::fields& fields) {
  std::vector<std::string> named;
  const auto range = fields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    for (const auto token : http::token_list(field->value())) {
      named.emplace_back(token);
    }
  }
  for (const std::string& name : named) {
    // A caller must not be able to remove the headers that delimit the message
    // or name its target.
    if (!beast::iequals(name, "content-length") &&
        !beast::iequals(name, "host")) {
      fields.erase(name);
    }
  }
  for (const http::field field : kHopByHopFields) {
    fields.erase(field);
  }
}

}  // namespace acacia
