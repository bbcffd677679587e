#include "src/caller_authentication.h"

#include <catch2/catch.hpp>

namespace acacia {
namespace {

struct AuthenticationFixture {
  AuthenticationFixture() {
    auto table = std::make_shared<AccountTable>();
    table->Add({AccountId("anna")}, {"k1"});
    this->configuration.keyed_accounts = table;
  }

  // The caller's account, "" for none, or the name of the error.
  std::string Result(const std::vector<std::string_view>& authorization,
                     bool anonymous = false,
                     ConfigurationAge age = ConfigurationAge::kNewestKnown) {
    Route route;
    route.anonymous = anonymous;
    const auto account =
        AuthenticateCaller(authorization, route, this->configuration, age);
    if (!account) {
      return std::string(AnswerFor(account.error()).name);
    }
    return *account == nullptr ? "" : (*account)->id.Value();
  }

  Configuration configuration;
};

// Guards KEYS: a known key that is written differently is refused, or an
// unknown one is accepted.
TEST_CASE("a request needs the key of an account") {
  AuthenticationFixture f;
  CHECK(f.Result({"Bearer k1"}) == "anna");
  CHECK(f.Result({"bEARER \t k1 "}) == "anna");
  for (const std::string_view wrong :
       {"", "k1", "Bearer", "Bearer ", "Bearer k", "Bearer K1", "Basic k1",
        "Bearer k1, Bearer k1", "Bearerk1"}) {
    INFO(wrong);
    CHECK(f.Result({wrong}) == "unknown_key");
  }
  CHECK(f.Result({}) == "unknown_key");
}

// Guards KEYS: another reader of the head may choose the other header.
TEST_CASE("several Authorization headers are refused") {
  AuthenticationFixture f;
  CHECK(f.Result({"Bearer k1", "Bearer k1"}) == "bad_request");
  CHECK(f.Result({"Basic x", "Bearer k1"}, true) == "bad_request");
}

TEST_CASE("anonymous routes and configurations without accounts need no key") {
  AuthenticationFixture f;
  CHECK(f.Result({}, true).empty());
  CHECK(f.Result({"Bearer unknown"}, true).empty());
  CHECK(f.Result({"Bearer k1"}, true).empty());
  f.configuration.keyed_accounts = nullptr;
  CHECK(f.Result({}).empty());
  CHECK(f.Result({"Bearer unknown", "Basic x"}).empty());
}

// Guards KEYS: a caller was told that a key is unknown that had just been
// added.
TEST_CASE("an entry with an outdated configuration calls no key unknown") {
  AuthenticationFixture f;
  const auto age = ConfigurationAge::kOutdated;
  CHECK(f.Result({"Bearer new"}, false, age) == "configuration_outdated");
  CHECK(f.Result({}, false, age) == "configuration_outdated");
  CHECK(f.Result({"Bearer k1"}, false, age) == "anna");
  CHECK(f.Result({}, true, age).empty());
}

TEST_CASE("headers that may hold a key are told from others") {
  CHECK(HoldsKey("bearer x"));
  CHECK(HoldsKey("BEARER"));
  CHECK(HoldsKey("Bearer\tx"));
  CHECK_FALSE(HoldsKey("Basic x"));
  CHECK_FALSE(HoldsKey("Bearerx"));
  CHECK_FALSE(HoldsKey(""));
}

}  // namespace
}  // namespace acacia
