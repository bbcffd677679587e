#include "src/stop_window.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace acacia {
namespace {

using Milliseconds = std::chrono::milliseconds;

const TimePoint kBegan = TimePoint() + std::chrono::hours(1);

TEST_CASE("A stop without a time limit admits every request") {
  const StopWindow window = MakeStopWindow(kBegan, Duration{});
  CHECK(window.Admits(kBegan + std::chrono::hours(1),
                      kBegan + std::chrono::hours(2)));
}

// Guards LOST: a request that the end of the process cuts off had been passed
// on late in the stop.
TEST_CASE("What is admitted late in a stop has its answer before the end") {
  rc::check([] {
    const Milliseconds length(*rc::gen::inRange(1, 60000));
    const Milliseconds at(*rc::gen::inRange(0, 60000));
    const Milliseconds allowed(*rc::gen::inRange(0, 60000));
    const StopWindow window = MakeStopWindow(kBegan, length);
    const TimePoint now = kBegan + at;
    const bool is_early = at < length / 2;
    const bool ends_in_time = at + allowed <= length;
    RC_ASSERT(window.Admits(now, now + allowed) == (is_early || ends_in_time));
  });
}

}  // namespace
}  // namespace acacia
