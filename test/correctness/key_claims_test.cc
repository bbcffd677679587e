#include "src/key_claims.h"

#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

schema::KeyClaimReplyT Claim(FakePlatform& platform,
                             const std::string& owner,
                             const std::string& key) {
  OperationIds operations;
  KeyClaims claims(owner, operations);
  schema::KeyClaimT claim;
  claim.request = 7;
  claim.service = "kehto";
  claim.key = key;
  AgentActions actions;
  claims.OnClaim(claim, TimePoint(), actions);
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const AgentAction action = actions[i];
    if (const auto* read = std::get_if<ReadRow>(&action)) {
      claims.OnRowRead(read->operation, platform.Read(read->key), actions);
    } else if (const auto* write = std::get_if<WriteRow>(&action)) {
      claims.OnRowWritten(write->operation, platform.Write(*write), actions);
    }
  }
  return std::get<AnswerKeyClaim>(actions.back()).reply;
}

TEST_CASE("a key is granted once") {
  FakePlatform platform;
  CHECK(Claim(platform, "a", "k").granted);
  const auto second = Claim(platform, "b", "k");
  CHECK(second.known);
  CHECK_FALSE(second.granted);
  CHECK(Claim(platform, "b", "other").granted);
}

TEST_CASE(
    "after a lost reply the key belongs to the claim that wrote the row") {
  FakePlatform platform;
  platform.lose_replies = 1;
  CHECK(Claim(platform, "a", "k").granted);
  CHECK_FALSE(Claim(platform, "b", "k").granted);
}

TEST_CASE("without the platform a key is not known") {
  FakePlatform platform;
  platform.outage = true;
  CHECK_FALSE(Claim(platform, "a", "k").known);
}

}  // namespace
}  // namespace acacia
