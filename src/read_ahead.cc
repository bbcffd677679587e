#include "src/read_ahead.h"

#include <algorithm>

namespace acacia {

ReadAhead::~ReadAhead() {
  this->budget.Return(this->charged * kBlockBytes);
}

bool ReadAhead::Reserve() {
  if (this->has_reservation) {
    return true;
  }
  const std::size_t held = this->blocks.size();
  if (held > 0 && this->charged < held) {
    if (held >= kMaxBlocks || !this->budget.TryTakeOfHalf(kBlockBytes)) {
      return false;
    }
    ++this->charged;
  }
  this->has_reservation = true;
  return true;
}

void ReadAhead::Add(std::string_view piece) {
  const bool may_append =
      !this->blocks.empty() && !(this->is_writing && this->HasOneBlock());
  if (may_append && this->blocks.back().size() + piece.size() <= kBlockBytes) {
    this->blocks.back().append(piece);
    return;
  }
  std::string& block = this->blocks.emplace_back();
  block.reserve(std::max(piece.size(), kBlockBytes));
  block.append(piece);
  this->has_reservation = false;
}

void ReadAhead::Pop() {
  this->blocks.pop_front();
  this->is_writing = false;
  ++this->popped;
  this->ReturnSurplus();
}

// All blocks but one are charged, and one more that is reserved.
void ReadAhead::ReturnSurplus() {
  const std::size_t held =
      this->blocks.size() + (this->has_reservation ? 1 : 0);
  const std::size_t due = held > 0 ? held - 1 : 0;
  while (this->charged > due) {
    --this->charged;
    this->budget.Return(kBlockBytes);
  }
}

bool UnreadTimeout::HasPassed(std::size_t unacknowledged,
                              std::uint64_t written,
                              TimePoint now) {
  const bool has_progress = !this->is_waiting ||
                            unacknowledged < this->last_unacknowledged ||
                            written != this->last_written;
  if (has_progress) {
    this->is_waiting = true;
    this->since = now;
  }
  this->last_unacknowledged = unacknowledged;
  this->last_written = written;
  return now - this->since >= kMaxUnread;
}

}  // namespace acacia
