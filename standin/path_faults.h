// The faults that fault-proxy applies to the path between two processes, as an
// operator sets them. fault_proxy.h describes the fields.
#ifndef STANDIN_PATH_FAULTS_H_
#define STANDIN_PATH_FAULTS_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace acacia {

struct PathFaults {
  bool cut_to_target = false;
  bool cut_to_caller = false;
  std::uint32_t delay_ms = 0;
  bool refuse_new = false;
  std::uint32_t drop_permille = 0;
  // Applied once, to the connections open when the faults are set.
  bool silence_existing = false;
  bool reset_existing = false;
};

// The error names the unknown or wrongly typed field.
tl::expected<PathFaults, std::string> ParsePathFaults(const std::string& text);

}  // namespace acacia

#endif  // STANDIN_PATH_FAULTS_H_
