#include "src/process_setup.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <initializer_list>
#include <limits>

namespace acacia {
namespace {

// By default each of these ends the process: SIGPIPE when the reader of the log
// has gone, SIGXFSZ when the log's file may not grow further, and the others
// when a supervisor or log rotator sends them to all of its programs.
constexpr std::array kIgnoredSignals{SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2,
                                     SIGHUP};

void IgnoreSignals() {
  for (const int signal : kIgnoredSignals) {
    std::signal(signal, SIG_IGN);
  }
}

// Runs before the initialization of the shared libraries, which takes most of
// the time from exec to main.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kIgnoreSignals)() = IgnoreSignals;

}  // namespace

void PrepareProcess() {
  for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (::fcntl(stream, F_GETFD) < 0 && errno == EBADF) {
      // Gets the lowest free number, which is `stream`.
      ::open("/dev/null", O_RDWR);
    }
  }
}

void UnblockSignals(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) {
    sigaddset(&set, signal);
  }
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

std::uint32_t DescriptorLimit() {
  rlimit limit{};
  const bool is_limited = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                          limit.rlim_cur != RLIM_INFINITY;
  return is_limited
             ? static_cast<std::uint32_t>(std::min<rlim_t>(
                   limit.rlim_cur, std::numeric_limits<std::uint32_t>::max()))
             : 0;
}

}  // namespace acacia
