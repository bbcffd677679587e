// A backend server's own report of its load. It lags behind the real load and
// may be wrong.
#ifndef SRC_REPORTED_LOAD_H_
#define SRC_REPORTED_LOAD_H_

#include <cstdint>

namespace acacia {

struct ReportedLoad {
  // Requests that occupy a slot.
  std::uint32_t running = 0;
  // Requests that wait for a slot.
  std::uint32_t waiting = 0;
  // The number of slots; 0 when not reported.
  std::uint32_t slots = 0;
};

}  // namespace acacia

#endif  // SRC_REPORTED_LOAD_H_
