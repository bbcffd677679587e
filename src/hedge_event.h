// What happened to hedges: second attempts that run beside a slow first one.
#ifndef SRC_HEDGE_EVENT_H_
#define SRC_HEDGE_EVENT_H_

#include <functional>

namespace acacia {

enum class HedgeEvent {
  kSent,
  // The hedge answered first.
  kWon,
  // Cancelled because the first attempt answered.
  kWasted,
  // Not sent because of the limit alone.
  kRefusedByLimit,
};
inline constexpr int kHedgeEventCount =
    static_cast<int>(HedgeEvent::kRefusedByLimit) + 1;

// Called for each event of one service, under the service's lock.
using HedgeHook = std::function<void(HedgeEvent)>;

}  // namespace acacia

#endif  // SRC_HEDGE_EVENT_H_
