// Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after
// Schindelhauer and Schomaker 2005) with XXH3. Every process ranks the same
// nodes for a key in the same order without communication. A node that joins or
// leaves moves only the keys that it gains or held.
#ifndef SRC_RENDEZVOUS_H_
#define SRC_RENDEZVOUS_H_

#include <cstddef>
#include <string_view>
#include <vector>

namespace acacia {

struct RendezvousNode {
  std::string_view id;
  // The share of keys relative to other nodes; none if 0 or less.
  double weight = 1.0;
};

// Returns the node's score for the key; higher is better. The result is the
// same in every process.
double RendezvousScore(std::string_view key, const RendezvousNode& node);

// Returns the indexes of the `count` best nodes for the key, best first. Nodes
// without weight are omitted.
std::vector<std::size_t> RankByRendezvous(
    std::string_view key,
    const std::vector<RendezvousNode>& nodes,
    std::size_t count);

// The same for ids of equal weight.
template <typename Id>
std::vector<std::size_t> RankIdsByRendezvous(std::string_view key,
                                             const std::vector<Id>& ids,
                                             std::size_t count) {
  std::vector<RendezvousNode> nodes;
  nodes.reserve(ids.size());
  for (const Id& id : ids) {
    nodes.push_back({id.Value()});
  }
  return RankByRendezvous(key, nodes, count);
}

}  // namespace acacia

#endif  // SRC_RENDEZVOUS_H_
