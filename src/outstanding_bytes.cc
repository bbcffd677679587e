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

void OutstandingBytes::OnReport(const std::string& entry,
                                std::uint64_t bytes,
                                TimePoint now) {
  std::erase_if(this->reports, [&](const Report& each) {
    return each.entry == entry || now - each.at >= kReportExpiry;
  });
  if (bytes > 0) {
    this->reports.push_back({entry, bytes, now});
  }
}

std::uint64_t OutstandingBytes::TakeReport() {
  this->sent = this->own;
  return this->own;
}

std::uint64_t OutstandingBytes::Total(TimePoint now) const {
  std::uint64_t total = this->own;
  for (const Report& each : this->reports) {
    total += now - each.at < kReportExpiry ? each.bytes : 0;
  }
  return total;
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
