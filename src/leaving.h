// Which backend servers are leaving. The first sign, wherever it is seen (the
// backend server's own word on an answer, the platform's list), goes to all
// instances at once. Drain rules come with the configuration and need no sign.
//
// A sign lapses when the platform's list, which lags, has called the backend
// server live for long enough after it, or kSignTime after it was last seen.
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

class LeavingSigns {
 public:
  // The own entry or the platform's list saw the backend server leaving.
  void OnSeen(const ServiceName& service,
              const BackendId& backend,
              TimePoint now);
  void OnNotice(const schema::LeavingSignT& sign, TimePoint now);
  // The platform's list, asked for at `asked`, calls the backend server live.
  void OnListedLive(const ServiceName& service,
                    const BackendId& backend,
                    TimePoint asked);
  void OnTick(TimePoint now);

  std::set<BackendId> Leaving(const ServiceName& service) const;
  // Signs to attach to a message, the least told first.
  std::vector<schema::LeavingSignT> Notices(std::size_t limit, TimePoint now);
  // True once after the set of leaving backend servers changed.
  bool TakeChanged();

 private:
  using Key = std::pair<ServiceName, BackendId>;
  struct Sign {
    TimePoint seen;
    std::uint32_t transmits_left = 0;
  };

  void Note(const Key& key, TimePoint seen);

  std::map<Key, Sign> signs;
  bool changed = false;
};

}  // namespace acacia

#endif  // SRC_LEAVING_H_
