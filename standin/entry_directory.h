// What a caller knows of the entries: lookup answers, kept for their lifetime.
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

struct EntryChoice {
  std::string address;
  std::uint64_t weight = 1;
};

// Reads the JSON of docs/CALLERS.md. Nothing in it, or not JSON: an empty list.
struct LookupReply {
  std::vector<EntryChoice> entries;
  Duration lifetime{};
};
LookupReply ParseLookupReply(const std::string& json);

// Not thread-safe.
class EntryDirectory {
 public:
  // Without lookup the seeds themselves are used.
  EntryDirectory(std::vector<std::string> seeds,
                 bool lookup,
                 std::uint64_t random_seed);

  // An entry for the service; empty when none is known.
  boost::asio::awaitable<std::string> Choose(std::string service);
  // A connect failed: leave the entry out until answers are renewed.
  void MarkFailed(const std::string& address);

 private:
  struct Known {
    std::vector<EntryChoice> entries;
    TimePoint expires;
    bool refreshing = false;
  };

  boost::asio::awaitable<void> Refresh(std::string service);
  std::string Draw(const std::vector<EntryChoice>& entries);

  std::vector<std::string> seeds;
  bool lookup;
  SeededRandom random;
  std::map<std::string, Known> services;
  std::map<std::string, TimePoint> failed_until;
};

}  // namespace acacia

#endif  // STANDIN_ENTRY_DIRECTORY_H_
