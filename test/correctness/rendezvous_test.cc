// Rendezvous hashing: the order of the nodes does not matter, removing a node
// moves only the keys it held, and weights set the shares.
#include "src/rendezvous.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace {

using acacia::RankByRendezvous;
using acacia::RendezvousNode;

constexpr int kKeys = 4000;

std::string Winner(const std::string& key,
                   const std::vector<RendezvousNode>& nodes) {
  return std::string(nodes[RankByRendezvous(key, nodes, 1).at(0)].id);
}

}  // namespace

TEST_CASE("Removing a node moves only the keys that it held") {
  std::vector<RendezvousNode> all = {{"a"}, {"b"}, {"c"}, {"d"}};
  std::vector<RendezvousNode> fewer = {{"d"}, {"c"}, {"a"}};
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = "service-" + std::to_string(i);
    const std::string before = Winner(key, all);
    CHECK((before == "b" || Winner(key, fewer) == before));
  }
}

TEST_CASE("Weights set each node's share of keys") {
  const std::vector<RendezvousNode> nodes = {{"a", 1}, {"b", 3}, {"c", 0}};
  int b = 0;
  for (int i = 0; i < kKeys; ++i) {
    b += Winner("key-" + std::to_string(i), nodes) == "b" ? 1 : 0;
  }
  CHECK(b > kKeys * 70 / 100);
  CHECK(b < kKeys * 80 / 100);
  CHECK(RankByRendezvous("key", nodes, 5).size() == 2);
}
