#include "src/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace acacia {

double RendezvousScore(std::string_view key, const RendezvousNode& node) {
  const XXH64_hash_t seed = XXH3_64bits(node.id.data(), node.id.size());
  const XXH64_hash_t hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
  // Uniform over (0, 1): 53 bits plus half a step, so that it is never zero.
  const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return -node.weight / std::log(uniform);
}

std::vector<std::size_t> RankByRendezvous(
    std::string_view key,
    const std::vector<RendezvousNode>& nodes,
    std::size_t count) {
  std::vector<std::pair<double, std::size_t>> scored;
  scored.reserve(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (nodes[i].weight > 0) {
      scored.emplace_back(RendezvousScore(key, nodes[i]), i);
    }
  }
  const std::size_t kept = std::min(count, scored.size());
  const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(scored.begin(), middle, scored.end(),
                    [&nodes](const auto& a, const auto& b) {
                      return a.first != b.first
                                 ? a.first > b.first
                                 : nodes[a.second].id < nodes[b.second].id;
                    });
  std::vector<std::size_t> ranked;
  ranked.reserve(kept);
  for (auto at = scored.begin(); at != middle; ++at) {
    ranked.push_back(at->second);
  }
  return ranked;
}

}  // namespace acacia
