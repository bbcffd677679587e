// Tracks which backend servers are leaving. A leaving sign is an observation
// that a backend server announces its leaving on an answer or is listed as
// leaving by the platform. The first sign is sent to all instances at once.
// Drain rules are part of the configuration and need no sign.
//
// A sign expires kSignLifetime after it was last observed, or when the
// platform's list still calls the backend server live so long after the sign
// that the list's lag cannot explain it.
#ifndef SRC_LEAVING_H_
#define SRC_LEAVING_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"

namespace acacia {

class LeavingTracker {
 public:
  // This instance's entry or the platform's list observed the backend server
  // leaving.
  void OnLeavingObserved(const ServiceName& service,
                         const BackendId& backend,
                         TimePoint now);
  // Records a sign that another instance sent; its age is kept.
  void OnNotice(const schema::LeavingSignT& sign, TimePoint now);
  // The platform's list, requested at `asked`, calls the backend server live.
  void OnListedLive(const ServiceName& service,
                    const BackendId& backend,
                    TimePoint asked);
  // Removes expired signs.
  void OnTick(TimePoint now);

  // Returns the backend servers of the service that are leaving.
  std::set<BackendId> Leaving(const ServiceName& service) const;
  // Returns up to `limit` signs to attach to a message, the least often sent
  // first, and counts them as sent.
  std::vector<schema::LeavingSignT> Notices(std::size_t limit, TimePoint now);
  // Returns whether the set of leaving backend servers has changed since the
  // last call.
  bool TakeChanged();

 private:
  using Key = std::pair<ServiceName, BackendId>;
  struct Sign {
    TimePoint seen;
    std::uint32_t transmits_left = 0;
  };

  void RecordSign(const Key& key, TimePoint seen);

  std::map<Key, Sign> signs;
  bool changed = false;
};

}  // namespace acacia

#endif  // SRC_LEAVING_H_
