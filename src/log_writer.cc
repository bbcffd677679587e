#include "src/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace acacia {
namespace {

// A write of up to PIPE_BUF bytes does not block on a pipe that polls writable.
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
  const std::size_t max_bytes =
      important ? 2 * kMaxOrdinaryBytes : kMaxOrdinaryBytes;
  if (this->buffer.size() + line.size() + 1 > max_bytes) {
    this->FlushLocked();
  }
  if (this->buffer.size() + line.size() + 1 > max_bytes) {
    ++this->dropped;
    ++this->unreported_drops;
    return;
  }
  if (this->unreported_drops > 0) {
    this->Append("event=log_lines_dropped count=" +
                 std::to_string(std::exchange(this->unreported_drops, 0)));
  }
  this->Append(line);
  const auto now = std::chrono::steady_clock::now();
  if (this->buffer.size() >= kBatchBytes ||
      now - this->flushed_at >= kMaxDelay) {
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
  std::size_t flushed = 0;
  while (flushed < this->buffer.size()) {
    const std::size_t accepted =
        this->output(std::string_view(this->buffer).substr(flushed));
    if (accepted == 0) {
      break;
    }
    flushed += accepted;
  }
  this->buffer.erase(0, flushed);
}

std::uint64_t LogWriter::Dropped() const {
  const std::lock_guard lock(this->mutex);
  return this->dropped;
}

LogWriter& StandardLog() {
  // Never destroyed, because threads may log until the process ends.
  static auto* const writer = new LogWriter(WriteToStandardOutput);
  return *writer;
}

}  // namespace acacia
