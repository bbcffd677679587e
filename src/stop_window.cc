#include "src/stop_window.h"

namespace acacia {

StopWindow MakeStopWindow(TimePoint began, Duration length) {
  return length > Duration{} ? StopWindow{began + length / 2, began + length}
                             : StopWindow();
}

}  // namespace acacia
