// Which entry instances a caller should use for a service. Each service gets a
// subset of the entries, chosen by rendezvous hashing within each failure
// domain, so that every entry names the same subset without talking to the
// others and a lost instance moves only its own share. Small subsets let each
// entry see more of each backend server. Any entry still serves any service.
#ifndef SRC_LOOKUP_H_
#define SRC_LOOKUP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"

namespace acacia {

// An entry instance as lookups see it.
struct EntryMember {
  InstanceId instance;
  std::string caller_address;
  FailureDomain failure_domain;
  std::string region;
  bool alive = false;
  bool leaving = false;
  // Share of the instance's capacity in use, 0 to 1000.
  std::uint32_t load_permille = 0;
};

struct LookupEntry {
  std::string address;
  FailureDomain failure_domain;
  // Share of new connections that the caller should open here, relative to the
  // other entries; at least 1.
  std::uint32_t weight = 1;
};

struct LookupAnswer {
  ServiceName service;
  // How long the caller may use the answer.
  Duration lifetime{};
  std::vector<LookupEntry> entries;
};

// How many entries serve a service with so many slots, while nobody is loaded.
std::uint32_t SubsetSize(std::uint32_t slots);

// The instances that serve the service, in order of instance id. Members that
// are dead, leaving or without an address for callers take no part. Every
// failure domain with members contributes before any contributes twice; the
// subset grows while its mean load is high.
std::vector<EntryMember> ChooseSubset(const ServiceName& service,
                                      std::uint32_t slots,
                                      const std::vector<EntryMember>& members);

LookupAnswer BuildLookupAnswer(const ServiceName& service,
                               const std::vector<EntryMember>& subset,
                               Duration lifetime);

// The JSON of docs/CALLERS.md.
std::string LookupJson(const LookupAnswer& answer);

}  // namespace acacia

#endif  // SRC_LOOKUP_H_
