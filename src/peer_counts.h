// The number that each other entry last reported about one thing, such as its
// attempts in flight at a backend server. A report expires, so that the number
// of an entry that has died, or whose messages are lost, does not stay.
#ifndef SRC_PEER_COUNTS_H_
#define SRC_PEER_COUNTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/clock.h"

namespace acacia {

class PeerCounts {
 public:
  explicit PeerCounts(Duration expiry) : expiry(expiry) {}

  // Replaces what the entry reported before.
  void Set(const std::string& entry, std::uint64_t count, TimePoint now);
  // The sum of the reports that have not expired.
  std::uint64_t Sum(TimePoint now) const;

 private:
  struct Report {
    std::string entry;
    std::uint64_t count = 0;
    TimePoint at;
  };

  Duration expiry;
  std::vector<Report> reports;
};

}  // namespace acacia

#endif  // SRC_PEER_COUNTS_H_
