#include "src/leaving.h"

#include <algorithm>

#include "src/log_event.h"

namespace acacia {
namespace {

constexpr Duration kSignLifetime = std::chrono::minutes(10);
// The platform's list lags behind the real state by less than this.
constexpr Duration kMaxListLag = std::chrono::seconds(30);
// A sign that is observed again is sent again only after this long.
constexpr Duration kResendInterval = std::chrono::seconds(60);
constexpr std::uint32_t kTransmitsPerSign = 24;

}  // namespace

void LeavingTracker::RecordSign(const Key& key, TimePoint seen) {
  const auto [entry, added] = this->signs.try_emplace(key);
  Sign& sign = entry->second;
  if (added) {
    this->changed = true;
    LogEvent("backend_server_leaving")
        .With("service", key.first)
        .With("backend_server", key.second);
  }
  if (added || seen - sign.seen >= kResendInterval) {
    sign.transmits_left = kTransmitsPerSign;
  }
  if (added || seen > sign.seen) {
    sign.seen = seen;
  }
}

void LeavingTracker::OnLeavingObserved(const ServiceName& service,
                                       const BackendId& backend,
                                       TimePoint now) {
  this->RecordSign({service, backend}, now);
}

void LeavingTracker::OnNotice(const schema::LeavingSignT& sign, TimePoint now) {
  const TimePoint seen = now - std::chrono::milliseconds(sign.age_ms);
  if (now - seen < kSignLifetime) {
    this->RecordSign({ServiceName(sign.service), BackendId(sign.address)},
                     seen);
  }
}

void LeavingTracker::OnListedLive(const ServiceName& service,
                                  const BackendId& backend,
                                  TimePoint asked) {
  const auto sign = this->signs.find({service, backend});
  if (sign != this->signs.end() && asked - sign->second.seen >= kMaxListLag) {
    this->signs.erase(sign);
    this->changed = true;
  }
}

void LeavingTracker::OnTick(TimePoint now) {
  const auto expired = std::erase_if(this->signs, [&](const auto& entry) {
    return now - entry.second.seen >= kSignLifetime;
  });
  this->changed |= expired != 0;
}

std::set<BackendId> LeavingTracker::Leaving(const ServiceName& service) const {
  std::set<BackendId> leaving;
  for (const auto& [key, sign] : this->signs) {
    if (key.first == service) {
      leaving.insert(key.second);
    }
  }
  return leaving;
}

std::vector<schema::LeavingSignT> LeavingTracker::Notices(std::size_t limit,
                                                          TimePoint now) {
  std::vector<std::pair<const Key*, Sign*>> waiting;
  for (auto& [key, sign] : this->signs) {
    if (sign.transmits_left > 0) {
      waiting.emplace_back(&key, &sign);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
    return a.second->transmits_left > b.second->transmits_left;
  });
  std::vector<schema::LeavingSignT> notices;
  for (std::size_t i = 0; i < std::min(limit, waiting.size()); ++i) {
    const auto& [key, sign] = waiting[i];
    --sign->transmits_left;
    schema::LeavingSignT notice;
    notice.service = key->first.Value();
    notice.address = key->second.Value();
    notice.age_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - sign->seen)
            .count());
    notices.push_back(std::move(notice));
  }
  return notices;
}

bool LeavingTracker::TakeChanged() {
  return std::exchange(this->changed, false);
}

}  // namespace acacia
