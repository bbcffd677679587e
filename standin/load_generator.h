// Runs a load plan against the fleet and gathers what callers were told.
#ifndef STANDIN_LOAD_GENERATOR_H_
#define STANDIN_LOAD_GENERATOR_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <vector>

#include "src/generated/settings_generated.h"
#include "standin/call_result.h"
#include "standin/work_ledger.h"

namespace acacia {

// Sends every request at its intended time, whatever became of the others, and
// ends when the last has ended. `settings` must outlive the call.
boost::asio::awaitable<std::vector<CallResult>> RunLoad(
    const schema::LoadSettingsT& settings);

// The union of all ledgers; nothing when one of them did not answer.
boost::asio::awaitable<std::optional<WorkRecords>> ReadLedgers(
    std::vector<std::string> addresses);

}  // namespace acacia

#endif  // STANDIN_LOAD_GENERATOR_H_
