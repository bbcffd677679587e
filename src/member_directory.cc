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
    this->heard.erase(instance);
  }
}

void MemberDirectory::Clear() {
  this->members.clear();
  this->members[InstanceId(this->self.instance)] = this->self;
}

void MemberDirectory::OnHeard(const InstanceId& instance, TimePoint now) {
  this->heard[instance] = now;
}

bool MemberDirectory::IsNear(const schema::MemberUpdateT& member) const {
  return member.failure_domain == this->self.failure_domain &&
         member.instance != this->self.instance;
}

bool MemberDirectory::IsNear(const InstanceId& instance) const {
  const auto found = this->members.find(instance);
  return found != this->members.end() && this->IsNear(found->second);
}

std::vector<InstanceId> MemberDirectory::HeardNear(TimePoint now) const {
  std::vector<InstanceId> near;
  for (const auto& [instance, member] : this->members) {
    const auto found = this->heard.find(instance);
    if (this->IsNear(member) && found != this->heard.end() &&
        now - found->second <= kSilence) {
      near.push_back(instance);
    }
  }
  return near;
}

// One that was never heard may only just have started, or this entry has.
bool MemberDirectory::IsSilent(const schema::MemberUpdateT& member,
                               TimePoint now) const {
  const auto found = this->heard.find(InstanceId(member.instance));
  return this->IsNear(member) && found != this->heard.end() &&
         now - found->second > kSilence;
}

bool MemberDirectory::MostAreSilent(TimePoint now) const {
  std::size_t near = 0;
  std::size_t silent = 0;
  for (const auto& [instance, member] : this->members) {
    near += this->IsNear(member) ? 1 : 0;
    silent += this->IsSilent(member, now) ? 1 : 0;
  }
  return 2 * silent > near;
}

std::vector<std::string> MemberDirectory::AddressesFor(
    const FailureDomain& domain,
    TimePoint now) const {
  const bool trust_silence = !this->MostAreSilent(now);
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const auto& [instance, member] : this->members) {
    const bool left = this->leaving && instance.Value() == this->self.instance;
    const bool silent = trust_silence && this->IsSilent(member, now);
    if (left || silent || !IsServing(member)) {
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
