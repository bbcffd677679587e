// What the callers of one run saw, per class and over time, and whether a
// promise was broken: answers against ledgers.
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
  // Answered, but not the right, whole answer to this request.
  std::uint64_t wrong_answers = 0;
  std::uint64_t not_run_but_ran = 0;
  std::uint64_t non_idempotent_doubled = 0;
  // Answered as done, but no backend server ran it.
  std::uint64_t answered_but_lost = 0;
  // Answered as done, but what was run is not what was sent.
  std::uint64_t upload_altered = 0;
  // One line for each of the first few.
  std::vector<std::string> examples;

  std::uint64_t Total() const;
};

// Ledger checks are left out when `ledger` is null.
BrokenPromises CheckPromises(const std::vector<CallResult>& results,
                             const WorkRecords* ledger);

struct LoadReport {
  const schema::LoadSettingsT& settings;
  const std::vector<CallResult>& results;
  // Null: the ledgers were not asked.
  const WorkRecords* ledger;
  BrokenPromises broken;
};

std::string LoadReportText(const LoadReport& report);
std::string LoadReportJson(const LoadReport& report);

}  // namespace acacia

#endif  // STANDIN_LOAD_REPORT_H_
