// The entries of the fleet as lookups and budgets see them: every row in the
// members' table, and which of them have been heard lately. Entries of one
// failure domain hear each other all the time; one that falls silent leaves the
// lookup answers until it is heard again. When most fall silent at once, this
// entry's own link is the likelier cause, and nobody is left out.
//
// Not thread-safe; no I/O.
#ifndef SRC_MEMBER_DIRECTORY_H_
#define SRC_MEMBER_DIRECTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"
#include "src/random_source.h"

namespace acacia {

class MemberDirectory {
 public:
  explicit MemberDirectory(const schema::MemberUpdateT& self);

  void Put(const schema::MemberUpdateT& member);
  void Remove(const InstanceId& instance);
  // Drops everyone but this entry.
  void Clear();

  // A message came from this instance; it serves callers, or does not yet.
  void OnHeard(const InstanceId& instance, TimePoint now, bool serving = true);

  // The other entries of this failure domain that were heard lately, by name.
  std::vector<InstanceId> LiveDomainPeers(TimePoint now) const;

  // Caller addresses for a caller in `domain`: the live entries of its own
  // failure domain when there are enough of them, otherwise all live ones.
  // Where there are more than fit an answer, others are named each time.
  std::vector<std::string> AddressesFor(const FailureDomain& domain,
                                        RandomSource& random,
                                        TimePoint now) const;

  // An entry of this failure domain that is not heard for so long is silent.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1600);

  const std::map<InstanceId, schema::MemberUpdateT>& Members() const {
    return this->members;
  }

  bool IsDomainPeer(const InstanceId& instance) const;

  InstanceId Self() const { return InstanceId(this->self.instance); }
  // The other entries that tell this one that they live; none: all of the
  // failure domain.
  void SetCellPeers(const std::vector<InstanceId>& cell_peers);
  // Works out anew whether this entry is a candidate.
  void UpdateReaderCandidacy(TimePoint now);
  bool HearsWholeDomain() const { return this->hears_whole_domain; }
  // The first entries of this failure domain by name that are not silent; they
  // hear and tell all of it.
  bool IsReaderCandidate(const InstanceId& instance, TimePoint now) const;
  // Entries of this failure domain that are silent, as far as this one hears.
  std::vector<std::string> SilentDomainPeers(TimePoint now) const;
  // A reader, who hears the whole failure domain, says who is silent.
  void OnReportedSilent(const std::vector<std::string>& names, TimePoint now);

  // Takes this entry out of lookups.
  void Leave() { this->leaving = true; }

 private:
  bool IsDomainPeer(const schema::MemberUpdateT& member) const;
  bool IsSilent(const schema::MemberUpdateT& member, TimePoint now) const;
  bool MostAreSilent(TimePoint now) const;
  // Callers must not be sent there.
  bool IsUnavailable(const schema::MemberUpdateT& member, TimePoint now) const;
  bool ExpectsHeartbeatFrom(const InstanceId& instance) const;

  schema::MemberUpdateT self;
  bool leaving = false;
  std::map<InstanceId, schema::MemberUpdateT> members;
  std::map<InstanceId, TimePoint> last_heard;
  // Heard, but not serving.
  std::set<InstanceId> not_serving;
  std::set<InstanceId> cell_peers;
  bool hears_whole_domain = false;
  std::set<InstanceId> reported_silent;
  TimePoint reported_silent_at{};
};

}  // namespace acacia

#endif  // SRC_MEMBER_DIRECTORY_H_
