#include "src/peer_messages.h"

#include <flatbuffers/flatbuffers.h>

#include <memory>

namespace acacia {
namespace {

template <typename Table>
std::string Serialize(const typename Table::NativeTableType& value) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &value));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

template <typename Table>
std::optional<typename Table::NativeTableType> Parse(const std::string& bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return std::nullopt;
  }
  typename Table::NativeTableType value;
  flatbuffers::GetRoot<Table>(data)->UnPackTo(&value);
  return value;
}

}  // namespace

std::string SerializeMember(const schema::MemberUpdateT& member) {
  return Serialize<schema::MemberUpdate>(member);
}

std::optional<schema::MemberUpdateT> ParseMember(const std::string& bytes) {
  return Parse<schema::MemberUpdate>(bytes);
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
  return Serialize<schema::OutcomeShare>(share);
}

std::optional<schema::OutcomeShareT> ParseShare(const std::string& bytes) {
  return Parse<schema::OutcomeShare>(bytes);
}

}  // namespace acacia
