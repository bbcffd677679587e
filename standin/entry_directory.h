// Chooses entries as a caller does: caches lookup answers for their lifetime.
#ifndef STANDIN_ENTRY_DIRECTORY_H_
#define STANDIN_ENTRY_DIRECTORY_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/clock.h"
#include "src/random_source.h"

namespace acacia {

struct WeightedEntry {
  std::string address;
  std::uint64_t weight = 1;
};

// A lookup answer as described in docs/CALLERS.md. Has no entries when the JSON
// is invalid.
struct LookupReply {
  std::vector<WeightedEntry> entries;
  Duration lifetime{};
};
LookupReply ParseLookupReply(const std::string& json);

// Not thread-safe.
class EntryDirectory {
 public:
  // `seeds` are addresses of entries. They are asked for lookup answers, or
  // used directly when `lookup` is false.
  EntryDirectory(std::vector<std::string> seeds,
                 bool lookup,
                 std::uint64_t random_seed);

  // The address of an entry for the service; empty when none is known.
  boost::asio::awaitable<std::string> Choose(std::string service);
  // Excludes an entry for a second after a failed connect.
  void MarkFailed(const std::string& address);

 private:
  struct ServiceEntries {
    std::vector<WeightedEntry> entries;
    TimePoint expires;
    bool refreshing = false;
  };

  boost::asio::awaitable<void> Refresh(std::string service);
  // Draws among the entries that are not excluded; empty when all are.
  std::string DrawByWeight(const std::vector<WeightedEntry>& entries);

  std::vector<std::string> seeds;
  bool lookup;
  SeededRandom random;
  std::map<std::string, ServiceEntries> services;
  std::map<std::string, TimePoint> failed_until;
};

}  // namespace acacia

#endif  // STANDIN_ENTRY_DIRECTORY_H_
