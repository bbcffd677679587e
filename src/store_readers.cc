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

// First readers take their turns before second ones, in the order of their
// failure domains' names.
std::optional<PollTurn> StoreReaders::Turn(const MemberDirectory& directory,
                                           TimePoint now) const {
  const ReaderRole role = this->Role(directory, now);
  if (role == ReaderRole::kListener) {
    return std::nullopt;
  }
  std::map<std::string, std::size_t> domain_sizes;
  ++domain_sizes[directory.SelfDomain()];
  for (const auto& [instance, member] : directory.Members()) {
    if (instance != this->self) {
      ++domain_sizes[member.failure_domain];
    }
  }
  std::size_t seconds = 0;
  std::size_t earlier_firsts = 0;
  std::size_t earlier_seconds = 0;
  for (const auto& [domain, size] : domain_sizes) {
    if (domain == directory.SelfDomain()) {
      earlier_seconds = seconds;
    } else if (domain < directory.SelfDomain()) {
      ++earlier_firsts;
    }
    seconds += size > 1 ? 1 : 0;
  }
  const std::size_t firsts = domain_sizes.size();
  return PollTurn{
      role == ReaderRole::kFirst ? earlier_firsts : firsts + earlier_seconds,
      firsts + seconds};
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
