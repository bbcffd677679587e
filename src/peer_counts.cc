#include "src/peer_counts.h"

namespace acacia {

void PeerCounts::Set(const std::string& entry,
                     std::uint64_t count,
                     TimePoint now) {
  std::erase_if(this->reports, [&](const Report& each) {
    return each.entry == entry || now - each.at >= this->expiry;
  });
  if (count > 0) {
    this->reports.push_back({entry, count, now});
  }
}

std::uint64_t PeerCounts::Sum(TimePoint now) const {
  std::uint64_t sum = 0;
  for (const Report& each : this->reports) {
    sum += now - each.at < this->expiry ? each.count : 0;
  }
  return sum;
}

}  // namespace acacia
