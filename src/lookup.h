// Selects the entry instances that a caller should use for a service. Each
// service gets a subset of the entries, chosen by rendezvous hashing within
// each failure domain. Every entry computes the same subset without
// communication, and the loss of an instance moves only that instance's share.
// With small subsets each entry sees more of the requests to each backend
// server. Any entry can still serve any service.
#ifndef SRC_LOOKUP_H_
#define SRC_LOOKUP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"

namespace acacia {

// The properties of an entry instance that lookups use.
struct EntryMember {
  InstanceId instance;
  std::string caller_address;
  FailureDomain failure_domain;
  std::string region;
  bool alive = false;
  bool leaving = false;
  // Used share of the instance's capacity, 0 to 1000.
  std::uint32_t load_permille = 0;
};

struct LookupEntry {
  std::string address;
  FailureDomain failure_domain;
  // Share of new connections that the caller should open to this entry,
  // relative to the other entries' weights; at least 1.
  std::uint32_t weight = 1;
};

struct LookupAnswer {
  ServiceName service;
  // How long the caller may use the answer before it asks again.
  Duration lifetime{};
  std::vector<LookupEntry> entries;
};

// Returns how many entries serve a service with `slots` slots while their load
// is low.
std::uint32_t SubsetSize(std::uint32_t slots);

// Returns the instances that serve the service, in order of instance id.
// Members that are dead, leaving or have no caller address are excluded. Each
// failure domain contributes one instance before any contributes a second. The
// subset is larger while its mean load is high.
std::vector<EntryMember> ChooseSubset(const ServiceName& service,
                                      std::uint32_t slots,
                                      const std::vector<EntryMember>& members);

// Weights each entry of the subset by its free capacity.
LookupAnswer BuildLookupAnswer(const ServiceName& service,
                               const std::vector<EntryMember>& subset,
                               Duration lifetime);

// Serializes the answer to the JSON format of docs/CALLERS.md.
std::string LookupJson(const LookupAnswer& answer);

}  // namespace acacia

#endif  // SRC_LOOKUP_H_
