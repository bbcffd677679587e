// Decides about second attempts for slow answers (hedges) of one service at one
// entry, within the operator's limit in per cent of the service's requests:
// when an attempt counts as slow enough, whether a hedge may be sent, and how
// many. See docs/design/hedging.md.
//
// Not thread-safe; part of the dispatcher.
#ifndef SRC_HEDGE_POLICY_H_
#define SRC_HEDGE_POLICY_H_

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/hedge_event.h"
#include "src/hedge_limit.h"
#include "src/ids.h"
#include "src/latency_histogram.h"
#include "src/retry_after.h"

namespace acacia {

struct Work;

class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeHook on_event = {});

  // Sets the most hedges in per cent of requests; 0 turns hedging by this
  // policy off and discards what was measured.
  void Configure(double percent);
  bool IsEnabled() const { return this->share > 0; }

  void OnRequest(TimePoint now);

  // Schedules a hedge for a first attempt that starts now. Does nothing for
  // requests that may not be repeated, and while too little has been measured.
  void OnStart(const Work& work, AttemptId attempt, TimePoint now);
  // Ends the schedule of an attempt, if it has one.
  void OnEnd(RequestId request, AttemptId attempt);
  // The head of the attempt's answer arrived after `latency`. Attempts that are
  // hedges are not measured: they went to chosen backend servers.
  void OnAnswer(const Work& work, Duration latency);
  // The attempt was given up at this age, without an answer. It counts as slow
  // if its age already exceeds the delay, otherwise nothing is known about it.
  void OnAbandoned(const Work& work, Duration age);

  std::optional<TimePoint> NextTimer() const;
  // Returns the attempts whose hedge is due. They are due again when they are
  // older by a quarter, until OnEnd, as most of what prevents a hedge is brief.
  std::vector<std::pair<RequestId, AttemptId>> TakeDue(TimePoint now);

  // Whether the load of the service and the time that is left allow a hedge.
  // `load` is nullopt where that of the fleet is unknown.
  bool Allows(const Work& work,
              const std::optional<ServiceLoad>& load,
              TimePoint now) const;
  // Whether the limit allows a hedge of this request now. Reports the first
  // refusal of a request.
  bool HasCredit(RequestId request, TimePoint now);
  // Charges a hedge to the limit, which must allow it, and reports it.
  void OnSent(TimePoint now);
  void Report(HedgeEvent event) const;

  // The age from which an attempt is hedged; nullopt while too little has been
  // measured.
  std::optional<Duration> Delay(const Work& work) const;

 private:
  struct Schedule {
    AttemptId attempt;
    TimePoint started;
    TimePoint due;
    TimePoint deadline;
    bool was_refused = false;
  };

  double share = 0;
  HedgeHook on_event;
  HedgeLimit limit;
  // Keyed by Work.latency_key; only requests that may be repeated.
  std::unordered_map<std::string, LatencyHistogram> latencies;
  // One for each request.
  std::unordered_map<RequestId, Schedule> schedules;
  std::set<std::pair<TimePoint, RequestId>> by_due_time;
};

}  // namespace acacia

#endif  // SRC_HEDGE_POLICY_H_
