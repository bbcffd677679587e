#include "src/retry_after.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "src/random_source.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a longer queue brings callers back later, within bounds") {
  const Duration usual = milliseconds(200);
  const Duration idle = RetryAfter({0, usual}, 0.5);
  const Duration full = RetryAfter({2, usual}, 0.5);
  const Duration overloaded = RetryAfter({5, usual}, 0.5);
  CHECK(idle == milliseconds(100));
  CHECK(full == milliseconds(300));
  CHECK(overloaded == milliseconds(900));
  CHECK(RetryAfter({100, usual}, 0.5) == seconds(2));
  CHECK(RetryAfter({0, milliseconds(1)}, 0) == milliseconds(50));
  CHECK(RetryAfter({3, Duration{}}, 0.5) == kDefaultRetryAfter);
}

TEST_CASE("the header has whole seconds unless callers take fractions") {
  CHECK(FormatRetryAfter(milliseconds(300), false) == "1");
  CHECK(FormatRetryAfter(seconds(2), false) == "2");
  CHECK(FormatRetryAfter(milliseconds(300), true) == "0.300");
}

// Reproduces a load peak of kpsra-gw: seven backend servers with two slots
// each, requests of 200 ms, and a hundred callers refused at the same moment
// with four requests per slot ahead of them. A fixed wait would bring all of
// them back at once; the jitter must spread them to about what the slots can
// take.
TEST_CASE("callers refused together do not return together") {
  constexpr int kCallers = 100;
  constexpr int kSlots = 14;
  const Duration usual = milliseconds(200);
  SeededRandom random(4);
  std::vector<Duration> returns;
  for (int i = 0; i < kCallers; ++i) {
    returns.push_back(RetryAfter({4, usual}, random.Fraction()));
  }
  std::sort(returns.begin(), returns.end());
  // None returns before half of the queue ahead has drained.
  CHECK(returns.front() >= milliseconds(300));
  // Within the duration of one request, no more callers return than the slots
  // and a queue of two requests per slot hold.
  for (std::size_t i = 0; i < returns.size(); ++i) {
    const auto end =
        std::upper_bound(returns.begin(), returns.end(), returns[i] + usual);
    const auto together =
        end - returns.begin() - static_cast<std::ptrdiff_t>(i);
    CHECK(together <= 3 * kSlots);
  }
}

}  // namespace
}  // namespace acacia
