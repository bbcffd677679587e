#include "src/key_claims.h"

#include <optional>
#include <utility>

#include "src/content_hash.h"
#include "src/flat_table.h"
#include "src/generated/peer_generated.h"

namespace acacia {
namespace {

constexpr int kTries = 3;
constexpr Duration kPatience = std::chrono::seconds(5);

void Answer(std::uint64_t request,
            bool known,
            bool granted,
            AgentActions& actions) {
  schema::KeyClaimReplyT reply;
  reply.request = request;
  reply.known = known;
  reply.granted = granted;
  actions.push_back(AnswerKeyClaim{reply});
}

// Lengths keep ("a", "bc") and ("ab", "c") apart.
std::string RowKey(const schema::KeyClaimT& claim) {
  const std::string text =
      std::to_string(claim.account.size()) + ":" + claim.account + claim.key;
  return "key/" + claim.service + "/" + HashContent(text).Value();
}

}  // namespace

KeyClaims::KeyClaims(std::string owner, OperationIds& operations)
    : owner(std::move(owner)), operations(operations) {}

void KeyClaims::OnClaim(const schema::KeyClaimT& claim,
                        TimePoint now,
                        AgentActions& actions) {
  Claim state;
  state.request = claim.request;
  state.row_key = RowKey(claim);
  state.write_id = this->owner + "/" + std::to_string(++this->count);
  state.started = now;
  state.tries_left = kTries;
  this->Write(state, actions);
}

void KeyClaims::Write(const Claim& claim, AgentActions& actions) {
  const OperationId operation = this->operations.Take();
  schema::KeyClaimRowT row;
  row.write_id = claim.write_id;
  this->claims.emplace(operation, claim);
  actions.push_back(WriteRow{operation, claim.row_key, RowVersion(),
                             PackTable<schema::KeyClaimRow>(row)});
}

void KeyClaims::Read(const Claim& claim, AgentActions& actions) {
  const OperationId operation = this->operations.Take();
  this->claims.emplace(operation, claim);
  actions.push_back(ReadRow{operation, claim.row_key});
}

bool KeyClaims::OnRowWritten(OperationId operation,
                             const WriteResult& result,
                             AgentActions& actions) {
  const auto found = this->claims.find(operation);
  if (found == this->claims.end()) {
    return false;
  }
  const Claim claim = std::move(found->second);
  this->claims.erase(found);
  if (result) {
    Answer(claim.request, true, true, actions);
  } else if (result.error() == PlatformError::kUnavailable) {
    Answer(claim.request, false, false, actions);
  } else {
    this->Read(claim, actions);
  }
  return true;
}

bool KeyClaims::OnRowRead(OperationId operation,
                          const RowResult& result,
                          AgentActions& actions) {
  const auto found = this->claims.find(operation);
  if (found == this->claims.end()) {
    return false;
  }
  Claim claim = std::move(found->second);
  this->claims.erase(found);
  if (!result || --claim.tries_left < 0) {
    Answer(claim.request, false, false, actions);
    return true;
  }
  if (result->version == RowVersion()) {
    this->Write(claim, actions);
    return true;
  }
  const auto row = UnpackTable<schema::KeyClaimRow>(result->value);
  const bool ours = row && row->write_id == claim.write_id;
  Answer(claim.request, true, ours, actions);
  return true;
}

void KeyClaims::OnTick(TimePoint now, AgentActions& actions) {
  for (auto claim = this->claims.begin(); claim != this->claims.end();) {
    if (now - claim->second.started < kPatience) {
      ++claim;
      continue;
    }
    Answer(claim->second.request, false, false, actions);
    claim = this->claims.erase(claim);
  }
}

}  // namespace acacia
