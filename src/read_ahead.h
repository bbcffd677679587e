// The part of an answer that has been read from its backend server and not yet
// been written to the caller. Reading ahead frees the backend server's
// connection without waiting for a slow caller. It is bounded for each answer,
// and for all answers together by a half of the entry's buffer budget, so that
// slow callers leave room for requests.
#ifndef SRC_READ_AHEAD_H_
#define SRC_READ_AHEAD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "src/buffer_budget.h"
#include "src/clock.h"

namespace acacia {

// Not thread-safe. The budget must outlive it.
class ReadAhead {
 public:
  static constexpr std::size_t kBlockBytes = 16 * 1024;
  // Bounds one answer also where the budget has no bound.
  static constexpr std::size_t kMaxBlocks = 256;

  explicit ReadAhead(BufferBudget& budget) : budget(budget) {}
  ~ReadAhead();
  ReadAhead(const ReadAhead&) = delete;
  ReadAhead& operator=(const ReadAhead&) = delete;

  // Makes room for one more piece of at most kBlockBytes. The first block takes
  // nothing from the budget: an answer can always be passed on as it comes.
  // Returns false if there is no room.
  bool Reserve();
  // Appends a piece, for which Reserve must have returned true unless it is the
  // first one.
  void Add(std::string_view piece);

  bool IsEmpty() const { return this->blocks.empty(); }
  // The oldest block; valid until Pop.
  std::string& Front() { return this->blocks.front(); }
  // Marks the oldest block as being written: nothing is appended to it.
  void BeginWrite() { this->is_writing = true; }
  void Pop();
  std::uint64_t PoppedBlocks() const { return this->popped; }
  bool HasOneBlock() const { return this->blocks.size() == 1; }

 private:
  void ReturnSurplus();

  BufferBudget& budget;
  std::deque<std::string> blocks;
  bool is_writing = false;
  bool has_reservation = false;
  // Blocks taken from the budget.
  std::size_t charged = 0;
  std::uint64_t popped = 0;
};

// Decides when a caller that leaves no room has been unread for too long.
class UnreadTimeout {
 public:
  // Backend servers cut off answers that stay unread for some seconds; ending
  // the answer earlier frees their slot.
  static constexpr Duration kMaxUnread = std::chrono::seconds(3);

  // `unacknowledged` is the number of bytes that the caller has not taken yet,
  // and `written` counts the blocks written to it. Returns true if neither has
  // shown progress for kMaxUnread.
  bool HasPassed(std::size_t unacknowledged,
                 std::uint64_t written,
                 TimePoint now);

 private:
  bool is_waiting = false;
  std::size_t last_unacknowledged = 0;
  std::uint64_t last_written = 0;
  TimePoint since;
};

}  // namespace acacia

#endif  // SRC_READ_AHEAD_H_
