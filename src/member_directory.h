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
#include <string>
#include <vector>

#include "src/clock.h"
#include "src/generated/peer_generated.h"
#include "src/ids.h"

namespace acacia {

class MemberDirectory {
 public:
  explicit MemberDirectory(const schema::MemberUpdateT& self);

  void Put(const schema::MemberUpdateT& member);
  void Remove(const InstanceId& instance);
  // Drops everyone but this entry.
  void Clear();

  // A message came from this instance.
  void OnHeard(const InstanceId& instance, TimePoint now);

  // The other entries of this failure domain that were heard lately, by name.
  std::vector<InstanceId> HeardNear(TimePoint now) const;

  // Caller addresses for a caller in `domain`: the live entries of its own
  // failure domain when there are enough of them, otherwise all live ones.
  std::vector<std::string> AddressesFor(const FailureDomain& domain,
                                        TimePoint now) const;

  // An entry of this failure domain that is not heard for so long is silent.
  static constexpr Duration kSilence = std::chrono::milliseconds(1600);

  const std::map<InstanceId, schema::MemberUpdateT>& Members() const {
    return this->members;
  }

  bool IsNear(const InstanceId& instance) const;

  // Takes this entry out of lookups.
  void Leave() { this->leaving = true; }

 private:
  bool IsNear(const schema::MemberUpdateT& member) const;
  bool IsSilent(const schema::MemberUpdateT& member, TimePoint now) const;
  bool MostAreSilent(TimePoint now) const;

  schema::MemberUpdateT self;
  bool leaving = false;
  std::map<InstanceId, schema::MemberUpdateT> members;
  std::map<InstanceId, TimePoint> heard;
};

}  // namespace acacia

#endif  // SRC_MEMBER_DIRECTORY_H_
