// The entries of the fleet as lookups and budgets see them: every row in the
// members' table, and which of them answer.
//
// Not thread-safe; no I/O.
#ifndef SRC_MEMBER_DIRECTORY_H_
#define SRC_MEMBER_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

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

  // Caller addresses for a caller in `domain`: the live entries of its own
  // failure domain when there are enough of them, otherwise all live ones.
  std::vector<std::string> AddressesFor(const FailureDomain& domain) const;

  const std::map<InstanceId, schema::MemberUpdateT>& Members() const {
    return this->members;
  }

  // Takes this entry out of lookups.
  void Leave() { this->leaving = true; }

 private:
  schema::MemberUpdateT self;
  bool leaving = false;
  std::map<InstanceId, schema::MemberUpdateT> members;
};

}  // namespace acacia

#endif  // SRC_MEMBER_DIRECTORY_H_
