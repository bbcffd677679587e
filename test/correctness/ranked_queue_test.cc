// Tests the order of the admission queue when ranks differ, and what entries
// tell each other of waiting requests.
#include <catch2/catch.hpp>

#include "src/admission_queue.h"
#include "src/start_share.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct QueueFixture {
  QueueFixture() { this->queue.Configure(6); }

  std::optional<RequestId> Push(std::uint32_t id,
                                std::uint32_t rank,
                                const char* account = "a") {
    return this->queue.Push({RequestId(id), AccountId(account),
                             WorkClass::kShort, rank, this->now + seconds(5)},
                            this->now);
  }
  std::vector<std::uint64_t> PopAll() {
    std::vector<std::uint64_t> order;
    while (const auto next = this->queue.Front(WorkClass::kShort, this->now)) {
      this->queue.PopFront(*next);
      order.push_back(next->Value());
    }
    return order;
  }

  AdmissionQueue queue;
  TimePoint now{seconds(1000)};
};

}  // namespace

TEST_CASE("higher ranks go first, accounts of a rank in turn") {
  QueueFixture f;
  f.Push(1, 2, "flood");
  f.Push(2, 1, "flood");
  f.Push(3, 1, "flood");
  f.Push(4, 1, "flood");
  f.Push(5, 1, "modest");
  f.Push(6, 0, "modest");
  CHECK(f.PopAll() == std::vector<std::uint64_t>{6, 2, 5, 3, 4, 1});
}

TEST_CASE("a full queue sheds the lowest rank, of the account that has most") {
  QueueFixture f;
  f.Push(1, 0, "flood");
  f.Push(2, 1, "modest");
  f.Push(3, 1, "flood");
  f.Push(4, 1, "flood");
  f.Push(5, 0, "flood");
  f.Push(6, 0, "flood");
  CHECK(f.Push(7, 0, "modest") == RequestId(3));
  CHECK(f.Push(8, 2, "modest") == RequestId(8));
  CHECK(f.Push(9, 0, "modest") == RequestId(2));
  CHECK(f.Push(10, 0, "modest") == RequestId(4));
  CHECK(f.Push(11, 1, "modest") == RequestId(11));
}

// Guards against starving lower ranks while higher ones always wait.
TEST_CASE("a lower rank gets a guaranteed part of the turns") {
  QueueFixture f;
  f.queue.Configure(1000);
  int started[2] = {0, 0};
  std::uint32_t id = 0;
  for (int i = 0; i < 2000; ++i) {
    f.now += milliseconds(5);
    const std::uint32_t rank = i % 2;
    f.queue.Shares().OnArrival(rank, f.now);
    f.Push(++id, rank);
    // Room for the requests of one rank.
    if (i % 2 == 0) {
      const RequestId next = *f.queue.Front(WorkClass::kShort, f.now);
      const std::uint32_t next_rank = next.Value() % 2 == 1 ? 0 : 1;
      f.queue.Shares().OnStart(next_rank, f.now);
      f.queue.PopFront(next);
      ++started[next_rank];
    }
  }
  // Half of all requests are started, so at least an eighth of the lower rank.
  CHECK(started[1] >= 125);
  CHECK(started[0] >= 800);
}

TEST_CASE("reports of waiting requests expire and bound what they claim") {
  WaitingReports reports;
  const TimePoint now{seconds(1000)};
  WaitingCounts counts;
  AddWaiting(counts, 1);
  AddWaiting(counts, 1);
  AddWaiting(counts, 4000);
  CHECK(counts.size() == kMaxReportedRank + 1);
  reports.OnReport("other", counts, now);
  CHECK_FALSE(reports.HasAbove(1, now));
  CHECK(reports.HasAbove(2, now));
  CHECK(reports.CountUpTo(1, now) == 2);
  CHECK(reports.CountUpTo(4000, now) == 3);
  CHECK_FALSE(reports.HasAbove(2, now + milliseconds(300)));
  reports.OnReport("other", {}, now);
  CHECK(reports.CountUpTo(4000, now) == 0);
}

TEST_CASE("a report is sent when it changes and again while requests wait") {
  WaitingReports reports;
  TimePoint now{seconds(1000)};
  CHECK_FALSE(reports.Take("s", {}, now));
  const auto first = reports.Take("s", {0, 2}, now);
  REQUIRE(first);
  CHECK(WaitingReports::IsReport(*first));
  CHECK(first->waiting_by_rank == WaitingCounts{0, 2});
  now += milliseconds(40);
  CHECK_FALSE(reports.Take("s", {0, 2}, now));
  now += milliseconds(80);
  CHECK(reports.Take("s", {0, 2}, now));
  CHECK(reports.Take("s", {}, now));
  now += seconds(1);
  CHECK_FALSE(reports.Take("s", {}, now));
}

// Guards against entries that all fill the same free slots: with 20 entries a
// fifth of the attempts was refused by full backend servers.
TEST_CASE("entries divide the room by what waits at each") {
  const TimePoint now{seconds(1000)};
  StartShare share;
  share.Refresh({8, 2, 6}, 0.5, now);
  CHECK_FALSE(share.IsDue(now + milliseconds(39)));
  share.OnStart();
  CHECK(share.MayStart());
  share.OnStart();
  CHECK_FALSE(share.MayStart());
  share.OnOwnSlotFreed();
  CHECK(share.MayStart());
  double started = 0;
  for (int i = 0; i < 100; ++i) {
    share.Refresh({1, 1, 3}, i / 100.0, now);
    started += share.MayStart() ? 1 : 0;
  }
  CHECK(started == 25);
}

}  // namespace acacia
