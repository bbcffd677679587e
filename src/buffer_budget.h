// Bounds the memory of all request and answer bodies that an entry holds at the
// same time. Whoever gets no share of it must do without a buffer: refuse the
// request, or pass bytes on as they come.
#ifndef SRC_BUFFER_BUDGET_H_
#define SRC_BUFFER_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <string>

namespace acacia {

// Thread-safe.
class BufferBudget {
 public:
  // 0: no bound.
  explicit BufferBudget(std::size_t max_bytes) : max_bytes(max_bytes) {}

  // Returns false, and takes nothing, if that exceeded the budget.
  bool TryTake(std::size_t bytes) {
    return this->TryTakeWithin(bytes, this->max_bytes);
  }
  // The same for bytes that may take only half of the budget together with all
  // others.
  bool TryTakeOfHalf(std::size_t bytes) {
    return this->TryTakeWithin(bytes, this->max_bytes / 2);
  }
  void Return(std::size_t bytes) { this->held.fetch_sub(bytes); }
  std::size_t HeldBytes() const { return this->held.load(); }

 private:
  bool TryTakeWithin(std::size_t bytes, std::size_t limit);

  const std::size_t max_bytes;
  std::atomic<std::size_t> held{0};
};

// The part of a budget that one buffer holds. Not thread-safe. The budget must
// outlive it.
class BufferShare {
 public:
  explicit BufferShare(BufferBudget& budget) : budget(&budget) {}
  ~BufferShare() { this->Release(); }
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  // Makes the share at least `bytes` large. Returns false, and leaves it as it
  // is, if the budget does not suffice.
  bool GrowTo(std::size_t bytes);
  // Makes room for `bytes` in `buffer`, whose capacity the share holds. Grows
  // it by doubling, but not beyond `max_bytes` unless `bytes` is larger.
  // Returns false, and changes nothing, if the budget does not suffice.
  bool Reserve(std::string& buffer, std::size_t bytes, std::size_t max_bytes);
  void Release();

 private:
  BufferBudget* budget;
  std::size_t bytes = 0;
};

}  // namespace acacia

#endif  // SRC_BUFFER_BUDGET_H_
