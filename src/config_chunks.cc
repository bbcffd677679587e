#include "src/config_chunks.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "src/content_hash.h"
#include "src/flat_table.h"

namespace acacia {
namespace {

StoredObject MakeObject(std::string body) {
  return {HashContent(body), std::move(body)};
}

std::size_t BucketIndex(const std::string& name, std::size_t buckets) {
  return XXH64(name.data(), name.size(), 0) % buckets;
}

template <typename T>
void AppendCopies(const std::vector<std::unique_ptr<T>>& from,
                  std::vector<std::unique_ptr<T>>& to) {
  for (const auto& item : from) {
    to.push_back(std::make_unique<T>(*item));
  }
}

template <typename T>
void SortByName(std::vector<std::unique_ptr<T>>& items) {
  std::sort(items.begin(), items.end(),
            [](const auto& a, const auto& b) { return a->name < b->name; });
}

void SortFileSet(schema::FileSetT& file_set) {
  SortByName(file_set.services);
  SortByName(file_set.routes);
  SortByName(file_set.accounts);
  SortByName(file_set.drain_rules);
  SortByName(file_set.stop_plans);
}

void AddChunk(schema::FileSetT file_set, std::vector<StoredObject>& chunks) {
  SortFileSet(file_set);
  chunks.push_back(MakeObject(PackTable<schema::FileSet>(file_set)));
}

// Adds one chunk per non-empty bucket. `member` is the list of FileSetT that
// holds the items.
template <typename T>
void AddBuckets(const std::vector<std::unique_ptr<T>>& items,
                std::vector<std::unique_ptr<T>> schema::FileSetT::*member,
                std::size_t buckets,
                std::vector<StoredObject>& chunks) {
  std::map<std::size_t, schema::FileSetT> sets;
  for (const auto& item : items) {
    auto& set = sets[BucketIndex(item->name, buckets)];
    (set.*member).push_back(std::make_unique<T>(*item));
  }
  for (auto& [bucket, set] : sets) {
    AddChunk(std::move(set), chunks);
  }
}

}  // namespace

ChunkedFileSet SplitFileSet(const schema::FileSetT& file_set) {
  ChunkedFileSet result;
  schema::FileSetT base;
  AppendCopies(file_set.services, base.services);
  AppendCopies(file_set.drain_rules, base.drain_rules);
  AppendCopies(file_set.stop_plans, base.stop_plans);
  AddChunk(std::move(base), result.chunks);
  AddBuckets(file_set.routes, &schema::FileSetT::routes, kRouteBuckets,
             result.chunks);
  AddBuckets(file_set.accounts, &schema::FileSetT::accounts, kAccountBuckets,
             result.chunks);
  schema::ManifestT manifest;
  for (const StoredObject& chunk : result.chunks) {
    manifest.chunks.push_back(chunk.hash.Value());
  }
  result.manifest = MakeObject(PackTable<schema::Manifest>(manifest));
  return result;
}

std::optional<std::vector<ObjectHash>> ParseManifest(const std::string& body) {
  auto manifest = UnpackTable<schema::Manifest>(body);
  if (!manifest) {
    return std::nullopt;
  }
  std::vector<ObjectHash> hashes;
  for (std::string& hash : manifest->chunks) {
    hashes.emplace_back(std::move(hash));
  }
  return hashes;
}

std::optional<schema::FileSetT> JoinChunks(
    const std::vector<ObjectHash>& manifest,
    const std::map<ObjectHash, std::string>& bodies) {
  schema::FileSetT joined;
  for (const ObjectHash& hash : manifest) {
    const auto body = bodies.find(hash);
    if (body == bodies.end()) {
      return std::nullopt;
    }
    auto part = UnpackTable<schema::FileSet>(body->second);
    if (!part) {
      return std::nullopt;
    }
    AppendCopies(part->services, joined.services);
    AppendCopies(part->routes, joined.routes);
    AppendCopies(part->accounts, joined.accounts);
    AppendCopies(part->drain_rules, joined.drain_rules);
    AppendCopies(part->stop_plans, joined.stop_plans);
  }
  SortFileSet(joined);
  return joined;
}

}  // namespace acacia
