#include "src/store_readers.h"

#include <algorithm>

namespace acacia {

ReaderRole StoreReaders::Role(const MemberDirectory& directory,
                              TimePoint now) const {
  const std::vector<InstanceId> peers = directory.LiveDomainPeers(now);
  const auto earlier = std::count_if(
      peers.begin(), peers.end(),
      [this](const InstanceId& each) { return each < this->self; });
  switch (earlier) {
    case 0:
      return ReaderRole::kFirst;
    case 1:
      return ReaderRole::kSecond;
    default:
      return ReaderRole::kListener;
  }
}

void StoreReaders::OnReadClaim(const InstanceId& from,
                               const TableVersions& since,
                               TimePoint now) {
  if (since == TableVersions{}) {
    this->claims.erase(from);
  } else {
    this->claims[from] = {since, now};
  }
}

// A reader that started after version `after` may have missed a change in
// between, so its claim does not count.
bool StoreReaders::HasReader(FollowedTable table,
                             RowVersion after,
                             const MemberDirectory& directory,
                             TimePoint now) const {
  return std::any_of(
      this->claims.begin(), this->claims.end(), [&](const auto& item) {
        const RowVersion since = item.second.since[TableIndex(table)];
        return now - item.second.received_at <= kClaimExpiry &&
               since > RowVersion() && since <= after &&
               directory.IsDomainPeer(item.first);
      });
}

std::vector<InstanceId> StoreReaders::RemoteDomainReaders(
    const MemberDirectory& directory,
    TimePoint now) const {
  std::vector<InstanceId> remote;
  for (const auto& [instance, claim] : this->claims) {
    if (now - claim.received_at <= kRemoteClaimExpiry &&
        !directory.IsDomainPeer(instance) &&
        directory.Members().contains(instance)) {
      remote.push_back(instance);
    }
  }
  return remote;
}

}  // namespace acacia
