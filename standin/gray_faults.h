// Gray failures of backend-standin: faults in serving requests that its health
// endpoint need not show.
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
  // Shares of requests that end this way, in thousandths. Each of these
  // requests has run.
  std::uint32_t error_permille = 0;
  std::uint32_t silence_permille = 0;
  std::uint32_t truncate_permille = 0;
  std::uint32_t wrong_permille = 0;
  std::uint32_t reset_permille = 0;
  // Share of connections that the faults apply to.
  std::uint32_t connections_permille = 1000;
  // The faults apply only to callers whose IP address, and to requests whose
  // Acacia-Request-Id, starts with one of these; an empty list does not
  // restrict.
  std::vector<std::string> caller_addresses;
  std::vector<std::string> request_id_prefixes;
  // The faults alternate between one period on and one period off; 0: always
  // on.
  std::uint32_t flap_period_ms = 0;
  // When false, the health endpoint fails while the faults apply.
  bool health_lies = true;
};

// The error names the unknown or wrongly typed field.
tl::expected<GrayFaults, std::string> ParseGrayFaults(const std::string& text);

// The properties of a request that decide whether the faults apply to it.
struct RequestOrigin {
  std::string caller_address;
  std::uint16_t caller_port = 0;
  std::string request_id;
};

enum class FaultKind { kNone, kError, kSilence, kTruncate, kWrong, kReset };

// True when the faults apply to a request from `origin` at `now`. `since` is
// when they were set.
bool FaultsApply(const GrayFaults& faults,
                 const RequestOrigin& origin,
                 TimePoint since,
                 TimePoint now);

// Draws how one request ends that the faults apply to.
FaultKind DrawFault(const GrayFaults& faults, RandomSource& random);

}  // namespace acacia

#endif  // STANDIN_GRAY_FAULTS_H_
