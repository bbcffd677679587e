// Splits a configuration into content-addressed chunks, so that a small change
// moves little: a manifest names the chunks, services with drain rules and stop
// plans share one, routes and accounts go into buckets by the hash of their
// name. Changing one of 26,000 routes replaces one chunk and the manifest.
#ifndef SRC_CONFIG_CHUNKS_H_
#define SRC_CONFIG_CHUNKS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/generated/file_set_generated.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"

namespace acacia {

inline constexpr std::size_t kRouteBuckets = 128;
inline constexpr std::size_t kAccountBuckets = 64;

struct StoredObject {
  ObjectHash hash;
  std::string body;
};

struct ChunkedFileSet {
  // The manifest names every chunk; its own hash names the configuration.
  StoredObject manifest;
  std::vector<StoredObject> chunks;
};

// The same file set gives the same objects, whatever its order.
ChunkedFileSet SplitFileSet(const schema::FileSetT& file_set);

// Empty when the bytes are no manifest.
std::optional<std::vector<ObjectHash>> ParseManifest(const std::string& body);

// Joins the chunks. Empty when one is missing or is no file set.
std::optional<schema::FileSetT> JoinChunks(
    const std::vector<ObjectHash>& manifest,
    const std::map<ObjectHash, std::string>& bodies);

}  // namespace acacia

#endif  // SRC_CONFIG_CHUNKS_H_
