#include "src/read_ahead.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>

namespace acacia {
namespace {

// Guards against a leak of the budget, which would end answers although memory
// is free.
TEST_CASE("pieces come out as they went in and the budget is returned") {
  rc::check([](const std::vector<std::pair<bool, std::uint16_t>>& steps) {
    constexpr std::size_t kBudget = 10 * ReadAhead::kBlockBytes;
    BufferBudget budget(kBudget);
    std::string in;
    std::string out;
    {
      ReadAhead ahead(budget);
      for (const auto& [is_read, size] : steps) {
        if (is_read && ahead.Reserve()) {
          const std::string piece(size % ReadAhead::kBlockBytes + 1,
                                  static_cast<char>('a' + in.size() % 26));
          in += piece;
          ahead.Add(piece);
        } else if (!ahead.IsEmpty()) {
          ahead.BeginWrite();
          out += ahead.Front();
          ahead.Pop();
        }
        RC_ASSERT(budget.HeldBytes() <= kBudget / 2);
      }
      for (; !ahead.IsEmpty(); ahead.Pop()) {
        out += ahead.Front();
      }
    }
    RC_ASSERT(in == out);
    RC_ASSERT(budget.HeldBytes() == 0U);
  });
}

TEST_CASE(
    "read-ahead is bounded for each answer and leaves half of the budget") {
  BufferBudget unbounded(0);
  ReadAhead alone(unbounded);
  std::size_t blocks = 0;
  const std::string piece(ReadAhead::kBlockBytes, 'p');
  for (; alone.Reserve(); ++blocks) {
    alone.Add(piece);
  }
  CHECK(blocks == ReadAhead::kMaxBlocks);
  BufferBudget budget(16 * ReadAhead::kBlockBytes);
  ReadAhead first(budget);
  while (first.Reserve()) {
    first.Add(piece);
  }
  CHECK(budget.HeldBytes() == 8 * ReadAhead::kBlockBytes);
  // Without room, an answer is still passed on piece by piece.
  ReadAhead second(budget);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(second.Reserve());
    second.Add(piece);
    CHECK_FALSE(second.Reserve());
    second.Pop();
  }
  CHECK(budget.TryTake(8 * ReadAhead::kBlockBytes));
}

// Guards against ending the answer of a caller that reads, if slowly.
TEST_CASE("only a caller that reads nothing for seconds is unread") {
  UnreadTimeout timeout;
  TimePoint now{};
  const Duration step = UnreadTimeout::kMaxUnread / 2;
  CHECK_FALSE(timeout.HasPassed(9000, 0, now));
  CHECK_FALSE(timeout.HasPassed(9000, 0, now += step));
  CHECK_FALSE(timeout.HasPassed(8999, 0, now += step));
  CHECK_FALSE(timeout.HasPassed(9999, 1, now += step));
  CHECK_FALSE(timeout.HasPassed(9999, 1, now += step));
  CHECK(timeout.HasPassed(9999, 1, now += step));
}

}  // namespace
}  // namespace acacia
