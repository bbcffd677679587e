#include <catch2/catch.hpp>

#include "standin/load_plan.h"
#include "standin/load_report.h"
#include "standin/work_body.h"

namespace acacia {
namespace {

CallResult Result(CallOutcome outcome, bool idempotent) {
  CallResult result;
  result.work_id = std::string("w");
  result.outcome = outcome;
  result.idempotent = idempotent;
  result.status = outcome == CallOutcome::kAnswered ? 200 : 503;
  return result;
}

struct Case {
  CallOutcome outcome;
  bool idempotent;
  std::uint32_t runs;
  std::uint64_t broken;
};

TEST_CASE("Answers are checked against the ledger") {
  const auto c = GENERATE(Case{CallOutcome::kNotRun, true, 0, 0},
                          Case{CallOutcome::kNotRun, true, 1, 1},
                          Case{CallOutcome::kNotRun, false, 2, 2},
                          Case{CallOutcome::kUnknown, false, 1, 0},
                          Case{CallOutcome::kUnknown, false, 2, 1},
                          Case{CallOutcome::kUnknown, true, 2, 0},
                          Case{CallOutcome::kAnswered, false, 1, 0},
                          Case{CallOutcome::kAnswered, true, 3, 0},
                          Case{CallOutcome::kAnswered, true, 0, 1},
                          Case{CallOutcome::kServerError, false, 2, 1});
  const std::vector<CallResult> results{Result(c.outcome, c.idempotent)};
  const WorkRecords ledger{{"w", {c.runs, 0, 0}}};
  CHECK(CheckPromises(results, &ledger).Total() == c.broken);
}

TEST_CASE("A wrong answer and an altered upload are broken promises") {
  CallResult wrong = Result(CallOutcome::kAnswered, true);
  wrong.wrong = true;
  CHECK(CheckPromises({wrong}, nullptr).wrong_answers == 1);
  CallResult upload = Result(CallOutcome::kAnswered, false);
  upload.body_bytes = 10;
  upload.body_hash = 7;
  WorkRecords ledger{{"w", {1, 10, 7}}};
  CHECK(CheckPromises({upload}, &ledger).Total() == 0);
  ledger["w"].body_hash = 8;
  CHECK(CheckPromises({upload}, &ledger).upload_altered == 1);
}

TEST_CASE("A ledger's JSON adds up over backend servers") {
  WorkLedger one;
  one.AddRun("w", 5, 18446744073709551615ULL);
  WorkRecords records;
  REQUIRE(AddLedgerJson(one.Json(true), records));
  REQUIRE(AddLedgerJson(one.Json(true), records));
  CHECK(records["w"].runs == 2);
  CHECK(records["w"].body_hash == 18446744073709551615ULL);
  CHECK_FALSE(AddLedgerJson("{}", records));
}

TEST_CASE("The body checker finds a changed byte at any position") {
  const std::string body = WorkBody("w1-17", 100);
  const std::size_t split = GENERATE(0U, 1U, 6U, 50U, 100U);
  WorkBodyChecker checker("w1-17");
  checker.Add(std::string_view(body).substr(0, split));
  checker.Add(std::string_view(body).substr(split));
  CHECK(checker.IsCorrect());
  CHECK(checker.Size() == 100);
  std::string foreign = body;
  foreign[split % 100] ^= 1;
  WorkBodyChecker other("w1-17");
  other.Add(foreign);
  CHECK_FALSE(other.IsCorrect());
}

TEST_CASE("The plan follows the rate profile and is repeatable") {
  schema::LoadSettingsT settings;
  settings.duration_ms = 3000;
  settings.classes.emplace_back(std::make_unique<schema::LoadClassT>());
  for (const auto& [at_ms, rate] :
       {std::pair(0, 100), {1000, 0}, {2000, 1000}}) {
    settings.rate.emplace_back(std::make_unique<schema::RatePointT>());
    settings.rate.back()->at_ms = at_ms;
    settings.rate.back()->requests_per_second = rate;
  }
  LoadPlan plan(settings);
  LoadPlan again(settings);
  std::array<int, 3> per_second{};
  while (const auto request = plan.Next()) {
    CHECK(again.Next()->at == request->at);
    ++per_second.at(request->at / std::chrono::seconds(1));
  }
  CHECK(per_second[0] > 60);
  CHECK(per_second[0] < 140);
  CHECK(per_second[1] == 0);
  CHECK(per_second[2] > 850);
  CHECK(per_second[2] < 1150);
}

}  // namespace
}  // namespace acacia
