#include <utility>

#include "standin/load_report.h"

namespace acacia {
namespace {

constexpr std::size_t kMaxExamples = 10;

void RecordBroken(BrokenPromises& broken,
                  std::uint64_t BrokenPromises::*count,
                  const CallResult& result,
                  const std::string& what) {
  ++(broken.*count);
  if (broken.examples.size() < kMaxExamples) {
    broken.examples.push_back(result.work_id + ": " + what + " (status " +
                              std::to_string(result.status) + " " +
                              result.error + ")");
  }
}

void CheckLedger(const CallResult& result,
                 const WorkRecord& record,
                 BrokenPromises& broken) {
  if (result.outcome == CallOutcome::kNotRun && record.runs > 0) {
    RecordBroken(broken, &BrokenPromises::not_run_but_ran, result,
                 "told not-run, but ran");
  }
  if (!result.idempotent && record.runs > 1) {
    RecordBroken(
        broken, &BrokenPromises::non_idempotent_doubled, result,
        "non-idempotent, ran " + std::to_string(record.runs) + " times");
  }
  if (result.outcome != CallOutcome::kAnswered || result.status >= 400) {
    return;
  }
  if (record.runs == 0) {
    RecordBroken(broken, &BrokenPromises::answered_but_lost, result,
                 "answered, but nothing ran it");
  } else if (result.body_bytes > 0 && (record.body_bytes != result.body_bytes ||
                                       record.body_hash != result.body_hash)) {
    RecordBroken(broken, &BrokenPromises::upload_altered, result,
                 "the upload that ran is not the one sent");
  }
}

}  // namespace

std::uint64_t BrokenPromises::Total() const {
  return this->wrong_answers + this->not_run_but_ran +
         this->non_idempotent_doubled + this->answered_but_lost +
         this->upload_altered;
}

BrokenPromises CheckPromises(const std::vector<CallResult>& results,
                             const WorkRecords* ledger) {
  BrokenPromises broken;
  for (const CallResult& result : results) {
    if (result.wrong) {
      RecordBroken(broken, &BrokenPromises::wrong_answers, result,
                   "not the right, whole answer of its own");
    }
    if (!ledger) {
      continue;
    }
    const auto found = ledger->find(result.work_id);
    CheckLedger(result, found == ledger->end() ? WorkRecord{} : found->second,
                broken);
  }
  return broken;
}

}  // namespace acacia
