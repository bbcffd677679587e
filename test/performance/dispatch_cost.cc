// Measures, for several numbers of backend servers: the time of one request's
// decisions (OnRequest, OnAnswerHead, OnAttemptEnd), the time of a new view,
// and the memory for each backend server.
#include <malloc.h>

#include <chrono>
#include <cstdio>

#include "test/performance/bench_tables.h"

using namespace acacia;         // NOLINT(google-build-using-namespace)
using namespace acacia::bench;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kRequests = 200000;
constexpr int kViews = 20;
constexpr std::uint32_t kEntries = 40;

double ElapsedNs(std::chrono::steady_clock::time_point from) {
  return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - from)
      .count();
}

// Nanoseconds per request, for requests 5 ms apart that are each answered after
// 20 ms.
double RequestNs(Dispatcher& dispatcher, TimePoint now) {
  std::vector<StartAttempt> started(4);
  const auto from = std::chrono::steady_clock::now();
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    now += milliseconds(5);
    StartAttempt& oldest = started[i % started.size()];
    if (oldest.attempt.Value() != 0) {
      dispatcher.OnAnswerHead(oldest.request, oldest.attempt, 200, true, now);
      dispatcher.OnAttemptEnd({oldest.request,
                               oldest.attempt,
                               AttemptResult::kSuccess,
                               true,
                               false,
                               {}},
                              now);
    }
    Work work;
    work.request = RequestId(i);
    work.idempotent = true;
    work.deadline = now + seconds(5);
    const DispatchActions actions = dispatcher.OnRequest(work, now);
    oldest = std::get<StartAttempt>(actions.at(0));
  }
  return ElapsedNs(from) / kRequests;
}

void Measure(std::uint32_t backends) {
  const ServiceView view = MakeView(kEntries, backends, 5);
  const std::size_t before = mallinfo2().uordblks;
  TimePoint now{seconds(1000)};
  Dispatcher dispatcher(ServiceName("service"), view.entries[0],
                        std::make_unique<SeededRandom>(1), view, now);
  const std::size_t bytes = mallinfo2().uordblks - before;
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kViews; ++i) {
    dispatcher.OnView(view, now);
  }
  const double view_us = ElapsedNs(from) / kViews / 1000;
  std::printf("%10u %14.0f %12.0f %14zu\n", backends,
              RequestNs(dispatcher, now), view_us, bytes / backends);
}

}  // namespace

int main() {
  std::printf("%10s %14s %12s %14s\n", "backends", "ns a request", "us a view",
              "bytes/backend");
  for (const std::uint32_t backends : {5U, 10U, 20U, 40U, 80U, 160U, 320U}) {
    Measure(backends);
  }
}
