#include "src/store_readers.h"

#include <algorithm>

namespace acacia {

ReaderRole StoreReaders::Role(const MemberDirectory& directory,
                              TimePoint now) const {
  const std::vector<InstanceId> near = directory.HeardNear(now);
  const auto before = std::count_if(
      near.begin(), near.end(),
      [this](const InstanceId& each) { return each < this->self; });
  switch (before) {
    case 0:
      return ReaderRole::kFirst;
    case 1:
      return ReaderRole::kSecond;
    default:
      return ReaderRole::kListener;
  }
}

void StoreReaders::OnClaim(const InstanceId& from,
                           const TableVersions& since,
                           TimePoint now) {
  if (since == TableVersions{}) {
    this->claims.erase(from);
  } else {
    this->claims[from] = {since, now};
  }
}

// A reader that began after what this entry knows may have missed a change in
// between, so its claim is not enough.
bool StoreReaders::SomeoneReads(FollowedTable table,
                                RowVersion after,
                                const MemberDirectory& directory,
                                TimePoint now) const {
  return std::any_of(
      this->claims.begin(), this->claims.end(), [&](const auto& item) {
        const RowVersion since = item.second.since[At(table)];
        return now - item.second.at <= kClaimLife && since > RowVersion() &&
               since <= after && directory.IsNear(item.first);
      });
}

std::vector<InstanceId> StoreReaders::DistantReaders(
    const MemberDirectory& directory,
    TimePoint now) const {
  std::vector<InstanceId> distant;
  for (const auto& [instance, claim] : this->claims) {
    if (now - claim.at <= kDistantClaimLife && !directory.IsNear(instance) &&
        directory.Members().contains(instance)) {
      distant.push_back(instance);
    }
  }
  return distant;
}

}  // namespace acacia
