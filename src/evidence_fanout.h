// Decides which entries outside the sender's cell receive its outcome reports,
// and by which way. Evidence about suspects goes to every entry of the cells
// that use the backend server. For a cell in another failure domain, one entry
// receives it and passes it on to its cell: bytes between failure domains cost
// more than bytes within one, and a direct message to each entry would multiply
// them by the size of the cell. What bounds an entry's own attempts within
// milliseconds (rate limits), or must not be lost with the entry that passes it
// on (leaving backend servers, requests that crash them), goes directly.
#ifndef SRC_EVIDENCE_FANOUT_H_
#define SRC_EVIDENCE_FANOUT_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "src/cells.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/peer_messages.h"

namespace acacia {

// The reports that one recipient receives in one message.
struct ReportsTo {
  InstanceId to;
  OutcomeReports reports;
  // The recipient passes the reports on to its cell.
  bool forward = false;
};

using Members = std::map<InstanceId, schema::MemberUpdateT>;

class EvidenceFanout {
 public:
  explicit EvidenceFanout(InstanceId self);

  // The messages for entries outside this entry's cell. Messages with equal
  // reports follow one another.
  std::vector<ReportsTo> Plan(const OutcomeReports& reports,
                              const Members& members,
                              const Cells& cells);

 private:
  // The entry of the cell whose turn it is.
  const InstanceId& ForwarderIn(const std::vector<InstanceId>& cell) const;

  InstanceId self;
  // Rises with each plan, so that successive reports go to different entries
  // and one that is down loses few of them.
  std::size_t turn;
};

// Reports that this entry received from other failure domains and passes on to
// its cell with its next message.
class ForwardedReports {
 public:
  // Beyond this size reports are dropped: the sender's later ones replace them.
  static constexpr std::size_t kMaxOutcomes = 256;

  void Add(const std::string& from,
           const std::vector<schema::BackendEvidenceT>& outcomes);
  // Returns the reports since the last call, in messages of at most
  // `max_outcomes` outcomes each.
  std::vector<std::vector<ForwardedOutcomes>> Take(std::size_t max_outcomes);

 private:
  std::vector<ForwardedOutcomes> pending;
  std::size_t pending_outcomes = 0;
};

}  // namespace acacia

#endif  // SRC_EVIDENCE_FANOUT_H_
