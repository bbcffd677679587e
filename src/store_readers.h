// Which entries read changes from the store for their failure domain. Each call
// to the store costs, and every change would cost one call an entry. So a few
// entries of each failure domain follow the store and pass changes on; the
// others listen to them, and ask the store themselves when nobody claims to
// follow it, or when a change that others know of does not arrive.
//
// Everyone works out the readers from who was heard lately. Entries may differ
// about it for a moment: then a few more of them ask the store.
//
// Not thread-safe; no I/O.
#ifndef SRC_STORE_READERS_H_
#define SRC_STORE_READERS_H_

#include <map>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"
#include "src/member_directory.h"
#include "src/peer_messages.h"

namespace acacia {

enum class ReaderRole {
  // Reads, and passes changes on.
  kFirst,
  // Reads, so that a lost first reader is noticed by the next change.
  kSecond,
  kListener,
};

class StoreReaders {
 public:
  // Claims come with heartbeats, twice a second; one that is missing is allowed
  // for. What listeners learn late stays within the second or two in which
  // changes must be in force.
  static constexpr Duration kClaimExpiry = std::chrono::milliseconds(1200);
  // Readers of other failure domains are told what is known here for so long
  // after their last claim.
  static constexpr Duration kRemoteClaimExpiry = std::chrono::seconds(10);

  explicit StoreReaders(InstanceId self) : self(std::move(self)) {}

  ReaderRole Role(const MemberDirectory& directory, TimePoint now) const;

  // An entry says since which version it has read each table without a gap; 0
  // where it does not.
  void OnReadClaim(const InstanceId& from,
                   const TableVersions& since,
                   TimePoint now);
  // An entry of this failure domain reads the changes of the table that come
  // after this version.
  bool HasReader(FollowedTable table,
                 RowVersion after,
                 const MemberDirectory& directory,
                 TimePoint now) const;
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
