// Test fixture: a dispatcher with a few backend servers. The test passes in the
// events and advances the time.
#ifndef TEST_DISPATCH_FIXTURE_H_
#define TEST_DISPATCH_FIXTURE_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "src/dispatcher.h"

namespace acacia {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DispatchFixture {
  static BackendId Id(std::uint32_t n) {
    return BackendId("b" + std::to_string(n));
  }

  explicit DispatchFixture(std::uint32_t backends, std::uint32_t slots = 2) {
    this->view.entries = {InstanceId("self")};
    for (std::uint32_t i = 0; i < backends; ++i) {
      this->view.backend_servers.push_back({Id(i), {}, slots});
    }
    this->dispatcher = std::make_unique<Dispatcher>(
        ServiceName("service"), InstanceId("self"),
        std::make_unique<SeededRandom>(1), this->view, this->now);
  }

  Work NewWork(bool idempotent = true) {
    this->next = this->next.Next();
    Work work;
    work.request = this->next;
    work.idempotent = idempotent;
    work.deadline = this->now + seconds(5);
    return work;
  }

  DispatchActions Request(const Work& work) {
    return this->dispatcher->OnRequest(work, this->now);
  }
  DispatchActions Request(bool idempotent = true) {
    return this->Request(this->NewWork(idempotent));
  }
  DispatchActions Head(const StartAttempt& start, int status = 200) {
    return this->dispatcher->OnAnswerHead(start.request, start.attempt, status,
                                          true, this->now);
  }
  DispatchActions End(const StartAttempt& start,
                      AttemptResult result,
                      bool leaving = false) {
    return this->dispatcher->OnAttemptEnd(
        {start.request, start.attempt, result, true, leaving, {}}, this->now);
  }
  // Ends the attempt with a complete answer.
  DispatchActions Answer(const StartAttempt& start) {
    this->Head(start);
    return this->End(start, AttemptResult::kSuccess);
  }
  DispatchActions Advance(Duration by) {
    this->now += by;
    return this->dispatcher->OnTimer(this->now);
  }
  DispatchActions Apply() {
    return this->dispatcher->OnView(this->view, this->now);
  }

  // Returns the only action of type T; fails unless there is exactly one.
  template <typename T>
  static T Only(const DispatchActions& actions) {
    std::vector<T> found;
    for (const DispatchAction& action : actions) {
      if (const T* each = std::get_if<T>(&action)) {
        found.push_back(*each);
      }
    }
    REQUIRE(found.size() == 1);
    return found.front();
  }
  template <typename T>
  static std::size_t Count(const DispatchActions& actions) {
    std::size_t count = 0;
    for (const DispatchAction& action : actions) {
      count += std::holds_alternative<T>(action) ? 1 : 0;
    }
    return count;
  }

  ServiceView view;
  TimePoint now{seconds(1000)};
  RequestId next;
  std::unique_ptr<Dispatcher> dispatcher;
};

}  // namespace acacia

#endif  // TEST_DISPATCH_FIXTURE_H_
