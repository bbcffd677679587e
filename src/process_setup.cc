#include "src/process_setup.h"

#include <csignal>

namespace acacia {
namespace {

void IgnoreReloadSignal() {
  std::signal(SIGHUP, SIG_IGN);
}

// Runs before the initialization of the shared libraries, which takes most of
// the time from exec to main.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const ignore_reload_signal)() = IgnoreReloadSignal;

}  // namespace

void PrepareProcess() {
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace acacia
