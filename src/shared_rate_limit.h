// A rate limit that a backend server names for all entries together, and this
// entry's estimate of how much of it is unused. Each entry keeps a token bucket
// filled at the named rate and charges it for its own attempts and for those
// that other entries report. Reports arrive late, so several entries could take
// the same token; each entry therefore waits for a bucket level of its own,
// drawn at random after each attempt. An overdrawn bucket is paid back, so the
// rate holds over the fleet.
#ifndef SRC_SHARED_RATE_LIMIT_H_
#define SRC_SHARED_RATE_LIMIT_H_

#include <cstdint>

#include "src/clock.h"

namespace acacia {

class SharedRateLimit {
 public:
  // Without a new report, a limit counts as ended after this time.
  static constexpr Duration kExpiry = std::chrono::seconds(10);
  // A lower limit is treated as this one, so that answers still show when it
  // ends. Requests per second.
  static constexpr double kMinRate = 0.25;

  // The backend server named a limit, in requests per second.
  void OnNamed(double rate, TimePoint now);
  // An answer named no limit. Ignored when the attempt began before the limit
  // was known, as the answer may be older than the limit.
  void OnNotNamed(TimePoint attempt_started);
  // Another entry learned that the limit has ended.
  void OnEnded() { this->rate = 0; }
  // This entry started an attempt. `draw` is a random number in [0, 1).
  void OnOwnAttempt(double draw, TimePoint now);
  void OnPeerAttempts(std::uint32_t count, TimePoint now);

  bool IsActive(TimePoint now) const;
  // Whether this entry may start an attempt.
  bool Allows(TimePoint now) const { return this->Wait(now) <= Duration{}; }
  // How long until Allows() if no attempt starts meanwhile.
  Duration Wait(TimePoint now) const;
  // The limit in requests per second; 0 while there is none.
  double Rate(TimePoint now) const { return this->IsActive(now) ? rate : 0; }
  // Requests that the bucket holds; negative when it is overdrawn.
  double Level(TimePoint now) const;

 private:
  void Charge(double count, TimePoint now);

  double rate = 0;
  double level = 0;
  double needed_level = 1;
  TimePoint level_at{};
  TimePoint named_at{};
};

}  // namespace acacia

#endif  // SRC_SHARED_RATE_LIMIT_H_
