// Runs a load plan against the fleet and collects the results that callers saw.
#ifndef STANDIN_LOAD_GENERATOR_H_
#define STANDIN_LOAD_GENERATOR_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <vector>

#include "src/generated/settings_generated.h"
#include "standin/call_result.h"
#include "standin/work_ledger.h"

namespace acacia {

// Sends every request at its planned time, whether or not earlier ones have
// ended, and returns when all have ended. `settings` must outlive the call.
boost::asio::awaitable<std::vector<CallResult>> RunLoad(
    const schema::LoadSettingsT& settings);

// Merges all ledgers; empty when one of them cannot be read.
boost::asio::awaitable<std::optional<WorkRecords>> ReadLedgers(
    std::vector<std::string> addresses);

}  // namespace acacia

#endif  // STANDIN_LOAD_GENERATOR_H_
