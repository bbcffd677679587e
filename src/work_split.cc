#include "src/work_split.h"

#include <algorithm>
#include <string>

#include "src/rendezvous.h"

namespace acacia {

std::uint32_t MaxLongSlots(std::uint32_t slots, std::uint32_t percent) {
  return std::max(slots * percent / 100, 1U);
}

std::vector<std::size_t> ChooseLongWorkBackends(
    const ServiceName& service,
    const std::vector<BackendId>& backends,
    std::uint32_t percent) {
  const bool split = backends.size() >= kMinBackendServersToSplit;
  const std::size_t count =
      split ? std::max<std::size_t>(backends.size() * percent / 100, 1)
            : backends.size();
  return RankIdsByRendezvous("long/" + service.Value(), backends, count);
}

}  // namespace acacia
