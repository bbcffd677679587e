#include "src/buffer_budget.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace acacia {
namespace {

TEST_CASE("A budget of 0 has no bound") {
  BufferBudget budget(0);
  CHECK(budget.TryTake(std::size_t{1} << 40));
}

// Guards FAULT: bodies that were held at the same time had no common bound.
TEST_CASE("The shares of a buffer budget never exceed it and are given back") {
  rc::check([](std::uint16_t max_bytes) {
    const std::size_t limit = max_bytes + std::size_t{1};
    BufferBudget budget(limit);
    {
      std::vector<std::unique_ptr<BufferShare>> shares;
      std::vector<std::size_t> sizes(4);
      for (int i = 0; i < 4; ++i) {
        shares.push_back(std::make_unique<BufferShare>(budget));
      }
      for (int step = 0; step < 50; ++step) {
        const auto at = *rc::gen::inRange<std::size_t>(0, shares.size());
        const auto size = *rc::gen::inRange<std::size_t>(0, 2 * limit);
        std::size_t others = 0;
        for (std::size_t i = 0; i < sizes.size(); ++i) {
          others += i == at ? 0 : sizes[i];
        }
        if (*rc::gen::arbitrary<bool>()) {
          shares[at]->Release();
          sizes[at] = 0;
        }
        const bool fits = size <= sizes[at] || size + others <= limit;
        RC_ASSERT(shares[at]->GrowTo(size) == fits);
        sizes[at] = fits ? std::max(sizes[at], size) : sizes[at];
        RC_ASSERT(budget.HeldBytes() == others + sizes[at]);
      }
    }
    RC_ASSERT(budget.HeldBytes() == 0U);
  });
}

}  // namespace
}  // namespace acacia
