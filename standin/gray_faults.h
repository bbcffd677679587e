// The ways in which backend-standin can be sick while its health endpoint says
// that it is well.
#ifndef STANDIN_GRAY_FAULTS_H_
#define STANDIN_GRAY_FAULTS_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/clock.h"
#include "src/random_source.h"

namespace acacia {

struct GrayFaults {
  // Multiplies the service time.
  double slow_factor = 1;
  // Share of requests that end so, in a thousand each. All of them have run.
  std::uint32_t error_permille = 0;
  std::uint32_t silence_permille = 0;
  std::uint32_t truncate_permille = 0;
  std::uint32_t wrong_permille = 0;
  std::uint32_t reset_permille = 0;
  // Share of connections that see the faults.
  std::uint32_t connections_permille = 1000;
  // Only callers from these IP addresses, or with an Acacia-Request-Id that
  // starts so, see the faults; empty: all.
  std::vector<std::string> caller_addresses;
  std::vector<std::string> request_id_prefixes;
  // Faulty for one period, well for the next; 0: always faulty.
  std::uint32_t flap_period_ms = 0;
  // When false, the health endpoint fails while the faults apply.
  bool health_lies = true;
};

// The error names the unknown or wrongly typed field.
tl::expected<GrayFaults, std::string> ParseGrayFaults(const std::string& text);

// Whose request it is, as far as the faults choose between callers.
struct FaultSubject {
  std::string caller_address;
  std::uint16_t caller_port = 0;
  std::string request_id;
};

enum class FaultKind { kNone, kError, kSilence, kTruncate, kWrong, kReset };

// True when the faults concern this caller now. `since` is when they were set.
bool FaultsApply(const GrayFaults& faults,
                 const FaultSubject& subject,
                 TimePoint since,
                 TimePoint now);

// Draws how one request ends, for a caller whom the faults concern.
FaultKind DrawFault(const GrayFaults& faults, RandomSource& random);

}  // namespace acacia

#endif  // STANDIN_GRAY_FAULTS_H_
