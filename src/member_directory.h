// The entries of the fleet, as used by lookups and budgets: every row of the
// members table, and when each entry was last heard. Entries of one failure
// domain exchange heartbeats; one that falls silent is left out of lookup
// answers until it is heard again. When most of them fall silent at once, this
// entry's own network link is the likelier cause, and none is left out.
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
  // Removes all entries but this one.
  void Clear();

  // Records a message from this instance. `serving`: it accepts requests of
  // callers already.
  void OnHeard(const InstanceId& instance, TimePoint now, bool serving = true);

  // Returns the other entries of this failure domain that were heard within
  // kSilenceTimeout, sorted by name.
  std::vector<InstanceId> LiveDomainPeers(TimePoint now) const;

  // Returns the entry addresses to give to a caller in `domain`: live entries
  // of that failure domain when there are enough of them, otherwise of all
  // failure domains. When more exist than fit into an answer, returns a random
  // selection.
  std::vector<std::string> AddressesFor(const FailureDomain& domain,
                                        RandomSource& random,
                                        TimePoint now) const;

  // An entry of this failure domain that was not heard for this long is silent.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1600);

  const std::map<InstanceId, schema::MemberUpdateT>& Members() const {
    return this->members;
  }

  // Whether this is another entry of this entry's failure domain.
  bool IsDomainPeer(const InstanceId& instance) const;

  InstanceId Self() const { return InstanceId(this->self.instance); }
  const std::string& SelfDomain() const { return this->self.failure_domain; }
  // Sets the entries of this one's cell, which send it heartbeats. Empty: all
  // entries of the failure domain do.
  void SetCellPeers(const std::vector<InstanceId>& cell_peers);
  // Updates whether this entry is a reader candidate.
  void UpdateReaderCandidacy(TimePoint now);
  // Whether all entries of the failure domain send heartbeats to this one, as
  // they do to reader candidates.
  bool HearsWholeDomain() const { return this->hears_whole_domain; }
  // Whether the entry is among the first of this failure domain by name that
  // are not silent. These may become readers of the store, and exchange
  // heartbeats with the whole failure domain.
  bool IsReaderCandidate(const InstanceId& instance, TimePoint now) const;
  // Returns names of entries of this failure domain that appear silent to this
  // one or do not serve callers; at most as many as fit into a message.
  std::vector<std::string> SilentDomainPeers(TimePoint now) const;
  // Records the silent entries reported by a reader, which hears the whole
  // failure domain. Replaces the previous report.
  void OnReportedSilent(const std::vector<std::string>& names, TimePoint now);

  // Removes this entry from lookup answers.
  void Leave() { this->leaving = true; }

 private:
  bool IsDomainPeer(const schema::MemberUpdateT& member) const;
  bool IsSilent(const schema::MemberUpdateT& member, TimePoint now) const;
  bool MostAreSilent(TimePoint now) const;
  // Whether callers must not be sent to this entry: it is silent or does not
  // serve.
  bool IsUnavailable(const schema::MemberUpdateT& member, TimePoint now) const;
  bool ExpectsHeartbeatFrom(const InstanceId& instance) const;

  schema::MemberUpdateT self;
  bool leaving = false;
  std::map<InstanceId, schema::MemberUpdateT> members;
  std::map<InstanceId, TimePoint> last_heard;
  // Entries that were heard but do not serve callers.
  std::set<InstanceId> not_serving;
  std::set<InstanceId> cell_peers;
  bool hears_whole_domain = false;
  std::set<InstanceId> reported_silent;
  TimePoint reported_silent_at{};
};

}  // namespace acacia

#endif  // SRC_MEMBER_DIRECTORY_H_
