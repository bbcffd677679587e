// Request tracing: one span per hop, written as a line of JSON. The trace
// context is propagated in the W3C traceparent header
// (https://www.w3.org/TR/trace-context/).
#ifndef SRC_SPAN_H_
#define SRC_SPAN_H_

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "src/clock.h"
#include "src/random_source.h"

namespace acacia {

struct TraceContext {
  std::uint64_t trace_high = 0;
  std::uint64_t trace_low = 0;
  std::uint64_t span = 0;
  bool sampled = true;

  bool operator==(const TraceContext&) const = default;
};

// Returns nullopt if the header is malformed or its trace or span id is zero.
std::optional<TraceContext> ParseTraceparent(std::string_view header);
std::string FormatTraceparent(const TraceContext& context);

// Starts a new trace.
TraceContext StartTrace(RandomSource& random);
// Starts a new span in the parent's trace.
TraceContext StartChildSpan(const TraceContext& parent, RandomSource& random);

struct Span {
  std::string name;
  TraceContext context;
  // 0 if this is the first span of its trace.
  std::uint64_t parent_span = 0;
  UnixTime start{};
  Duration duration{};
  std::map<std::string, std::string> tags;
};

std::string SpanJson(const Span& span);

// Appends spans to a file. Thread-safe.
class SpanWriter {
 public:
  // Writes nothing when `file` is empty.
  explicit SpanWriter(const std::string& file);

  bool IsOn() const { return this->enabled; }
  void Write(const Span& span);

 private:
  bool enabled = false;
  std::mutex mutex;
  std::ofstream out;
};

}  // namespace acacia

#endif  // SRC_SPAN_H_
