#include "src/outstanding_bytes.h"

namespace acacia {
namespace {

bool IsLarge(std::uint64_t body_bytes) {
  return body_bytes >= OutstandingBytes::kLargeBodyBytes;
}

}  // namespace

void OutstandingBytes::OnStart(std::uint64_t body_bytes) {
  this->own += IsLarge(body_bytes) ? body_bytes : 0;
}

void OutstandingBytes::OnRelease(std::uint64_t body_bytes) {
  this->own -= IsLarge(body_bytes) ? body_bytes : 0;
}

std::uint64_t OutstandingBytes::TakeReport() {
  this->sent = this->own;
  return this->own;
}

bool OutstandingBytes::HasRoom(std::uint64_t body_bytes,
                               std::uint32_t slots,
                               TimePoint now) const {
  if (!IsLarge(body_bytes)) {
    return true;
  }
  const std::uint64_t total = this->Total(now);
  return total == 0 || total + body_bytes <= kMaxBytesPerSlot * slots;
}

double OutstandingBytes::Cost(std::uint64_t body_bytes,
                              std::uint32_t slots,
                              TimePoint now) const {
  if (!IsLarge(body_bytes)) {
    return 0;
  }
  return static_cast<double>(this->Total(now)) /
         static_cast<double>(kBusyBytesPerSlot * slots);
}

}  // namespace acacia
