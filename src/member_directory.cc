#include "src/member_directory.h"

#include <algorithm>

namespace acacia {
namespace {

// With fewer live entries in a failure domain, its callers are sent to all
// entries of the fleet: so few could not carry the load.
constexpr std::size_t kMinDomainEntries = 4;
// Callers truncate longer answers.
constexpr std::size_t kMaxAddresses = 64;
// Entries that may become readers: two read, and two stand by to replace them.
constexpr std::size_t kReaderCandidates = 4;
// As many names as fit into a datagram with the rest of the message.
constexpr std::size_t kMaxReportedSilent = 24;

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
    this->last_heard.erase(instance);
    this->not_serving.erase(instance);
  }
}

void MemberDirectory::Clear() {
  this->members.clear();
  this->members[InstanceId(this->self.instance)] = this->self;
}

void MemberDirectory::OnHeard(const InstanceId& instance,
                              TimePoint now,
                              bool serving) {
  this->last_heard[instance] = now;
  if (serving) {
    this->not_serving.erase(instance);
  } else {
    this->not_serving.insert(instance);
  }
}

bool MemberDirectory::IsUnavailable(const schema::MemberUpdateT& member,
                                    TimePoint now) const {
  return this->not_serving.contains(InstanceId(member.instance)) ||
         this->IsSilent(member, now);
}

bool MemberDirectory::IsDomainPeer(const schema::MemberUpdateT& member) const {
  return member.failure_domain == this->self.failure_domain &&
         member.instance != this->self.instance;
}

bool MemberDirectory::IsDomainPeer(const InstanceId& instance) const {
  const auto found = this->members.find(instance);
  return found != this->members.end() && this->IsDomainPeer(found->second);
}

std::vector<InstanceId> MemberDirectory::LiveDomainPeers(TimePoint now) const {
  std::vector<InstanceId> domain_peers;
  for (const auto& [instance, member] : this->members) {
    const auto found = this->last_heard.find(instance);
    if (this->IsDomainPeer(member) && found != this->last_heard.end() &&
        now - found->second <= kSilenceTimeout) {
      domain_peers.push_back(instance);
    }
  }
  return domain_peers;
}

// An entry that was never heard is silent only if a reader reports it: it, or
// this entry, may only just have started, or it belongs to another cell.
bool MemberDirectory::IsSilent(const schema::MemberUpdateT& member,
                               TimePoint now) const {
  if (!this->IsDomainPeer(member)) {
    return false;
  }
  const InstanceId instance(member.instance);
  const auto found = this->last_heard.find(instance);
  if (found != this->last_heard.end() &&
      now - found->second <= kSilenceTimeout) {
    return false;
  }
  const bool is_reported = now - this->reported_silent_at <= kSilenceTimeout &&
                           this->reported_silent.contains(instance);
  return is_reported || (found != this->last_heard.end() &&
                         this->ExpectsHeartbeatFrom(instance));
}

// Only an entry that sends heartbeats to this one can be judged by its silence.
bool MemberDirectory::ExpectsHeartbeatFrom(const InstanceId& instance) const {
  return this->cell_peers.empty() || this->cell_peers.contains(instance) ||
         this->hears_whole_domain;
}

void MemberDirectory::SetCellPeers(const std::vector<InstanceId>& cell_peers) {
  this->cell_peers = {cell_peers.begin(), cell_peers.end()};
}

void MemberDirectory::UpdateReaderCandidacy(TimePoint now) {
  this->hears_whole_domain = this->IsReaderCandidate(this->Self(), now);
}

bool MemberDirectory::IsReaderCandidate(const InstanceId& instance,
                                        TimePoint now) const {
  std::size_t before = 0;
  for (const auto& [each, member] : this->members) {
    if (!(each < instance) || before >= kReaderCandidates) {
      break;
    }
    const bool is_self = each.Value() == this->self.instance;
    before +=
        is_self || (this->IsDomainPeer(member) && !this->IsSilent(member, now))
            ? 1
            : 0;
  }
  return before < kReaderCandidates;
}

std::vector<std::string> MemberDirectory::SilentDomainPeers(
    TimePoint now) const {
  std::vector<std::string> silent;
  for (const auto& [instance, member] : this->members) {
    if (silent.size() < kMaxReportedSilent && this->IsDomainPeer(member) &&
        this->IsUnavailable(member, now)) {
      silent.push_back(member.instance);
    }
  }
  return silent;
}

void MemberDirectory::OnReportedSilent(const std::vector<std::string>& names,
                                       TimePoint now) {
  this->reported_silent.clear();
  for (const std::string& each : names) {
    this->reported_silent.emplace(each);
  }
  this->reported_silent_at = now;
}

bool MemberDirectory::MostAreSilent(TimePoint now) const {
  std::size_t domain_peers = 0;
  std::size_t silent = 0;
  for (const auto& [instance, member] : this->members) {
    domain_peers += this->IsDomainPeer(member) ? 1 : 0;
    silent +=
        this->IsDomainPeer(member) && this->IsUnavailable(member, now) ? 1 : 0;
  }
  return 2 * silent > domain_peers;
}

std::vector<std::string> MemberDirectory::AddressesFor(
    const FailureDomain& domain,
    RandomSource& random,
    TimePoint now) const {
  const bool trust_silence = !this->MostAreSilent(now);
  std::vector<std::string> domain_peers;
  std::vector<std::string> all;
  for (const auto& [instance, member] : this->members) {
    const bool left = this->leaving && instance.Value() == this->self.instance;
    const bool silent = trust_silence && this->IsUnavailable(member, now);
    if (left || silent || !IsServing(member)) {
      continue;
    }
    all.push_back(member.caller_address);
    if (member.failure_domain == domain.Value()) {
      domain_peers.push_back(member.caller_address);
    }
  }
  std::vector<std::string>& chosen =
      domain_peers.size() >= kMinDomainEntries ? domain_peers : all;
  if (chosen.size() > kMaxAddresses) {
    for (std::size_t i = 0; i < kMaxAddresses; ++i) {
      std::swap(chosen[i], chosen[i + random.Below(chosen.size() - i)]);
    }
    chosen.resize(kMaxAddresses);
  }
  return chosen;
}

}  // namespace acacia
