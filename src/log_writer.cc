#include "src/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace acacia {
namespace {

// Writes of up to PIPE_BUF bytes do not block on a pipe that polls writable.
std::size_t WriteToStandardOutput(std::string_view bytes) {
  pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&descriptor, 1, 0) != 1 || (descriptor.revents & POLLOUT) == 0) {
    return 0;
  }
  const std::size_t size = std::min<std::size_t>(bytes.size(), PIPE_BUF);
  const ssize_t written = ::write(STDOUT_FILENO, bytes.data(), size);
  return written > 0 ? static_cast<std::size_t>(written) : 0;
}

}  // namespace

LogWriter::LogWriter(Output output) : output(std::move(output)) {}

void LogWriter::Write(std::string_view line, bool important) {
  const std::lock_guard lock(this->mutex);
  const std::size_t room = important ? 2 * kOrdinaryBytes : kOrdinaryBytes;
  if (this->buffer.size() + line.size() + 1 > room) {
    this->FlushLocked();
  }
  if (this->buffer.size() + line.size() + 1 > room) {
    ++this->dropped;
    ++this->unreported;
    return;
  }
  if (this->unreported > 0) {
    this->Append("event=log_lines_dropped count=" +
                 std::to_string(std::exchange(this->unreported, 0)));
  }
  this->Append(line);
  const auto now = std::chrono::steady_clock::now();
  if (this->buffer.size() >= kBatchBytes ||
      now - this->flushed_at >= kLongestDelay) {
    this->FlushLocked();
  }
}

void LogWriter::Append(std::string_view line) {
  this->buffer.append(line);
  this->buffer.push_back('\n');
}

void LogWriter::Flush() {
  const std::lock_guard lock(this->mutex);
  this->FlushLocked();
}

void LogWriter::FlushLocked() {
  this->flushed_at = std::chrono::steady_clock::now();
  std::size_t done = 0;
  while (done < this->buffer.size()) {
    const std::size_t taken =
        this->output(std::string_view(this->buffer).substr(done));
    if (taken == 0) {
      break;
    }
    done += taken;
  }
  this->buffer.erase(0, done);
}

std::uint64_t LogWriter::Dropped() const {
  const std::lock_guard lock(this->mutex);
  return this->dropped;
}

LogWriter& StandardLog() {
  // Never destroyed: threads may log until the process ends.
  static auto* const writer = new LogWriter(WriteToStandardOutput);
  return *writer;
}

}  // namespace acacia
