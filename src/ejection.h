// Agrees across the fleet on which backend servers are ejected, such that the
// union of what all entries apply never takes a service below its capacity
// floor.
//
// The platform has one row (the grant) per service that lists the ejected
// backend servers. It is changed by compare-and-set and only when the floor
// holds. Instances learn of a new version from each other with a delay, so one
// may apply an older version while another applies a newer one. Three rules
// keep the union of both above the floor:
//  - An instance applies a version only for kMaxGrantAge after it last knew
//    that version to be the latest. Then the ejections lapse: the floor is
//    guaranteed, an ejection is not, and each entry still avoids the backend
//    servers that its own evidence shows to be sick.
//  - A backend server that is no longer ejected stays in the row as returning
//    and counts as ejected for the floor until a proposer has itself seen it
//    there for kReturningTime, which is longer than kMaxGrantAge.
//  - Instances send the age of their confirmation only in answers, and the
//    receiver counts it from when it sent the question, so that a delayed
//    message cannot make a confirmation look more recent than it is.
//
// No new version is written while the platform is unavailable, because each
// write follows a fresh read of the row. After a lost reply, the next read
// shows whether the write took effect.
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

// This instance's role in the ejections of a service.
enum class EjectionRole {
  // Learns grants from peers only.
  kHolder,
  // Also polls the row on the platform.
  kPoller,
  // Also proposes changes, after a delay in which the first proposer can act.
  kSecondProposer,
  // Proposes changes without delay.
  kFirstProposer,
};

struct EjectionTask {
  ServiceCapacity capacity;
  EjectionRole role = EjectionRole::kHolder;
  // The backend servers that the pooled evidence shows to be sick.
  std::set<BackendId> sick;
};

class Ejection {
 public:
  Ejection(std::string writer,
           const Clock& wall_clock,
           RandomSource& random,
           OperationIds& operations);

  // Sets the services to manage. Grants of other services are forgotten; a
  // service that was set before keeps its sick backend servers.
  void SetTasks(std::map<ServiceName, EjectionTask> services, TimePoint now);
  void SetSick(const ServiceName& service, std::set<BackendId> sick);

  void OnTick(TimePoint now, AgentActions& actions);
  // Handle the result of a platform operation. Both return false when this
  // object did not start the operation.
  bool OnRowRead(OperationId operation,
                 const RowResult& result,
                 TimePoint now,
                 AgentActions& actions);
  bool OnRowWritten(OperationId operation,
                    const WriteResult& result,
                    TimePoint now);
  // Handles a peer's copy of a grant. `asked` is when this instance sent the
  // question that the message answers, if it answers one.
  void OnNotice(const schema::GrantNoticeT& notice,
                std::optional<TimePoint> asked,
                TimePoint now);
  // Copies of at most `limit` grants to attach to a message: those that changed
  // recently first, then the others that list ejections, in rotation.
  std::vector<schema::GrantNoticeT> Notices(std::size_t limit, TimePoint now);

  // The backend servers that the entry may treat as ejected now. The floor is
  // checked again with the capacity that this instance knows.
  std::vector<BackendId> Applied(const ServiceName& service,
                                 TimePoint now) const;
  RowVersion GrantVersion(const ServiceName& service) const;
  // How long the entry may go on with the applied ejections.
  Duration ValidFor(TimePoint now) const;
  // True once after the applied ejections may have changed.
  bool TakeChanged();
  // True once after this instance learned of a newer version of a grant.
  bool TakeNewerGrant();
  std::vector<std::string> Explain(const ServiceName& service,
                                   TimePoint now) const;

 private:
  enum class Step { kIdle, kReading, kWriting };
  // Identifies one listing of a backend server in a row: its address, since
  // when it is listed, and whether as returning (else as ejected).
  using ListingKey = std::tuple<std::string, std::uint64_t, bool>;
  struct Grant {
    RowVersion version;
    schema::EjectionGrantT row;
    // When this version was last known to be the latest.
    std::optional<TimePoint> confirmed;
    // When peers were last found to need a copy: a new version came, or a peer
    // sent an older one.
    std::optional<TimePoint> changed;
    // When this instance first saw each listing.
    std::map<ListingKey, TimePoint> first_seen;
    Step step = Step::kIdle;
    OperationId operation;
    TimePoint sent;
    TimePoint next_poll;
    TimePoint next_proposal;
    std::uint32_t failures = 0;
    schema::EjectionGrantT proposed;
  };

  // Takes over a version that is not older than the known one.
  void Adopt(Grant& grant,
             RowVersion version,
             const schema::EjectionGrantT& row,
             std::optional<TimePoint> confirmed,
             TimePoint now);
  void RecordListings(Grant& grant, TimePoint now);
  void SendRead(const ServiceName& service,
                Grant& grant,
                TimePoint now,
                AgentActions& actions);
  // The next version of the row; nullopt when no change is due.
  std::optional<schema::EjectionGrantT> Propose(const EjectionTask& task,
                                                const Grant& grant,
                                                TimePoint now) const;
  bool IsChangeDue(const EjectionTask& task,
                   const Grant& grant,
                   TimePoint now) const;
  bool IsFresh(const Grant& grant, TimePoint now) const;
  // How long this instance has seen the entry in its list.
  Duration Age(const Grant& grant,
               const schema::EjectionEntryT& entry,
               bool returning,
               TimePoint now) const;
  // Uniform over half to one and a half times `around`.
  Duration Jittered(Duration around);
  Grant* FindOperation(OperationId operation, Step step, ServiceName* service);

  std::string writer;
  const Clock& wall_clock;
  RandomSource& random;
  OperationIds& operations;
  std::map<ServiceName, EjectionTask> tasks;
  std::map<ServiceName, Grant> grants;
  std::size_t next_unchanged = 0;
  std::uint64_t writes = 0;
  bool applied_changed = false;
  bool news = false;
};

}  // namespace acacia

#endif  // SRC_EJECTION_H_
