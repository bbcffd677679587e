#include "src/peer_reach.h"

#include <algorithm>
#include <utility>

#include "src/rendezvous.h"

namespace acacia {
namespace {

// Without traffic, a cut is noticed by these probes.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kRepeatInterval = std::chrono::milliseconds(150);
// A silent entry is asked less often, whether it is back.
constexpr Duration kSilentInterval = std::chrono::milliseconds(1000);
// The whole panel is asked this often after a change, and later on while some
// entries stay silent, such as those that have ended.
constexpr Duration kRoundInterval = std::chrono::seconds(2);
constexpr Duration kLateRoundInterval = std::chrono::seconds(8);
constexpr Duration kChangeTime = std::chrono::seconds(12);
// With fewer entries that have been asked, nothing is concluded.
constexpr std::size_t kMinJudged = 4;

}  // namespace

void PeerReach::SetMembers(const InstanceId& self,
                           const std::set<InstanceId>& others) {
  std::erase_if(this->contacts, [&others](const auto& item) {
    return !others.contains(item.first);
  });
  std::erase_if(this->known_silent, [&others](const InstanceId& each) {
    return !others.contains(each);
  });
  const std::vector<InstanceId> all(others.begin(), others.end());
  this->panel.clear();
  for (const std::size_t index :
       RankIdsByRendezvous(self.Value(), all, kMaxPanel)) {
    this->panel.push_back(all[index]);
  }
}

void PeerReach::OnSent(const InstanceId& instance, TimePoint now) {
  Contact& contact = this->contacts[instance];
  contact.sent_at = now;
  if (!contact.waiting_since) {
    contact.waiting_since = now;
  }
}

void PeerReach::OnAnswered(const InstanceId& instance, TimePoint now) {
  Contact& contact = this->contacts[instance];
  contact.waiting_since.reset();
  contact.answered_at = now;
  this->has_been_answered = true;
  this->known_silent.erase(instance);
}

bool PeerReach::HasWaited(const InstanceId& instance,
                          Duration time,
                          TimePoint now) const {
  const auto found = this->contacts.find(instance);
  return found != this->contacts.end() && found->second.waiting_since &&
         now - *found->second.waiting_since >= time;
}

bool PeerReach::IsInDoubt(const InstanceId& instance, TimePoint now) const {
  return this->HasWaited(instance, kDoubtTime, now);
}

bool PeerReach::IsSilent(const InstanceId& instance, TimePoint now) const {
  return this->HasWaited(instance, kSilenceTime, now);
}

std::set<InstanceId> PeerReach::SilentEntries(TimePoint now) const {
  std::set<InstanceId> silent;
  for (const auto& [instance, contact] : this->contacts) {
    if (this->IsSilent(instance, now)) {
      silent.insert(instance);
    }
  }
  return silent;
}

Duration PeerReach::RoundInterval(TimePoint now) const {
  return now - this->newly_silent_at < kChangeTime ? kRoundInterval
                                                   : kLateRoundInterval;
}

std::vector<InstanceId> PeerReach::TakeProbes(TimePoint now) {
  std::set<InstanceId> probes = std::exchange(this->to_ask, {});
  for (const auto& [instance, contact] : this->contacts) {
    if (!contact.waiting_since) {
      continue;
    }
    const Duration waited = now - *contact.waiting_since;
    const bool is_silent = waited >= kSilenceTime;
    if (is_silent && this->known_silent.insert(instance).second) {
      this->newly_silent_at = now;
    }
    const Duration interval = is_silent ? kSilentInterval : kRepeatInterval;
    if (waited >= kRepeatAfter && now - contact.sent_at >= interval) {
      probes.insert(instance);
    }
  }
  if (!this->known_silent.empty() &&
      now - this->round_at >= this->RoundInterval(now)) {
    this->round_at = now;
    probes.insert(this->panel.begin(), this->panel.end());
  } else if (!this->panel.empty() &&
             (!this->has_been_answered ||
              now - this->probed_at >= kProbeInterval)) {
    this->probed_at = now;
    probes.insert(this->panel[this->next_probe++ % this->panel.size()]);
  }
  return {probes.begin(), probes.end()};
}

double PeerReach::Share(TimePoint now) const {
  if (this->known_silent.empty()) {
    return 1;
  }
  // Answers older than a round may be from before a cut.
  const Duration recent = this->RoundInterval(now) + 2 * kSilenceTime;
  std::size_t answering = 0;
  std::size_t silent = 0;
  for (const InstanceId& each : this->panel) {
    const auto found = this->contacts.find(each);
    if (found == this->contacts.end()) {
      continue;
    }
    if (this->IsSilent(each, now)) {
      ++silent;
    } else if (found->second.answered_at > now - recent) {
      ++answering;
    }
  }
  if (answering + silent < kMinJudged) {
    return 1;
  }
  return static_cast<double>(answering + 1) /
         static_cast<double>(answering + silent + 1);
}

}  // namespace acacia
