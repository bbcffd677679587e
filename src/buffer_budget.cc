#include "src/buffer_budget.h"

#include <algorithm>
#include <utility>

namespace acacia {

bool BufferBudget::TryTakeWithin(std::size_t bytes, std::size_t limit) {
  std::size_t before = this->held.load();
  do {
    const bool fits = before <= limit && bytes <= limit - before;
    if (this->max_bytes > 0 && !fits) {
      return false;
    }
  } while (!this->held.compare_exchange_weak(before, before + bytes));
  return true;
}

bool BufferShare::GrowTo(std::size_t bytes) {
  if (bytes <= this->bytes) {
    return true;
  }
  if (!this->budget->TryTake(bytes - this->bytes)) {
    return false;
  }
  this->bytes = bytes;
  return true;
}

bool BufferShare::Reserve(std::string& buffer,
                          std::size_t bytes,
                          std::size_t max_bytes) {
  if (bytes <= buffer.capacity()) {
    return true;
  }
  const std::size_t capacity =
      std::max(bytes, std::min(2 * buffer.capacity(), max_bytes));
  if (!this->GrowTo(capacity)) {
    return false;
  }
  buffer.reserve(capacity);
  return true;
}

void BufferShare::Release() {
  this->budget->Return(std::exchange(this->bytes, 0));
}

}  // namespace acacia
