// Selects the entries that read changes from the store for their failure
// domain. Each call to the store costs, and without readers every change would
// cost one call per entry. So two entries of each failure domain poll the store
// and one of them relays the changes. The others listen, and poll the store
// themselves when no entry claims to read it or when a change that others know
// of does not arrive.
//
// Each entry determines the readers by itself, from the entries it has heard
// recently. While entries disagree, a few more of them poll the store.
//
// Not thread-safe; no I/O.
#ifndef SRC_STORE_READERS_H_
#define SRC_STORE_READERS_H_

#include <map>
#include <optional>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"
#include "src/member_directory.h"
#include "src/peer_messages.h"
#include "src/poll_turn.h"

namespace acacia {

enum class ReaderRole {
  // Reads the store and relays changes.
  kFirst,
  // Reads the store without relaying, so that the loss of the first reader is
  // noticed with the next change.
  kSecond,
  kListener,
};

class StoreReaders {
 public:
  // Claims come with heartbeats, twice a second, so one may be lost. The delay
  // that listeners then see stays within the second or two in which changes
  // must be applied.
  static constexpr Duration kClaimExpiry = std::chrono::milliseconds(1200);
  // Readers of other failure domains are sent the versions known here for this
  // long after their last claim.
  static constexpr Duration kRemoteClaimExpiry = std::chrono::seconds(10);

  explicit StoreReaders(InstanceId self) : self(std::move(self)) {}

  ReaderRole Role(const MemberDirectory& directory, TimePoint now) const;

  // The turn of an entry with this role among the readers of all failure
  // domains; nullopt for a listener. Entries that know different members may
  // take the same turn.
  static std::optional<PollTurn> Turn(ReaderRole role,
                                      const MemberDirectory& directory);

  // Records the versions since which the entry `from` has read each table
  // without a gap; 0 for a table that it does not read. All 0 withdraws its
  // claim.
  void OnReadClaim(const InstanceId& from,
                   const TableVersions& since,
                   TimePoint now);
  // Returns whether an entry of this failure domain reads all changes of the
  // table after this version.
  bool HasReader(FollowedTable table,
                 RowVersion after,
                 const MemberDirectory& directory,
                 TimePoint now) const;
  // Returns the readers of other failure domains.
  std::vector<InstanceId> RemoteDomainReaders(const MemberDirectory& directory,
                                              TimePoint now) const;

 private:
  struct Claim {
    TableVersions since;
    TimePoint received_at;
  };

  InstanceId self;
  std::map<InstanceId, Claim> claims;
};

}  // namespace acacia

#endif  // SRC_STORE_READERS_H_
