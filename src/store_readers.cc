#include "src/store_readers.h"

#include <algorithm>
#include <iterator>

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

// First readers take their turns before second ones, in the order of their
// failure domains' names.
std::optional<PollTurn> StoreReaders::Turn(ReaderRole role,
                                           const MemberDirectory& directory) {
  if (role == ReaderRole::kListener) {
    return std::nullopt;
  }
  std::map<std::string, std::size_t> sizes;
  ++sizes[directory.SelfDomain()];
  for (const auto& [instance, member] : directory.Members()) {
    if (instance != directory.Self()) {
      ++sizes[member.failure_domain];
    }
  }
  const auto count_seconds = [&sizes](auto end) {
    return std::count_if(sizes.begin(), end,
                         [](const auto& item) { return item.second > 1; });
  };
  const auto own = sizes.find(directory.SelfDomain());
  const auto firsts = static_cast<std::ptrdiff_t>(sizes.size());
  const auto index = role == ReaderRole::kFirst
                         ? std::distance(sizes.begin(), own)
                         : firsts + count_seconds(own);
  return PollTurn{
      static_cast<std::size_t>(index),
      static_cast<std::size_t>(firsts + count_seconds(sizes.end()))};
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
