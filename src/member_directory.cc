#include "src/member_directory.h"

#include <algorithm>

namespace acacia {
namespace {

// With fewer live entries in a failure domain its callers are sent to all: so
// few could not carry them.
constexpr std::size_t kLeastInDomain = 4;
// Longer answers are cut by callers.
constexpr std::size_t kMostAddresses = 64;
// Entries that may become readers: two read, and two are ready to follow them.
constexpr std::size_t kCandidates = 4;
// Names that fit a datagram beside the rest.
constexpr std::size_t kMostToldSilent = 24;

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
    this->idle.erase(instance);
  }
}

void MemberDirectory::Clear() {
  this->members.clear();
  this->members[InstanceId(this->self.instance)] = this->self;
}

void MemberDirectory::OnHeard(const InstanceId& instance,
                              TimePoint now,
                              bool serving) {
  this->heard[instance] = now;
  if (serving) {
    this->idle.erase(instance);
  } else {
    this->idle.insert(instance);
  }
}

bool MemberDirectory::IsAway(const schema::MemberUpdateT& member,
                             TimePoint now) const {
  return this->idle.contains(InstanceId(member.instance)) ||
         this->IsSilent(member, now);
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

// One that was never heard may only just have started, or this entry has; it
// may also be in another cell, of which readers tell.
bool MemberDirectory::IsSilent(const schema::MemberUpdateT& member,
                               TimePoint now) const {
  if (!this->IsNear(member)) {
    return false;
  }
  const InstanceId instance(member.instance);
  const auto found = this->heard.find(instance);
  if (found != this->heard.end() && now - found->second <= kSilence) {
    return false;
  }
  const bool told = now - this->told_silent_at <= kSilence &&
                    this->told_silent.contains(instance);
  return told || (found != this->heard.end() && this->Expects(instance));
}

// Only those who tell this entry that they live can be silent.
bool MemberDirectory::Expects(const InstanceId& instance) const {
  return this->mates.empty() || this->mates.contains(instance) ||
         this->hears_all;
}

void MemberDirectory::SetMates(const std::vector<InstanceId>& mates) {
  this->mates = {mates.begin(), mates.end()};
}

void MemberDirectory::UpdateCandidacy(TimePoint now) {
  this->hears_all = this->IsCandidate(this->Self(), now);
}

bool MemberDirectory::IsCandidate(const InstanceId& instance,
                                  TimePoint now) const {
  std::size_t before = 0;
  for (const auto& [each, member] : this->members) {
    if (!(each < instance) || before >= kCandidates) {
      break;
    }
    const bool is_self = each.Value() == this->self.instance;
    before += is_self || (this->IsNear(member) && !this->IsSilent(member, now))
                  ? 1
                  : 0;
  }
  return before < kCandidates;
}

std::vector<std::string> MemberDirectory::SilentNear(TimePoint now) const {
  std::vector<std::string> silent;
  for (const auto& [instance, member] : this->members) {
    if (silent.size() < kMostToldSilent && this->IsNear(member) &&
        this->IsAway(member, now)) {
      silent.push_back(member.instance);
    }
  }
  return silent;
}

void MemberDirectory::OnToldSilent(const std::vector<std::string>& names,
                                   TimePoint now) {
  this->told_silent.clear();
  for (const std::string& each : names) {
    this->told_silent.emplace(each);
  }
  this->told_silent_at = now;
}

bool MemberDirectory::MostAreSilent(TimePoint now) const {
  std::size_t near = 0;
  std::size_t silent = 0;
  for (const auto& [instance, member] : this->members) {
    near += this->IsNear(member) ? 1 : 0;
    silent += this->IsNear(member) && this->IsAway(member, now) ? 1 : 0;
  }
  return 2 * silent > near;
}

std::vector<std::string> MemberDirectory::AddressesFor(
    const FailureDomain& domain,
    RandomSource& random,
    TimePoint now) const {
  const bool trust_silence = !this->MostAreSilent(now);
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const auto& [instance, member] : this->members) {
    const bool left = this->leaving && instance.Value() == this->self.instance;
    const bool silent = trust_silence && this->IsAway(member, now);
    if (left || silent || !IsServing(member)) {
      continue;
    }
    all.push_back(member.caller_address);
    if (member.failure_domain == domain.Value()) {
      near.push_back(member.caller_address);
    }
  }
  std::vector<std::string>& chosen = near.size() >= kLeastInDomain ? near : all;
  if (chosen.size() > kMostAddresses) {
    for (std::size_t i = 0; i < kMostAddresses; ++i) {
      std::swap(chosen[i], chosen[i + random.Below(chosen.size() - i)]);
    }
    chosen.resize(kMostAddresses);
  }
  return chosen;
}

}  // namespace acacia
