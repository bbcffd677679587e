#include "src/peer_messages.h"

#include <memory>

#include "src/flat_table.h"

namespace acacia {
std::string SerializeMember(const schema::MemberUpdateT& member) {
  return PackTable<schema::MemberUpdate>(member);
}

std::optional<schema::MemberUpdateT> ParseMember(const std::string& bytes) {
  return UnpackTable<schema::MemberUpdate>(bytes);
}

std::string SerializeShare(
    const std::string& instance,
    const KnownRows& known,
    const std::vector<schema::BackendEvidenceT>& evidence) {
  schema::OutcomeShareT share;
  share.instance = instance;
  share.configuration_row = known.configuration.Value();
  share.registrations_row = known.registrations.Value();
  share.members_row = known.members.Value();
  for (const schema::BackendEvidenceT& each : evidence) {
    share.outcomes.push_back(std::make_unique<schema::BackendEvidenceT>(each));
  }
  return PackTable<schema::OutcomeShare>(share);
}

std::optional<schema::OutcomeShareT> ParseShare(const std::string& bytes) {
  return UnpackTable<schema::OutcomeShare>(bytes);
}

}  // namespace acacia
