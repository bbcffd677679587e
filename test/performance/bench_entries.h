// The entries that the measurements compare: one with the real dispatcher and a
// round-robin baseline.
#ifndef TEST_PERFORMANCE_BENCH_ENTRIES_H_
#define TEST_PERFORMANCE_BENCH_ENTRIES_H_

#include <memory>
#include <optional>

#include "src/dispatcher.h"

namespace acacia::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The interface of an entry in a benchmark: a Dispatcher or a baseline.
class Entry {
 public:
  virtual ~Entry() = default;
  virtual DispatchActions OnRequest(const Work& work, TimePoint now) = 0;
  virtual DispatchActions OnAnswerHead(RequestId request,
                                       AttemptId attempt,
                                       int status,
                                       TimePoint now) = 0;
  virtual DispatchActions OnAttemptEnd(const AttemptReport& report,
                                       TimePoint now) = 0;
  virtual std::optional<TimePoint> NextTimer() const { return std::nullopt; }
  virtual DispatchActions OnTimer(TimePoint) { return {}; }
  // Null for a baseline.
  virtual Dispatcher* AsDispatcher() { return nullptr; }
};

class DispatcherEntry : public Entry {
 public:
  DispatcherEntry(const InstanceId& self,
                  std::uint64_t seed,
                  const ServiceView& view,
                  TimePoint now)
      : dispatcher(ServiceName("service"),
                   self,
                   std::make_unique<SeededRandom>(seed),
                   view,
                   now) {}
  DispatchActions OnRequest(const Work& work, TimePoint now) override {
    return this->dispatcher.OnRequest(work, now);
  }
  DispatchActions OnAnswerHead(RequestId request,
                               AttemptId attempt,
                               int status,
                               TimePoint now) override {
    return this->dispatcher.OnAnswerHead(request, attempt, status, true, now);
  }
  DispatchActions OnAttemptEnd(const AttemptReport& report,
                               TimePoint now) override {
    return this->dispatcher.OnAttemptEnd(report, now);
  }
  std::optional<TimePoint> NextTimer() const override {
    return this->dispatcher.NextTimer();
  }
  DispatchActions OnTimer(TimePoint now) override {
    return this->dispatcher.OnTimer(now);
  }
  Dispatcher* AsDispatcher() override { return &this->dispatcher; }

 private:
  Dispatcher dispatcher;
};

// Round robin without limits. Makes up to `attempts` attempts, whatever the
// kind of failure.
class RoundRobinEntry : public Entry {
 public:
  RoundRobinEntry(const ServiceView& view, std::uint32_t first, int attempts)
      : view(view), next(first), attempts(attempts) {}
  DispatchActions OnRequest(const Work& work, TimePoint) override {
    return {this->Start(work.request, AttemptId(1))};
  }
  DispatchActions OnAnswerHead(RequestId request,
                               AttemptId attempt,
                               int status,
                               TimePoint) override {
    if (status >= 500 && attempt.Value() < this->attempts) {
      return {CancelAttempt{request, attempt},
              this->Start(request, attempt.Next())};
    }
    return {RelayAnswer{request, attempt}};
  }
  DispatchActions OnAttemptEnd(const AttemptReport& report,
                               TimePoint) override {
    if (report.result == AttemptResult::kSuccess ||
        report.result == AttemptResult::kServerError) {
      return {};
    }
    if (report.attempt.Value() < this->attempts) {
      return {this->Start(report.request, report.attempt.Next())};
    }
    return {RefuseRequest{report.request, ErrorKind::kBackendRefused}};
  }

 private:
  StartAttempt Start(RequestId request, AttemptId attempt) {
    const auto& servers = this->view.backend_servers;
    return {request, attempt, servers[this->next++ % servers.size()].id};
  }
  ServiceView view;
  std::uint32_t next;
  std::uint32_t attempts;
};

}  // namespace acacia::bench

#endif  // TEST_PERFORMANCE_BENCH_ENTRIES_H_
