#include "src/dialect.h"

#include <charconv>

#include "src/caller_headers.h"

namespace acacia {
namespace {

namespace http = boost::beast::http;

constexpr int kRefusedStatus = 503;

// Parses the default load report: the permille of slots in use.
std::optional<ReportedLoad> ParsePermille(std::string_view text) {
  std::uint32_t permille = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, permille);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  constexpr std::uint32_t kFullPermille = 1000;
  return ReportedLoad{permille, 0, kFullPermille};
}

}  // namespace

Dialect DefaultDialect() {
  Dialect dialect;
  dialect.request_id = kRequestIdHeader;
  dialect.deadline = kDeadlineHeader;
  dialect.load = kLoadHeader;
  dialect.hidden_from_callers = {kRequestIdHeader, kErrorHeader, kOutcomeHeader,
                                 kLeavingHeader, kLoadHeader};
  dialect.reports_not_run = [](const http::response_header<>& head) {
    return static_cast<int>(head.result_int()) == kRefusedStatus &&
           head[kOutcomeHeader] == OutcomeName(Outcome::kNotRun);
  };
  dialect.announces_leaving = [](const http::response_header<>& head) {
    return head[kLeavingHeader] == "true";
  };
  dialect.parse_load = ParsePermille;
  return dialect;
}

}  // namespace acacia
