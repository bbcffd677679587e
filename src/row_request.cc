#include "src/row_request.h"

#include <algorithm>
#include <vector>

namespace acacia {

void RowRequester::OnHolder(const InstanceId& peer,
                            HolderDistance distance,
                            RowVersion version) {
  this->holders[peer] = {distance, version};
}

std::optional<InstanceId> RowRequester::Poll(RowVersion held,
                                             RowVersion known,
                                             TimePoint now) {
  if (known <= held) {
    this->holders.clear();
    this->asked.clear();
    this->next_request.reset();
    return std::nullopt;
  }
  if (!this->next_request) {
    const double draw = this->random.Fraction();
    const auto drawn_wait = [draw](Duration longest) {
      return kMinWait +
             std::chrono::duration_cast<Duration>((longest - kMinWait) * draw);
    };
    this->next_request = now + drawn_wait(kMaxWait);
    this->next_distant_request = now + drawn_wait(kMaxDistantWait);
  }
  std::erase_if(this->holders, [held](const auto& item) {
    return item.second.version <= held;
  });
  if (now < *this->next_request) {
    return std::nullopt;
  }
  std::optional<InstanceId> chosen =
      this->ChooseHolder(HolderDistance::kSameDomain);
  if (!chosen && now >= this->next_distant_request) {
    chosen = this->ChooseHolder(HolderDistance::kOtherDomain);
  }
  if (!chosen) {
    // All were asked, and a message may have been lost.
    this->asked.clear();
    return std::nullopt;
  }
  this->asked.insert(*chosen);
  this->next_request = now + kRetryPause;
  return chosen;
}

std::optional<InstanceId> RowRequester::ChooseHolder(HolderDistance distance) {
  std::vector<InstanceId> candidates;
  for (const auto& [peer, holder] : this->holders) {
    if (holder.distance == distance && !this->asked.contains(peer)) {
      candidates.push_back(peer);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[this->random.Below(candidates.size())];
}

bool RowReplyBudget::Take(std::size_t bytes, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - this->updated_at;
  this->updated_at = now;
  this->available = std::min(
      kBurstBytes, this->available + elapsed.count() * kBytesPerSecond);
  if (static_cast<double>(bytes) > this->available) {
    return false;
  }
  this->available -= static_cast<double>(bytes);
  return true;
}

}  // namespace acacia
