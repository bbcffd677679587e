#include "src/start_share.h"

namespace acacia {

void StartShare::Refresh(const RoomEstimate& estimate,
                         double draw,
                         TimePoint now) {
  const double all = static_cast<double>(estimate.own_waiting) +
                     static_cast<double>(estimate.others_waiting);
  const double share =
      all > 0 ? estimate.room * estimate.own_waiting / all : 0.0;
  this->left = static_cast<std::uint32_t>(share + draw);
  this->refreshed_at = now;
}

}  // namespace acacia
