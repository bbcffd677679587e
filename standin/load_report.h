// Reports the results that the callers of one run saw, per class and over time,
// and the promises that were broken according to the backend servers' ledgers.
#ifndef STANDIN_LOAD_REPORT_H_
#define STANDIN_LOAD_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/generated/settings_generated.h"
#include "standin/call_result.h"
#include "standin/work_ledger.h"

namespace acacia {

struct BrokenPromises {
  // Answered, but not with the correct, complete answer to this request.
  std::uint64_t wrong_answers = 0;
  std::uint64_t not_run_but_ran = 0;
  std::uint64_t non_idempotent_doubled = 0;
  // Answered with success, but no backend server ran it.
  std::uint64_t answered_but_lost = 0;
  // Answered with success, but it ran with another body than was sent.
  std::uint64_t upload_altered = 0;
  // One line for each of the first few broken promises.
  std::vector<std::string> examples;

  std::uint64_t Total() const;
};

// Checks only the answers themselves when `ledger` is null.
BrokenPromises CheckPromises(const std::vector<CallResult>& results,
                             const WorkRecords* ledger);

struct LoadReport {
  const schema::LoadSettingsT& settings;
  const std::vector<CallResult>& results;
  // Null when no ledgers were read.
  const WorkRecords* ledger;
  BrokenPromises broken;
};

std::string LoadReportText(const LoadReport& report);
std::string LoadReportJson(const LoadReport& report);

}  // namespace acacia

#endif  // STANDIN_LOAD_REPORT_H_
