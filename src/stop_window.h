// Decides which requests an entry still passes on to backend servers during a
// shutdown that has a time limit. A request that is cut off at the limit may or
// may not have run, so one that is not sure to be answered by then is refused
// while it is known not to have run, and its caller turns to another entry.
#ifndef SRC_STOP_WINDOW_H_
#define SRC_STOP_WINDOW_H_

#include "src/clock.h"

namespace acacia {

struct StopWindow {
  // Until then, every request is passed on: the rest of the window is longer
  // than nearly all requests take. Later ones are passed on only if their
  // deadline ends them within the window.
  TimePoint admission_end = TimePoint::max();
  // Every request has its final answer by then.
  TimePoint end = TimePoint::max();

  // Whether a request that nothing has been sent of yet may be passed on at
  // `now`. `deadline` is the time by which it gets its final answer.
  bool Admits(TimePoint now, TimePoint deadline) const {
    return now < this->admission_end || deadline <= this->end;
  }
};

// A shutdown that begins at `began` and takes at most `length`; zero: it may
// take any time.
StopWindow MakeStopWindow(TimePoint began, Duration length);

}  // namespace acacia

#endif  // SRC_STOP_WINDOW_H_
