// Tests requests that wait in the entry for the retry budget.
#include "src/held_requests.h"

#include <catch2/catch.hpp>

#include "test/load_model.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRatio = 0.2;
constexpr double kExtra = 192.0 / 46;

ServiceView MakeView(int backends) {
  return LoadView(backends, 4, {kRatio, kExtra, seconds(10)});
}

Work Submission() {
  Work work;
  work.max_attempts = 2;
  work.latency_key = "submission";
  work.target_latency = milliseconds(1500);
  return work;
}

void CheckBudget(const LoadModel& model) {
  for (const TimePoint at : model.extra_attempts) {
    const auto in_window = [at](const std::vector<TimePoint>& times) {
      return std::count_if(times.begin(), times.end(), [at](TimePoint each) {
        return each > at - seconds(10) && each <= at;
      });
    };
    CHECK(in_window(model.extra_attempts) <=
          kRatio * static_cast<double>(in_window(model.arrivals)) + kExtra);
  }
}

}  // namespace

// Guards against refusing submissions while 6 s remain: on the heavy day of the
// census forms gateway both attempts of 3,553 submissions met backend servers
// that rejected 55 %, or the retry budget was spent.
TEST_CASE("refused submissions wait for the retry budget") {
  LoadModel model(1, MakeView(40), 16);
  SeededRandom random(5);
  bool trouble = false;
  model.behaviour = [&](const BackendId&) {
    return trouble && random.Fraction() < 0.55 ? LoadModel::Behaviour::kRefuse
                                               : LoadModel::Behaviour::kServe;
  };
  model.Arrive(17, seconds(30), seconds(6), Submission);
  model.After(seconds(10), [&] { trouble = true; });
  model.After(milliseconds(18500), [&] { trouble = false; });
  model.RunFor(seconds(40));

  int refused_late = 0;
  for (const CallerResult& result : model.Results()) {
    // At most once, and never at more than two backend servers.
    CHECK(result.runs == (result.served ? 1 : 0));
    CHECK(result.backends.size() <= 2);
    CHECK((result.served || result.retry_after));
    refused_late +=
        !result.served && result.ended - result.arrived > seconds(5);
  }
  const double served = model.Served([&](const CallerResult& result) {
    return result.arrived >= TimePoint(seconds(1010)) &&
           result.arrived < TimePoint(milliseconds(1018500));
  });
  INFO("served " << served << ", refused after 5 s " << refused_late);
  CHECK(served >= 0.6);
  CHECK(model.extra_attempts.size() > 20);
  CheckBudget(model);
}

TEST_CASE("the retry budget goes to the highest rank first") {
  LoadModel model(1, MakeView(40), 16);
  SeededRandom random(5);
  model.behaviour = [&](const BackendId&) {
    return random.Fraction() < 0.55 ? LoadModel::Behaviour::kRefuse
                                    : LoadModel::Behaviour::kServe;
  };
  int next = 0;
  model.Arrive(17, seconds(20), seconds(6), [&next] {
    Work work = Submission();
    work.rank = next++ % 3 == 0 ? 0 : 1;
    return work;
  });
  model.RunFor(seconds(30));
  const auto served = [&model](std::uint32_t rank) {
    return model.Served(
        [rank](const CallerResult& each) { return each.work.rank == rank; });
  };
  INFO("rank 0 " << served(0) << ", rank 1 " << served(1));
  CHECK(served(0) > served(1) + 0.2);
  CheckBudget(model);
}

TEST_CASE("a request that certainly cannot get budget is refused at once") {
  LoadModel model(1, MakeView(40), 16);
  model.behaviour = [](const BackendId&) {
    return LoadModel::Behaviour::kRefuse;
  };
  model.Arrive(17, seconds(8), milliseconds(1500), Submission);
  model.RunFor(seconds(12));
  int at_once = 0;
  for (const CallerResult& result : model.Results()) {
    CHECK(result.error == ErrorKind::kRetryBudgetSpent);
    CHECK(result.retry_after);
    at_once += result.ended - result.arrived < milliseconds(20);
  }
  INFO("refused at once " << at_once << " of " << model.arrivals.size());
  CHECK(at_once > 60);
}

TEST_CASE("attempts that can be charged later are foreseen") {
  WindowedRetryBudget budget;
  budget.Configure({0, 2 / 0.85, seconds(10)});
  const TimePoint start{seconds(1000)};
  REQUIRE(budget.Spend(start));
  REQUIRE(budget.Spend(start + seconds(1)));
  const TimePoint now = start + seconds(2);
  CHECK_FALSE(budget.CanSpend(now));
  CHECK(budget.NextSpend(now) == start + seconds(10));
  CHECK(budget.SpendableBy(start + seconds(9), now) == 0);
  CHECK(budget.SpendableBy(start + seconds(10), now) == 1);
  CHECK(budget.SpendableBy(start + seconds(11), now) == 2);
}

}  // namespace acacia
