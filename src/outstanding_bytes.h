// The bytes of large requests that all entries of a cell have at one backend
// server. A backend server holds the requests that it runs and queues in its
// memory, and crashes when they exceed it. Requests that are not large neither
// count nor are held back.
#ifndef SRC_OUTSTANDING_BYTES_H_
#define SRC_OUTSTANDING_BYTES_H_

#include <cstdint>
#include <string>

#include "src/clock.h"
#include "src/peer_counts.h"

namespace acacia {

// Not thread-safe.
class OutstandingBytes {
 public:
  // Requests with smaller bodies are not large.
  static constexpr std::uint64_t kLargeBodyBytes = 32 * 1024;
  // From this many bytes for each slot on, other backend servers are preferred
  // as if one more request waited at each slot. Chosen, not measured: it is
  // four times the mean of large bodies that fill a queue of four for a slot.
  static constexpr std::uint64_t kBusyBytesPerSlot = 1024 * 1024;
  // With this many bytes for each slot, a backend server gets no further large
  // request. Chosen, not measured: the memory of backend servers is not known.
  static constexpr std::uint64_t kMaxBytesPerSlot = 16 * 1024 * 1024;
  // Entries repeat their report after this time while it is not 0, because a
  // message may be lost.
  static constexpr Duration kResendInterval = std::chrono::milliseconds(120);
  // Another entry's report expires after this time. With 30 % of messages lost
  // and an interval of 500 ms, reports that expired after 1.2 s let the entries
  // together exceed the bound twofold.
  static constexpr Duration kReportExpiry = std::chrono::seconds(2);

  void OnStart(std::uint64_t body_bytes);
  void OnRelease(std::uint64_t body_bytes);
  // Another entry reported the bytes that it has there.
  void OnReport(const std::string& entry, std::uint64_t bytes, TimePoint now) {
    this->peers.Set(entry, bytes, now);
  }

  // This entry's own.
  std::uint64_t Own() const { return this->own; }
  bool HasUnsent() const { return this->own != this->sent; }
  // Returns this entry's own for a report.
  std::uint64_t TakeReport();

  std::uint64_t Total(TimePoint now) const {
    return this->own + this->peers.Sum(now);
  }
  // Whether a request may be sent there. One request always has room where
  // nothing is outstanding.
  bool HasRoom(std::uint64_t body_bytes,
               std::uint32_t slots,
               TimePoint now) const;
  // What a large request there costs, in load per slot; 0 for others.
  double Cost(std::uint64_t body_bytes,
              std::uint32_t slots,
              TimePoint now) const;

 private:
  std::uint64_t own = 0;
  std::uint64_t sent = 0;
  PeerCounts peers{kReportExpiry};
};

}  // namespace acacia

#endif  // SRC_OUTSTANDING_BYTES_H_
