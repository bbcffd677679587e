#include "src/span.h"

#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>

namespace acacia {
namespace {

// "00-" trace id (32) "-" span id (16) "-" flags (2).
constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceHighOffset = 3;
constexpr std::size_t kTraceLowOffset = 19;
constexpr std::size_t kSpanOffset = 36;
constexpr std::size_t kFlagsOffset = 53;
constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;

std::string Hex(std::uint64_t number) {
  std::array<char, kHexDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(number));
  return text.data();
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() != kTraceparentSize || header.substr(0, 3) != "00-" ||
      header[kSpanOffset - 1] != '-' || header[kFlagsOffset - 1] != '-') {
    return std::nullopt;
  }
  const auto high = ParseHex(header.substr(kTraceHighOffset, kHexDigits));
  const auto low = ParseHex(header.substr(kTraceLowOffset, kHexDigits));
  const auto span = ParseHex(header.substr(kSpanOffset, kHexDigits));
  const auto flags = ParseHex(header.substr(kFlagsOffset));
  if (!high || !low || !span || !flags || (*high | *low) == 0 || *span == 0) {
    return std::nullopt;
  }
  return TraceContext{*high, *low, *span, (*flags & 1U) != 0};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + Hex(context.trace_high) + Hex(context.trace_low) + "-" +
         Hex(context.span) + (context.sampled ? "-01" : "-00");
}

TraceContext StartTrace(RandomSource& random) {
  return {random.Next(), random.Next() | 1U, random.Next() | 1U, true};
}

TraceContext StartChildSpan(const TraceContext& parent, RandomSource& random) {
  TraceContext child = parent;
  child.span = random.Next() | 1U;
  return child;
}

std::string SpanJson(const Span& span) {
  boost::json::object tags;
  for (const auto& [name, value] : span.tags) {
    tags[name] = value;
  }
  const auto duration =
      std::chrono::duration_cast<std::chrono::microseconds>(span.duration);
  boost::json::object object{
      {"name", span.name},
      {"trace_id", Hex(span.context.trace_high) + Hex(span.context.trace_low)},
      {"span_id", Hex(span.context.span)},
      {"parent_id", span.parent_span == 0 ? "" : Hex(span.parent_span)},
      {"start_unix_ms", span.start.count()},
      {"duration_us", duration.count()},
      {"tags", std::move(tags)}};
  return boost::json::serialize(object);
}

SpanWriter::SpanWriter(const std::string& file) : enabled(!file.empty()) {
  if (this->enabled) {
    this->out.open(file, std::ios::app);
  }
}

void SpanWriter::Write(const Span& span) {
  if (!this->enabled) {
    return;
  }
  const std::string line = SpanJson(span);
  const std::lock_guard lock(this->mutex);
  this->out << line << '\n' << std::flush;
}

}  // namespace acacia
