#include "src/buffer_budget.h"

#include <utility>

namespace acacia {

bool BufferBudget::TryTake(std::size_t bytes) {
  std::size_t before = this->held.load();
  do {
    const bool fits =
        before <= this->max_bytes && bytes <= this->max_bytes - before;
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

void BufferShare::Release() {
  this->budget->Return(std::exchange(this->bytes, 0));
}

}  // namespace acacia
