// Structured logs: one line of key=value pairs per event, through glog. Values
// with spaces or quotes are quoted.
//   LogEvent("backend_ejected").With("service", service).With("backend_server",
//   id);
// The line is written when the LogEvent is destroyed.
#ifndef SRC_LOG_EVENT_H_
#define SRC_LOG_EVENT_H_

#include <sstream>
#include <string>
#include <string_view>

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
    std::ostringstream text;
    text << value;
    this->Append(key, text.str());
    return *this;
  }

 private:
  void Append(std::string_view key, const std::string& value);

  LogSeverity severity;
  std::string line;
};

// Sends glog's output to standard error. Call once, first in main.
void StartLogging(const char* program);

}  // namespace acacia

#endif  // SRC_LOG_EVENT_H_
