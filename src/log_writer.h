// Writes log lines to standard output without ever blocking: lines collect in a
// bounded buffer and leave when standard output takes them. When the buffer is
// full, ordinary lines are dropped first; what was dropped is counted and said
// in the next line that fits. Thread-safe.
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
  // Takes bytes and returns how many it took; 0 when it would block.
  using Output = std::function<std::size_t(std::string_view bytes)>;

  // Ordinary lines may fill this much, important ones twice as much.
  static constexpr std::size_t kOrdinaryBytes = 256 * 1024;
  // Lines leave together once they fill this much, or after kLongestDelay.
  static constexpr std::size_t kBatchBytes = 4096;
  static constexpr std::chrono::milliseconds kLongestDelay{200};

  explicit LogWriter(Output output);

  // `line` has no line feed.
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
  std::uint64_t unreported = 0;
  std::chrono::steady_clock::time_point flushed_at{};
};

// The writer to standard output that LogEvent uses.
LogWriter& StandardLog();

}  // namespace acacia

#endif  // SRC_LOG_WRITER_H_
