#include "src/lookup.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace acacia {
namespace {

// Slots of a service that one entry serves at rest.
constexpr std::uint32_t kSlotsPerEntry = 8;
constexpr std::uint32_t kMinSubset = 6;
// Mean load above which a subset grows, and by which it doubles.
constexpr std::uint32_t kGrowAbovePermille = 600;
constexpr std::uint32_t kDoubleAfterPermille = 200;
constexpr std::uint32_t kFullPermille = 1000;
// A fully loaded entry still gets this share of an idle one's weight.
constexpr std::uint32_t kMinWeight = 100;

std::uint64_t Score(const ServiceName& service, const EntryMember& member) {
  const std::string key = service.Value() + '\n' + member.instance.Value();
  return XXH64(key.data(), key.size(), 0);
}

bool TakesPart(const EntryMember& member) {
  return member.alive && !member.leaving && !member.caller_address.empty();
}

struct Ranked {
  EntryMember member;
  std::uint64_t score = 0;
  // Rank within its failure domain: rank 0 of all domains goes first.
  std::size_t rank = 0;
};

// All members that take part, in order of preference for the service.
std::vector<Ranked> RankMembers(const ServiceName& service,
                                const std::vector<EntryMember>& members) {
  std::vector<Ranked> ranked;
  for (const EntryMember& member : members) {
    if (TakesPart(member)) {
      ranked.push_back({member, Score(service, member), 0});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked& a, const Ranked& b) { return a.score > b.score; });
  std::map<FailureDomain, std::size_t> next_rank;
  for (Ranked& each : ranked) {
    each.rank = next_rank[each.member.failure_domain]++;
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const Ranked& a, const Ranked& b) { return a.rank < b.rank; });
  return ranked;
}

// `size` grown by the mean load of the first `size` members.
std::size_t GrowByLoad(std::size_t size, const std::vector<Ranked>& ranked) {
  if (size == 0) {
    return 0;
  }
  std::uint64_t load = 0;
  for (std::size_t i = 0; i < size; ++i) {
    load += ranked[i].member.load_permille;
  }
  const std::uint64_t mean = load / size;
  if (mean <= kGrowAbovePermille) {
    return size;
  }
  const std::size_t extra =
      size * (mean - kGrowAbovePermille) / kDoubleAfterPermille;
  return std::min(ranked.size(), size + extra);
}

}  // namespace

std::uint32_t SubsetSize(std::uint32_t slots) {
  return std::max(kMinSubset, (slots + kSlotsPerEntry - 1) / kSlotsPerEntry);
}

std::vector<EntryMember> ChooseSubset(const ServiceName& service,
                                      std::uint32_t slots,
                                      const std::vector<EntryMember>& members) {
  const std::vector<Ranked> ranked = RankMembers(service, members);
  const std::size_t at_rest =
      std::min<std::size_t>(ranked.size(), SubsetSize(slots));
  const std::size_t size = GrowByLoad(at_rest, ranked);
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
