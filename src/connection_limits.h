// Divides the descriptors that a process may open, so that callers who keep
// connections open leave enough for backend servers, the store and those who
// ask whether the entry is ready.
#ifndef SRC_CONNECTION_LIMITS_H_
#define SRC_CONNECTION_LIMITS_H_

#include <cstdint>

namespace acacia {

struct ConnectionLimits {
  // Connections of callers.
  std::uint32_t callers = 0;
  // Connections to each of the other listeners: lookups, readiness, operators.
  std::uint32_t per_listener = 0;
};

// `max_descriptors` is the limit of the process, 0 if there is none.
// `max_callers` is the operators' own limit.
ConnectionLimits DivideDescriptors(std::uint32_t max_descriptors,
                                   std::uint32_t max_callers);

}  // namespace acacia

#endif  // SRC_CONNECTION_LIMITS_H_
