#include "src/windowed_retry_budget.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
const RetryWindow kWindow{0.2, 2, seconds(10)};

TEST_CASE("without requests the constant alone may be spent") {
  WindowedRetryBudget budget;
  budget.Configure(kWindow);
  CHECK(budget.Spend(kStart));
  CHECK_FALSE(budget.Spend(kStart + seconds(5)));
  CHECK(budget.Spend(kStart + seconds(11)));
}

TEST_CASE("no window holds more extra attempts than its bound") {
  rc::prop("whatever the order of requests and attempts", [] {
    WindowedRetryBudget budget;
    budget.Configure(kWindow);
    TimePoint now = kStart;
    std::vector<TimePoint> requests;
    std::vector<TimePoint> spent;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step % 3 != 0) {
        budget.OnRequest(now);
        requests.push_back(now);
        continue;
      }
      if (!budget.Spend(now)) {
        continue;
      }
      spent.push_back(now);
      const auto recent = [now](TimePoint at) {
        return at > now - kWindow.window;
      };
      const auto recent_requests =
          std::count_if(requests.begin(), requests.end(), recent);
      const auto extra = std::count_if(spent.begin(), spent.end(), recent);
      RC_ASSERT(static_cast<double>(extra) <=
                kWindow.ratio * static_cast<double>(recent_requests) +
                    kWindow.extra);
    }
  });
}

TEST_CASE("risky attempts leave part of the budget to unexpected retries") {
  WindowedRetryBudget budget;
  budget.Configure(kWindow);
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest(now);
  }
  int risky = 0;
  while (budget.HasSpare(now) && budget.Spend(now)) {
    ++risky;
  }
  int unexpected = 0;
  while (budget.Spend(now)) {
    ++unexpected;
  }
  CHECK(risky > 0);
  CHECK(unexpected >= risky / 2);
  now += kWindow.window + milliseconds(1);
  budget.OnRequest(now);
  CHECK(budget.HasSpare(now));
}

}  // namespace
}  // namespace acacia
