// Keeps slots for short work. Long work holds a slot many times longer, so on
// its own it would come to hold them all. It may hold a share of a backend
// server's slots and, where a service has enough backend servers, runs only on
// the same share of them; entries choose the same ones by rendezvous hashing,
// so the bound holds over the fleet although no entry sees another's use.
#ifndef SRC_WORK_SPLIT_H_
#define SRC_WORK_SPLIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/ids.h"

namespace acacia {

// With fewer backend servers than this, long work may run on each of them.
inline constexpr std::size_t kMinBackendServersToSplit = 4;

// Slots of one backend server that this entry's long work may hold; at least 1.
std::uint32_t LongSlots(std::uint32_t slots, std::uint32_t percent);

// Indexes of the backend servers that take long work.
std::vector<std::size_t> LongHosts(const ServiceName& service,
                                   const std::vector<BackendId>& backends,
                                   std::uint32_t percent);

}  // namespace acacia

#endif  // SRC_WORK_SPLIT_H_
