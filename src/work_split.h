// Reserves slots for short work. Long work holds a slot many times longer than
// short work and would otherwise come to hold all of them. It may hold only a
// share of a backend server's slots. Where a service has enough backend
// servers, it also runs only on a fixed share of them. Entries choose the same
// ones by rendezvous hashing, so the bound holds over the fleet although no
// entry sees another's use.
#ifndef SRC_WORK_SPLIT_H_
#define SRC_WORK_SPLIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/ids.h"

namespace acacia {

// With fewer backend servers than this, long work may run on each of them.
inline constexpr std::size_t kMinBackendServersToSplit = 4;

// Returns how many slots of one backend server this entry's long work may hold;
// at least 1.
std::uint32_t MaxLongSlots(std::uint32_t slots, std::uint32_t percent);

// Returns the indexes into `backends` of those that take long work.
std::vector<std::size_t> ChooseLongWorkBackends(
    const ServiceName& service,
    const std::vector<BackendId>& backends,
    std::uint32_t percent);

}  // namespace acacia

#endif  // SRC_WORK_SPLIT_H_
