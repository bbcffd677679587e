// Structured logging: one line of key=value pairs per event, on standard output
// (see log_writer.h). Values with spaces or quotes are quoted. glog is only
// used for failures that end the process (see check.h), on standard error.
//   LogEvent("backend_ejected").With("service", service).With("backend_server",
//   id);
// The line is written when the LogEvent is destroyed.
#ifndef SRC_LOG_EVENT_H_
#define SRC_LOG_EVENT_H_

#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace acacia {

enum class LogSeverity { kInfo, kWarning, kError };

class LogEvent {
 public:
  explicit LogEvent(std::string_view name,
                    LogSeverity severity = LogSeverity::kInfo);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  template <typename T>
  LogEvent& With(std::string_view key, const T& value) {
    if constexpr (std::is_convertible_v<const T&, std::string_view>) {
      this->Append(key, std::string_view(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      this->Append(key, std::to_string(value));
    } else if constexpr (requires { std::string_view(value.Value()); }) {
      this->Append(key, std::string_view(value.Value()));
    } else {
      std::ostringstream text;
      text << value;
      this->Append(key, text.str());
    }
    return *this;
  }

 private:
  void Append(std::string_view key, std::string_view value);

  LogSeverity severity;
  std::string line;
};

// Directs glog's output to standard error, and flushes buffered log lines to
// standard output when the process exits. Call once, at the start of main.
void StartLogging(const char* program);

}  // namespace acacia

#endif  // SRC_LOG_EVENT_H_
