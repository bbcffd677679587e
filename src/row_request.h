// Decides which entry is asked for a row of the store that this entry lacks,
// and when. Rows that are too large to be relayed, or that the store does not
// hand to this entry, come from the entries that announce that they hold them.
// Nothing here depends on what the store does.
//
// Not thread-safe; no I/O.
#ifndef SRC_ROW_REQUEST_H_
#define SRC_ROW_REQUEST_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "src/clock.h"
#include "src/ids.h"
#include "src/random_source.h"

namespace acacia {

enum class HolderDistance { kSameDomain, kOtherDomain };

class RowRequester {
 public:
  // Small changes are relayed within kMinWait, also while the relaying reader
  // pauses between two calls. The first requests of a fleet spread over the
  // time up to kMaxWait.
  static constexpr Duration kMinWait = std::chrono::milliseconds(400);
  static constexpr Duration kMaxWait = std::chrono::milliseconds(600);
  // While only entries of other failure domains are known to hold the row, the
  // first requests spread over a longer time. Those who ask first are then
  // asked by the others, so that few copies cross between failure domains.
  static constexpr Duration kMaxDistantWait = std::chrono::milliseconds(1000);
  // Time after which the next holder is asked. A holder sends for at most 130
  // ms at a time (see RowReplyBudget). With 300 ms, the last of 103 entries
  // that lost three messages in ten got the row after 2.6 to 3.0 s.
  static constexpr Duration kRetryPause = std::chrono::milliseconds(200);

  // The random source must outlive this object.
  explicit RowRequester(RandomSource& random) : random(random) {}

  // Another entry announced that it holds the table up to `version`, which is
  // newer than what this entry holds.
  void OnHolder(const InstanceId& peer,
                HolderDistance distance,
                RowVersion version);
  // Returns the entry to be asked now, if any. `held`: the version that this
  // entry holds; `known`: the newest one that it knows to exist. Must be called
  // every few ten milliseconds.
  std::optional<InstanceId> Poll(RowVersion held,
                                 RowVersion known,
                                 TimePoint now);

 private:
  struct Holder {
    HolderDistance distance;
    RowVersion version;
  };

  std::optional<InstanceId> ChooseHolder(HolderDistance distance);

  RandomSource& random;
  std::map<InstanceId, Holder> holders;
  // Holders that were asked since all had been asked.
  std::set<InstanceId> asked;
  // Set while this entry is behind.
  std::optional<TimePoint> next_request;
  TimePoint next_distant_request{};
};

// Bounds the rows that this entry sends to others. Who gets no reply asks
// another entry.
class RowReplyBudget {
 public:
  // 0.13 s of a link of 10 Mbit/s: eight rows of 20 KB, or two of the largest.
  static constexpr double kBurstBytes = 160 * 1024;
  // A fifth of such a link.
  static constexpr double kBytesPerSecond = 256 * 1024;

  // Returns whether a reply of this size may be sent, and counts it if so.
  bool Take(std::size_t bytes, TimePoint now);

 private:
  double available = kBurstBytes;
  TimePoint updated_at{};
};

}  // namespace acacia

#endif  // SRC_ROW_REQUEST_H_
