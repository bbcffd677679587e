#include "src/connection_limits.h"

#include <algorithm>

namespace acacia {
namespace {

// For files, timers and the like; some systems reserve as many for files alone.
constexpr std::uint32_t kReserved = 200;
constexpr std::uint32_t kUnlimitedPerListener = 1024;
constexpr std::uint32_t kMinPerListener = 8;

}  // namespace

ConnectionLimits DivideDescriptors(std::uint32_t max_descriptors,
                                   std::uint32_t max_callers) {
  if (max_descriptors == 0) {
    return {max_callers, kUnlimitedPerListener};
  }
  const std::uint32_t usable =
      max_descriptors - std::min(kReserved, max_descriptors / 4);
  return {std::min(max_callers, usable - usable / 4),
          std::max(usable / 32, kMinPerListener)};
}

}  // namespace acacia
