// How many requests of one service wait at each entry, by rank, as the entries
// last reported it.
#ifndef SRC_WAITING_REPORTS_H_
#define SRC_WAITING_REPORTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/generated/entry_link_generated.h"

namespace acacia {

// The number of waiting requests of each rank; the last one also counts all
// lower ranks.
using WaitingCounts = std::vector<std::uint32_t>;
inline constexpr std::uint32_t kMaxReportedRank = 15;

// The waiting requests of this rank and those above.
std::uint32_t SumUpTo(const WaitingCounts& counts, std::uint32_t rank);
// Counts one more waiting request.
void AddWaiting(WaitingCounts& counts, std::uint32_t rank);

class WaitingReports {
 public:
  // True for an item of evidence that holds the sender's waiting requests.
  static bool IsReport(const schema::BackendEvidenceT& item);

  void OnReport(const std::string& from,
                const WaitingCounts& counts,
                TimePoint now);
  // True when requests of a rank above `rank` wait at other entries.
  bool HasAbove(std::uint32_t rank, TimePoint now) const;

  // Requests of this rank and those above that wait at other entries.
  std::uint32_t CountUpTo(std::uint32_t rank, TimePoint now) const;

  // Returns this entry's report, to be sent now; nullopt while it need not be
  // sent.
  std::optional<schema::BackendEvidenceT> Take(const std::string& service,
                                               const WaitingCounts& counts,
                                               TimePoint now);

 private:
  struct Report {
    WaitingCounts counts;
    TimePoint at;
  };

  std::map<std::string, Report> reports;
  WaitingCounts sent;
  TimePoint sent_at{};
};

}  // namespace acacia

#endif  // SRC_WAITING_REPORTS_H_
