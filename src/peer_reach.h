// Which entries answer this one's messages, and whether this entry is cut off
// from most of the fleet. Judged by entries of a panel: all entries of a small
// fleet, a fixed selection of a large one. Each is asked now and then, and all
// of them as soon as one is silent, so that the answer does not depend on whom
// this entry happens to talk to.
//
// Not thread-safe; no I/O.
#ifndef SRC_PEER_REACH_H_
#define SRC_PEER_REACH_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"

namespace acacia {

class PeerReach {
 public:
  // An answer comes within 160 ms unless a message is lost. Asked again, an
  // entry that has still not answered after kDoubtTime is in doubt, and after
  // kSilenceTime is silent.
  static constexpr Duration kRepeatAfter = std::chrono::milliseconds(200);
  static constexpr Duration kDoubtTime = std::chrono::milliseconds(450);
  static constexpr Duration kSilenceTime = std::chrono::milliseconds(1000);
  static constexpr std::size_t kMaxPanel = 128;

  // Sets the other entries of the fleet.
  void SetMembers(const InstanceId& self, const std::set<InstanceId>& others);

  // A message was sent to the entry, which answers every message.
  void OnSent(const InstanceId& instance, TimePoint now);
  void OnAnswered(const InstanceId& instance, TimePoint now);
  // Asks this entry with the next probes.
  void Ask(const InstanceId& instance) { this->to_ask.insert(instance); }
  // The entries to ask for an answer now.
  std::vector<InstanceId> TakeProbes(TimePoint now);

  bool IsInDoubt(const InstanceId& instance, TimePoint now) const;
  bool IsSilent(const InstanceId& instance, TimePoint now) const;
  std::set<InstanceId> SilentEntries(TimePoint now) const;
  bool HasBeenAnswered() const { return this->has_been_answered; }
  // Share of the fleet that answers, including this entry; 1 while too few
  // entries have been asked.
  double Share(TimePoint now) const;
  // Share() is less than a half.
  bool IsCutOff(TimePoint now) const { return this->Share(now) < 0.5; }

 private:
  struct Contact {
    // When the first message was sent that is still unanswered.
    std::optional<TimePoint> waiting_since;
    TimePoint sent_at{};
    TimePoint answered_at = TimePoint::min();
  };

  bool HasWaited(const InstanceId& instance,
                 Duration time,
                 TimePoint now) const;
  Duration RoundInterval(TimePoint now) const;

  std::map<InstanceId, Contact> contacts;
  std::vector<InstanceId> panel;
  std::size_t next_probe = 0;
  bool has_been_answered = false;
  TimePoint probed_at{};
  TimePoint round_at{};
  // When an entry that had answered was last found silent.
  TimePoint newly_silent_at{};
  std::set<InstanceId> known_silent;
  std::set<InstanceId> to_ask;
};

}  // namespace acacia

#endif  // SRC_PEER_REACH_H_
