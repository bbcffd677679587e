#include "src/connection_limits.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace acacia {
namespace {

TEST_CASE("Without a limit of descriptors the operators' own limit holds") {
  CHECK(DivideDescriptors(0, 10000).callers == 10000);
}

// Guards FAULT: callers' connections took all descriptors.
TEST_CASE("Callers and listeners leave descriptors for backend servers") {
  constexpr std::uint32_t kListeners = 3;
  rc::check([] {
    const auto descriptors = *rc::gen::inRange<std::uint32_t>(256, 2000000);
    const auto max_callers = *rc::gen::inRange<std::uint32_t>(1, 2000000);
    const ConnectionLimits limits = DivideDescriptors(descriptors, max_callers);
    RC_ASSERT(limits.callers > 0U);
    RC_ASSERT(limits.callers <= max_callers);
    RC_ASSERT(limits.callers + kListeners * limits.per_listener <=
              descriptors - descriptors / 16);
  });
}

}  // namespace
}  // namespace acacia
