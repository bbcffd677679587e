// Splits a configuration into content-addressed chunks, so that a small change
// transfers little data. A manifest names the chunks. Services, drain rules and
// stop plans share one chunk; routes and accounts are divided into buckets, a
// chunk each, by the hash of their name. Changing one of 26,000 routes replaces
// one chunk and the manifest.
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
  // Names every chunk; its own hash identifies the configuration.
  StoredObject manifest;
  std::vector<StoredObject> chunks;
};

// Gives the same objects for equal file sets, whatever the order of their
// items.
ChunkedFileSet SplitFileSet(const schema::FileSetT& file_set);

// The hashes of the manifest's chunks; nullopt when the bytes are no manifest.
std::optional<std::vector<ObjectHash>> ParseManifest(const std::string& body);

// Joins the chunks; nullopt when one is missing or is no file set.
std::optional<schema::FileSetT> JoinChunks(
    const std::vector<ObjectHash>& manifest,
    const std::map<ObjectHash, std::string>& bodies);

}  // namespace acacia

#endif  // SRC_CONFIG_CHUNKS_H_
