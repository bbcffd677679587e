// How many waiting requests an entry may start now, so that entries that hear
// of the same free slots do not all fill them. A slot that the entry's own
// attempt freed is its own to fill, because it knows of it first. Of the other
// room it takes the part that its waiting requests are of those of all entries.
#ifndef SRC_START_SHARE_H_
#define SRC_START_SHARE_H_

#include <cstdint>

#include "src/clock.h"

namespace acacia {

// What an entry knows when it looks for room.
struct RoomEstimate {
  // Requests that may be sent to backend servers now.
  double room = 0;
  // Waiting requests that compete for it.
  std::uint32_t own_waiting = 0;
  std::uint32_t others_waiting = 0;
};

class StartShare {
 public:
  // The entries' knowledge of each other's attempts is this old at most; the
  // share is drawn once in this time.
  static constexpr Duration kInterval = std::chrono::milliseconds(40);

  bool IsDue(TimePoint now) const {
    return now - this->refreshed_at >= kInterval;
  }
  // `draw` is a random number in [0, 1) that rounds the share.
  void Refresh(const RoomEstimate& estimate, double draw, TimePoint now);
  void OnOwnSlotFreed() { ++this->left; }
  bool MayStart() const { return this->left > 0; }
  void OnStart() { this->left -= this->left > 0 ? 1 : 0; }

 private:
  std::uint32_t left = 0;
  TimePoint refreshed_at{};
};

}  // namespace acacia

#endif  // SRC_START_SHARE_H_
