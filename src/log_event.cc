#include "src/log_event.h"

#include <glog/logging.h>

#include <iomanip>

namespace acacia {
namespace {

bool NeedsQuotes(const std::string& value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t") != std::string::npos;
}

std::string OneLine(std::string value) {
  for (char& c : value) {
    if (c == '\n' || c == '\r') {
      c = ' ';
    }
  }
  return value;
}

}  // namespace

LogEvent::LogEvent(std::string_view name, LogSeverity severity)
    : severity(severity), line("event=") {
  this->line += name;
}

LogEvent::~LogEvent() {
  switch (this->severity) {
    case LogSeverity::kInfo:
      LOG(INFO) << this->line;
      break;
    case LogSeverity::kWarning:
      LOG(WARNING) << this->line;
      break;
    case LogSeverity::kError:
      LOG(ERROR) << this->line;
      break;
  }
}

void LogEvent::Append(std::string_view key, const std::string& value) {
  std::ostringstream out;
  out << ' ' << key << '=';
  if (NeedsQuotes(value)) {
    out << std::quoted(OneLine(value));
  } else {
    out << value;
  }
  this->line += out.str();
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

}  // namespace acacia
