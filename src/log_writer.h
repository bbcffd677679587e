// Writes log lines to standard output without ever blocking. Lines collect in a
// bounded buffer, which is flushed as far as standard output accepts it. When
// the buffer is full, ordinary lines are dropped before important ones. Dropped
// lines are counted, and the next line that fits is preceded by a line with
// their number. Thread-safe.
#ifndef SRC_LOG_WRITER_H_
#define SRC_LOG_WRITER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace acacia {

class LogWriter {
 public:
  // Writes the start of `bytes` and returns the number of bytes written; 0 if
  // it would block.
  using Output = std::function<std::size_t(std::string_view bytes)>;

  // Limit of the buffer's size for ordinary lines; important lines may fill
  // twice as much.
  static constexpr std::size_t kMaxOrdinaryBytes = 256 * 1024;
  // The buffer is flushed by the write that fills it this much, or that comes
  // kMaxDelay or more after the last flush.
  static constexpr std::size_t kBatchBytes = 4096;
  static constexpr std::chrono::milliseconds kMaxDelay{200};

  explicit LogWriter(Output output);

  // `line` must not contain a line feed.
  void Write(std::string_view line, bool important);
  void Flush();
  std::uint64_t Dropped() const;

 private:
  void FlushLocked();
  void Append(std::string_view line);

  mutable std::mutex mutex;
  Output output;
  std::string buffer;
  std::uint64_t dropped = 0;
  std::uint64_t unreported_drops = 0;
  std::chrono::steady_clock::time_point flushed_at{};
};

// Returns the writer to standard output that LogEvent uses.
LogWriter& StandardLog();

}  // namespace acacia

#endif  // SRC_LOG_WRITER_H_
