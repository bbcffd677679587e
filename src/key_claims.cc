#include "src/key_claims.h"

#include <optional>
#include <utility>

#include "src/content_hash.h"
#include "src/flat_table.h"
#include "src/generated/peer_generated.h"

namespace acacia {
namespace {

constexpr int kMaxReadsPerClaim = 3;
constexpr Duration kClaimTimeout = std::chrono::seconds(5);

void PushReply(std::uint64_t request,
               bool known,
               bool granted,
               AgentActions& actions) {
  schema::KeyClaimReplyT reply;
  reply.request = request;
  reply.known = known;
  reply.granted = granted;
  actions.push_back(AnswerKeyClaim{reply});
}

// The length prefix distinguishes ("a", "bc") from ("ab", "c").
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
  Claim new_claim;
  new_claim.request = claim.request;
  new_claim.row_key = RowKey(claim);
  new_claim.write_id = this->owner + "/" + std::to_string(++this->write_count);
  new_claim.started = now;
  new_claim.reads_left = kMaxReadsPerClaim;
  this->Write(new_claim, actions);
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
    PushReply(claim.request, true, true, actions);
  } else if (result.error() == PlatformError::kUnavailable) {
    PushReply(claim.request, false, false, actions);
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
  if (!result || --claim.reads_left < 0) {
    PushReply(claim.request, false, false, actions);
    return true;
  }
  if (result->version == RowVersion()) {
    this->Write(claim, actions);
    return true;
  }
  const auto row = UnpackTable<schema::KeyClaimRow>(result->value);
  const bool is_own_write = row && row->write_id == claim.write_id;
  PushReply(claim.request, true, is_own_write, actions);
  return true;
}

void KeyClaims::OnTick(TimePoint now, AgentActions& actions) {
  for (auto claim = this->claims.begin(); claim != this->claims.end();) {
    if (now - claim->second.started < kClaimTimeout) {
      ++claim;
      continue;
    }
    PushReply(claim->second.request, false, false, actions);
    claim = this->claims.erase(claim);
  }
}

}  // namespace acacia
