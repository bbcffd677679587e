#include "src/log_event.h"

#include <glog/logging.h>

#include <chrono>
#include <cstdlib>

#include "src/log_writer.h"

namespace acacia {
namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string_view LevelName(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kInfo:
      return "info";
    case LogSeverity::kWarning:
      return "warning";
    case LogSeverity::kError:
      return "error";
  }
  return "info";
}

// Seconds since 1970 with microseconds.
std::string FormatCurrentTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  constexpr int kMicrosPerSecond = 1000000;
  std::string fraction = std::to_string(micros % kMicrosPerSecond);
  fraction.insert(0, 6 - fraction.size(), '0');
  return std::to_string(micros / kMicrosPerSecond) + "." + fraction;
}

}  // namespace

LogEvent::LogEvent(std::string_view name, LogSeverity severity)
    : severity(severity), line("time=") {
  this->line += FormatCurrentTime();
  this->line += " level=";
  this->line += LevelName(severity);
  this->line += " event=";
  this->line += name;
}

LogEvent::~LogEvent() {
  StandardLog().Write(this->line, this->severity != LogSeverity::kInfo);
}

void LogEvent::Append(std::string_view key, std::string_view value) {
  this->line += ' ';
  this->line += key;
  this->line += '=';
  if (!NeedsQuotes(value)) {
    this->line += value;
    return;
  }
  this->line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      this->line += '\\';
    }
    this->line += c == '\n' || c == '\r' ? ' ' : c;
  }
  this->line += '"';
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  std::atexit([] { StandardLog().Flush(); });
}

}  // namespace acacia
