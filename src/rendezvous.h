// Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after
// Schindelhauer and Schomaker 2005) with XXH3: every process ranks the same
// nodes for a key in the same order without talking, and a node that joins or
// leaves moves only the keys that it wins or held.
#ifndef SRC_RENDEZVOUS_H_
#define SRC_RENDEZVOUS_H_

#include <cstddef>
#include <string_view>
#include <vector>

namespace acacia {

struct RendezvousNode {
  std::string_view id;
  // Share of keys relative to other nodes; 0 or less: none.
  double weight = 1.0;
};

// The node's score for the key, higher is better. Equal in every process.
double RendezvousScore(std::string_view key, const RendezvousNode& node);

// Indexes into `nodes` of the `count` best for the key, best first. Nodes
// without weight are left out.
std::vector<std::size_t> RankByRendezvous(
    std::string_view key,
    const std::vector<RendezvousNode>& nodes,
    std::size_t count);

}  // namespace acacia

#endif  // SRC_RENDEZVOUS_H_
