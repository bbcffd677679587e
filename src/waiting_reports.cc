#include "src/waiting_reports.h"

#include <algorithm>
#include <numeric>

namespace acacia {
namespace {

// Entries report every 40 ms while the counts change, and at least this often
// while requests wait.
constexpr Duration kResendInterval = std::chrono::milliseconds(120);
// Two lost reports do not end the order among entries; the reports of an entry
// that has died do not delay lower ranks for long.
constexpr Duration kReportExpiry = std::chrono::milliseconds(300);

}  // namespace

void AddWaiting(WaitingCounts& counts, std::uint32_t rank) {
  const std::uint32_t index = std::min(rank, kMaxReportedRank);
  if (counts.size() <= index) {
    counts.resize(index + 1);
  }
  ++counts[index];
}

std::uint32_t SumUpTo(const WaitingCounts& counts, std::uint32_t rank) {
  const std::size_t end = std::min<std::size_t>(
      std::min(rank, kMaxReportedRank) + std::size_t{1}, counts.size());
  return std::accumulate(counts.begin(),
                         counts.begin() + static_cast<std::ptrdiff_t>(end), 0U);
}

bool WaitingReports::IsReport(const schema::BackendEvidenceT& item) {
  return item.id.empty() && item.address.empty();
}

void WaitingReports::OnReport(const std::string& from,
                              const WaitingCounts& counts,
                              TimePoint now) {
  std::erase_if(this->reports, [now](const auto& item) {
    return now - item.second.at >= kReportExpiry;
  });
  if (counts.empty()) {
    this->reports.erase(from);
  } else {
    this->reports[from] = {counts, now};
    // A peer cannot make this entry hold more than it may report.
    this->reports[from].counts.resize(
        std::min<std::size_t>(counts.size(), kMaxReportedRank + 1));
  }
}

std::uint32_t WaitingReports::CountUpTo(std::uint32_t rank,
                                        TimePoint now) const {
  std::uint32_t count = 0;
  for (const auto& [from, report] : this->reports) {
    count += now - report.at < kReportExpiry ? SumUpTo(report.counts, rank) : 0;
  }
  return count;
}

bool WaitingReports::HasAbove(std::uint32_t rank, TimePoint now) const {
  return rank > 0 && this->CountUpTo(rank - 1, now) > 0;
}

std::optional<schema::BackendEvidenceT> WaitingReports::Take(
    const std::string& service,
    const WaitingCounts& counts,
    TimePoint now) {
  const bool is_due = !counts.empty() && now - this->sent_at >= kResendInterval;
  if (counts == this->sent && !is_due) {
    return std::nullopt;
  }
  this->sent = counts;
  this->sent_at = now;
  schema::BackendEvidenceT item;
  item.service = service;
  item.waiting_by_rank = counts;
  return item;
}

}  // namespace acacia
