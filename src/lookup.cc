#include "src/lookup.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace acacia {
namespace {

// Slots of a service per entry of its subset while the load is low.
constexpr std::uint32_t kSlotsPerEntry = 8;
constexpr std::uint32_t kMinSubsetSize = 6;
// A subset grows while its mean load is above the threshold; it has doubled at
// one step above.
constexpr std::uint32_t kGrowthThresholdPermille = 600;
constexpr std::uint32_t kDoublingStepPermille = 200;
constexpr std::uint32_t kFullPermille = 1000;
// The weight of a fully loaded entry; an idle entry has kFullPermille.
constexpr std::uint32_t kMinWeight = 100;

std::uint64_t HashScore(const ServiceName& service, const EntryMember& member) {
  const std::string key = service.Value() + '\n' + member.instance.Value();
  return XXH64(key.data(), key.size(), 0);
}

bool IsEligible(const EntryMember& member) {
  return member.alive && !member.leaving && !member.caller_address.empty();
}

struct RankedMember {
  EntryMember member;
  std::uint64_t score = 0;
  // Rank within its failure domain; all members of rank 0 precede rank 1.
  std::size_t rank = 0;
};

// Returns all eligible members in order of preference for the service.
std::vector<RankedMember> RankMembers(const ServiceName& service,
                                      const std::vector<EntryMember>& members) {
  std::vector<RankedMember> ranked;
  for (const EntryMember& member : members) {
    if (IsEligible(member)) {
      ranked.push_back({member, HashScore(service, member), 0});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedMember& a, const RankedMember& b) {
              return a.score > b.score;
            });
  std::map<FailureDomain, std::size_t> next_rank;
  for (RankedMember& each : ranked) {
    each.rank = next_rank[each.member.failure_domain]++;
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const RankedMember& a, const RankedMember& b) {
                     return a.rank < b.rank;
                   });
  return ranked;
}

// Returns the subset size, enlarged if the mean load of the first `size`
// members exceeds the threshold.
std::size_t GrowByLoad(std::size_t size,
                       const std::vector<RankedMember>& ranked) {
  if (size == 0) {
    return 0;
  }
  std::uint64_t load = 0;
  for (std::size_t i = 0; i < size; ++i) {
    load += ranked[i].member.load_permille;
  }
  const std::uint64_t mean = load / size;
  if (mean <= kGrowthThresholdPermille) {
    return size;
  }
  const std::size_t extra =
      size * (mean - kGrowthThresholdPermille) / kDoublingStepPermille;
  return std::min(ranked.size(), size + extra);
}

}  // namespace

std::uint32_t SubsetSize(std::uint32_t slots) {
  return std::max(kMinSubsetSize,
                  (slots + kSlotsPerEntry - 1) / kSlotsPerEntry);
}

std::vector<EntryMember> ChooseSubset(const ServiceName& service,
                                      std::uint32_t slots,
                                      const std::vector<EntryMember>& members) {
  const std::vector<RankedMember> ranked = RankMembers(service, members);
  const std::size_t base_size =
      std::min<std::size_t>(ranked.size(), SubsetSize(slots));
  const std::size_t size = GrowByLoad(base_size, ranked);
  std::vector<EntryMember> subset;
  for (std::size_t i = 0; i < size; ++i) {
    subset.push_back(ranked[i].member);
  }
  std::sort(subset.begin(), subset.end(),
            [](const EntryMember& a, const EntryMember& b) {
              return a.instance < b.instance;
            });
  return subset;
}

LookupAnswer BuildLookupAnswer(const ServiceName& service,
                               const std::vector<EntryMember>& subset,
                               Duration lifetime) {
  LookupAnswer answer{service, lifetime, {}};
  for (const EntryMember& member : subset) {
    const std::uint32_t load = std::min(member.load_permille, kFullPermille);
    answer.entries.push_back({member.caller_address, member.failure_domain,
                              std::max(kMinWeight, kFullPermille - load)});
  }
  return answer;
}

std::string LookupJson(const LookupAnswer& answer) {
  boost::json::array entries;
  for (const LookupEntry& entry : answer.entries) {
    entries.push_back({{"address", entry.address},
                       {"failure_domain", entry.failure_domain.Value()},
                       {"weight", entry.weight}});
  }
  const auto lifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(answer.lifetime);
  boost::json::object object{{"service", answer.service.Value()},
                             {"lifetime_ms", lifetime.count()},
                             {"entries", std::move(entries)}};
  return boost::json::serialize(object) + "\n";
}

}  // namespace acacia
