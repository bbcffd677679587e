// Which backend servers the whole fleet has ejected, so that the union of what
// all entries hold never takes a service below its floor.
//
// One row per service lists the ejected; it is changed by compare-and-set and
// only when the floor holds. Instances learn of a new version from each other
// and may lag, so that one holds an older version while another holds a newer
// one. Three rules keep the union of both above the floor:
//  - An instance applies a version only for kMaxGrantAge after it last knew
//    that version to be the latest. Then the ejections lapse: the floor is
//    promised always, an ejection is not, and each entry still avoids what its
//    own evidence shows to be sick.
//  - A backend server that is no longer ejected stays in the row as returning
//    and counts as ejected for the floor until a proposer has itself seen it
//    there for kReturningTime, which is longer than kMaxGrantAge.
//  - Ages travel between instances only in answers and are counted from when
//    the question was sent, so that delayed messages cannot make them younger.
//
// No new version is written while the platform is out, because each write
// follows a fresh read of the row. A lost reply is settled by the next read.
#ifndef SRC_EJECTION_H_
#define SRC_EJECTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "src/agent_actions.h"
#include "src/clock.h"
#include "src/floor.h"
#include "src/generated/peer_generated.h"
#include "src/grant_proposal.h"
#include "src/ids.h"
#include "src/random_source.h"

namespace acacia {

// The part that this instance plays for a service.
enum class EjectionRole {
  // Learns grants from peers.
  kHolder,
  // Also polls the row.
  kPoller,
  // Also proposes, after a delay that gives the first proposer time.
  kSecondProposer,
  kFirstProposer,
};

struct EjectionTask {
  ServiceCapacity capacity;
  EjectionRole role = EjectionRole::kHolder;
  // What the pooled evidence shows to be sick.
  std::set<BackendId> sick;
};

class Ejection {
 public:
  Ejection(std::string writer,
           const Clock& wall_clock,
           RandomSource& random,
           OperationIds& operations);

  // Replaces what is known of all services.
  void SetTasks(std::map<ServiceName, EjectionTask> services, TimePoint now);
  void SetSick(const ServiceName& service, std::set<BackendId> sick);

  void OnTick(TimePoint now, AgentActions& actions);
  // Both return false when the operation is somebody else's.
  bool OnRowRead(OperationId operation,
                 const RowResult& result,
                 TimePoint now,
                 AgentActions& actions);
  bool OnRowWritten(OperationId operation,
                    const WriteResult& result,
                    TimePoint now);
  // A peer's copy of a grant; `asked` is when the question was sent that the
  // message answers, if it answers one.
  void OnNotice(const schema::GrantNoticeT& notice,
                std::optional<TimePoint> asked,
                TimePoint now);
  // Copies to attach to a message, the newest first.
  std::vector<schema::GrantNoticeT> Notices(std::size_t limit, TimePoint now);

  // What the entry may treat as ejected now; the floor is checked again.
  std::vector<BackendId> Applied(const ServiceName& service,
                                 TimePoint now) const;
  RowVersion GrantVersion(const ServiceName& service) const;
  // How long the entry may go on with what is applied.
  Duration ValidFor(TimePoint now) const;
  // True once after the applied ejections may have changed.
  bool TakeChanged();
  // True once after a newer version of a grant became known.
  bool TakeNews();
  std::vector<std::string> Explain(const ServiceName& service,
                                   TimePoint now) const;

 private:
  enum class Step { kIdle, kReading, kWriting };
  // Identifies one stay of a backend server in one of the row's lists.
  using Stay = std::tuple<std::string, std::uint64_t, bool>;
  struct Grant {
    RowVersion version;
    schema::EjectionGrantT row;
    // When this version was last known to be the latest.
    std::optional<TimePoint> confirmed;
    std::optional<TimePoint> changed;
    std::map<Stay, TimePoint> first_seen;
    Step step = Step::kIdle;
    OperationId operation;
    TimePoint sent;
    TimePoint next_poll;
    TimePoint next_proposal;
    std::uint32_t failures = 0;
    schema::EjectionGrantT proposed;
  };

  void Adopt(Grant& grant,
             RowVersion version,
             const schema::EjectionGrantT& row,
             std::optional<TimePoint> confirmed,
             TimePoint now);
  void NoteStays(Grant& grant, TimePoint now);
  void SendRead(const ServiceName& service,
                Grant& grant,
                TimePoint now,
                AgentActions& actions);
  // The next version of the row, or nothing when no change is due.
  std::optional<schema::EjectionGrantT> Propose(const EjectionTask& task,
                                                const Grant& grant,
                                                TimePoint now) const;
  bool WantsChange(const EjectionTask& task,
                   const Grant& grant,
                   TimePoint now) const;
  bool IsFresh(const Grant& grant, TimePoint now) const;
  Duration Age(const Grant& grant,
               const schema::EjectionEntryT& entry,
               bool returning,
               TimePoint now) const;
  Duration Jittered(Duration around);
  Grant* FindOperation(OperationId operation, Step step, ServiceName* service);

  std::string writer;
  const Clock& wall_clock;
  RandomSource& random;
  OperationIds& operations;
  std::map<ServiceName, EjectionTask> tasks;
  std::map<ServiceName, Grant> grants;
  std::size_t next_notice = 0;
  std::uint64_t writes = 0;
  bool applied_changed = false;
  bool news = false;
};

}  // namespace acacia

#endif  // SRC_EJECTION_H_
