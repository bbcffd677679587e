#include "src/member_directory.h"

#include <algorithm>

namespace acacia {
namespace {

// With fewer live entries in a failure domain its callers are sent to all: so
// few could not carry them.
constexpr std::size_t kLeastInDomain = 4;
// Longer answers are cut by callers.
constexpr std::size_t kMostAddresses = 64;

bool IsServing(const schema::MemberUpdateT& member) {
  return member.state != schema::MemberState::Dead &&
         member.state != schema::MemberState::Leaving &&
         !member.caller_address.empty();
}

}  // namespace

MemberDirectory::MemberDirectory(const schema::MemberUpdateT& self)
    : self(self) {
  this->Clear();
}

void MemberDirectory::Put(const schema::MemberUpdateT& member) {
  if (member.instance != this->self.instance) {
    this->members[InstanceId(member.instance)] = member;
  }
}

void MemberDirectory::Remove(const InstanceId& instance) {
  if (instance.Value() != this->self.instance) {
    this->members.erase(instance);
  }
}

void MemberDirectory::Clear() {
  this->members.clear();
  this->members[InstanceId(this->self.instance)] = this->self;
}

std::vector<std::string> MemberDirectory::AddressesFor(
    const FailureDomain& domain) const {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const auto& [instance, member] : this->members) {
    const bool left = this->leaving && instance.Value() == this->self.instance;
    if (left || !IsServing(member)) {
      continue;
    }
    all.push_back(member.caller_address);
    if (member.failure_domain == domain.Value()) {
      near.push_back(member.caller_address);
    }
  }
  std::vector<std::string>& chosen = near.size() >= kLeastInDomain ? near : all;
  chosen.resize(std::min(chosen.size(), kMostAddresses));
  return chosen;
}

}  // namespace acacia
