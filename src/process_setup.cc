#include "src/process_setup.h"

#include <csignal>

namespace acacia {

void PrepareProcess() {
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace acacia
