#include "src/shared_health.h"

#include <catch2/catch.hpp>

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

TEST_CASE("one broken connection makes a suspect, one server error does not") {
  SharedHealth broken;
  broken.AddBad(suspicion::kBroken, kStart);
  CHECK(broken.IsSuspect(kStart));
  SharedHealth error;
  error.AddBad(suspicion::kServerError, kStart);
  CHECK_FALSE(error.IsSuspect(kStart));
  error.AddBad(suspicion::kServerError, kStart + milliseconds(200));
  CHECK(error.IsSuspect(kStart + milliseconds(200)));
}

TEST_CASE("one good answer does not clear a suspect, several do") {
  SharedHealth health;
  health.AddBad(suspicion::kBroken, kStart);
  health.AddGood(kStart);
  CHECK(health.IsSuspect(kStart));
  health.AddGood(kStart);
  CHECK_FALSE(health.IsSuspect(kStart));
}

TEST_CASE("suspicion fades, and is bounded") {
  SharedHealth health;
  for (int i = 0; i < 100; ++i) {
    health.AddBad(suspicion::kBroken, kStart);
  }
  CHECK(health.Suspicion(kStart) == Approx(SharedHealth::kMaxSuspicion));
  CHECK(health.IsSuspect(kStart + seconds(5)));
  CHECK_FALSE(health.IsSuspect(kStart + seconds(15)));
}

}  // namespace
}  // namespace acacia
