// What entries on a host platform tell each other and write about themselves,
// as FlatBuffers of schema/peer.fbs.
#ifndef SRC_PEER_MESSAGES_H_
#define SRC_PEER_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "src/generated/peer_generated.h"
#include "src/ids.h"

namespace acacia {

// The newest row that an entry knows of each table.
struct KnownRows {
  RowVersion configuration;
  RowVersion registrations;
  RowVersion members;
};

std::string SerializeMember(const schema::MemberUpdateT& member);
// Nothing when the bytes are no member.
std::optional<schema::MemberUpdateT> ParseMember(const std::string& bytes);

std::string SerializeShare(
    const std::string& instance,
    const KnownRows& known,
    const std::vector<schema::BackendEvidenceT>& evidence);
// Nothing when the bytes are no share of outcomes.
std::optional<schema::OutcomeShareT> ParseShare(const std::string& bytes);

}  // namespace acacia

#endif  // SRC_PEER_MESSAGES_H_
