// When the polls of the store's readers end. A connection can go silent without
// an error, and a poll that is pending on it looks like one that waits for a
// change. If all connections go silent together, the readers' knowledge is as
// old as the oldest poll that has not ended yet. So the readers' polls end in
// turn, and some reader calls the store anew every kPollTurnInterval.
//
// No I/O.
#ifndef SRC_POLL_TURN_H_
#define SRC_POLL_TURN_H_

#include <algorithm>
#include <cstddef>

#include "src/clock.h"

namespace acacia {

// The place of a reader among all readers of the fleet.
struct PollTurn {
  std::size_t index = 0;
  std::size_t count = 1;

  bool operator==(const PollTurn&) const = default;
};

// Short enough that an entry, in a failure that leaves it three seconds to
// learn of a change, can also notice the silence and hear from another entry.
inline constexpr Duration kPollTurnInterval = std::chrono::milliseconds(750);
inline constexpr std::size_t kMaxPollTurns = 16;

// How long a poll waits for changes. A change ends the polls of all readers at
// the same time; `is_first_since_change` tells that this one is the first poll
// after it, which brings the readers back into turn.
inline Duration PollWait(const PollTurn& turn, bool is_first_since_change) {
  const std::size_t turns =
      is_first_since_change
          ? turn.index % kMaxPollTurns + 1
          : std::clamp<std::size_t>(turn.count, 1, kMaxPollTurns);
  return kPollTurnInterval * static_cast<Duration::rep>(turns);
}

}  // namespace acacia

#endif  // SRC_POLL_TURN_H_
