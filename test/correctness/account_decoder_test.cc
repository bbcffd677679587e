// Tests the decoding of client accounts and the lookup of their keys.
#include "platform/account_decoder.h"

#include <catch2/catch.hpp>

#include "platform/configuration_decoder.h"

namespace acacia::platform {
namespace {

std::string WithAccounts(const std::string& resources) {
  return R"({"version":"r3","resources":[
    {"resourceKind":"services","metadata":{"name":"core"},"spec":{}},
    {"resourceKind":"routes","metadata":{"name":"pay"},"spec":{"host":"h",
     "prefix":"/","kind":"safe","service":"core"}},
    {"resourceKind":"routes","metadata":{"name":"open"},"spec":{"host":"h",
     "prefix":"/o/","kind":"safe","service":"core","anonymous":true}})" +
         resources + "]}";
}

std::string Account(const std::string& name, const std::string& spec) {
  return R"(,{"resourceKind":"tenants","metadata":{"name":")" + name +
         R"("},"spec":)" + spec + "}";
}

// Guards KEYS: a field of an account that is read wrongly lets strangers in,
// keeps callers out, or limits the wrong account.
TEST_CASE("client accounts are decoded and found by each of their keys") {
  const auto read = DecodeConfiguration(
      WithAccounts(Account("anna", R"({"apiKeys":["k1","k2"],"priority":2,
                                       "ratePerS":12.5,"burst":30})") +
                   Account("bert", R"({"apiKeys":["k3"],"priority":null})") +
                   Account("carl", R"({"apiKeys":[]})")),
      {});
  REQUIRE(read);
  REQUIRE(read->keyed_accounts);
  const AccountTable& table = *read->keyed_accounts;
  CHECK(table.Accounts().size() == 3);
  const ClientAccount* anna = table.Find("k2");
  REQUIRE(anna != nullptr);
  CHECK(anna == table.Find("k1"));
  CHECK(anna->id == AccountId("anna"));
  CHECK(anna->priority == 2U);
  CHECK(anna->requests_per_second == 12.5);
  CHECK(anna->burst == 30);
  const ClientAccount* bert = table.Find("k3");
  REQUIRE(bert != nullptr);
  CHECK_FALSE(bert->priority);
  CHECK(bert->requests_per_second == 0);
  CHECK(table.Find("k") == nullptr);
  CHECK(table.Find("") == nullptr);
  CHECK_FALSE(read->routes[0].anonymous);
  CHECK(read->routes[1].anonymous);
}

// Guards KEYS: without accounts no request may need a key.
TEST_CASE("a configuration without accounts has no table of them") {
  const auto read = DecodeConfiguration(WithAccounts(""), {});
  REQUIRE(read);
  CHECK(read->keyed_accounts == nullptr);
}

// Guards KEYS: a part of the accounts in force would refuse known keys. The
// error is logged, so it must not show a key.
TEST_CASE("a malformed account makes the configuration unreadable") {
  const std::string good = Account("anna", R"({"apiKeys":["secret"]})");
  for (const std::string& bad : {
           Account("", R"({"apiKeys":["secret-2"]})"),
           Account("a\\r\\nX: y", R"({"apiKeys":["secret-2"]})"),
           Account("anna", R"({"apiKeys":["secret-2"]})"),
           Account("bert", R"({"apiKeys":["secret"]})"),
           Account("bert", R"({"apiKeys":["secret-2",""]})"),
           Account("bert", R"({"apiKeys":["secret-2 "]})"),
           Account("bert", R"({"apiKeys":["secret-2",7]})"),
           Account("bert", R"({"apiKeys":"secret-2"})"),
           Account("bert", "{}"),
           Account("bert", R"({"apiKeys":["secret-2"],"priority":-1})"),
           Account("bert", R"({"apiKeys":["secret-2"],"priority":1.5})"),
           Account("bert", R"({"apiKeys":["secret-2"],"priority":4294967296})"),
           Account("bert", R"({"apiKeys":["secret-2"],"ratePerS":"9"})"),
           Account("bert", R"({"apiKeys":["secret-2"],"burst":-1})"),
           Account("bert", R"({"apiKeyDigests":["c2VjcmV0"]})"),
       }) {
    INFO(bad);
    const auto read = DecodeConfiguration(WithAccounts(good + bad), {});
    REQUIRE_FALSE(read);
    CHECK(read.error().find("account") != std::string::npos);
    CHECK(read.error().find("secret") == std::string::npos);
  }
}

TEST_CASE("a route whose anonymous is no boolean is refused") {
  std::string text = WithAccounts("");
  const std::string from = "\"anonymous\":true";
  text.replace(text.find(from), from.size(), "\"anonymous\":\"true\"");
  CHECK_FALSE(DecodeConfiguration(text, {}));
}

// Guards KEYS: entries that get the configuration from another entry must know
// the same keys, and that entry must not store them in plain text.
TEST_CASE("a configuration with hidden keys has the same accounts") {
  const auto hidden = HideKeys(WithAccounts(
      Account("anna", R"({"apiKeys":["secret-1","secret-2"],"priority":1})") +
      Account("bert", R"({"apiKeys":["secret-3"]})")));
  CHECK(hidden.find("secret") == std::string::npos);
  const auto read = DecodeConfiguration(hidden, {});
  REQUIRE(read);
  CHECK(read->routes.size() == 2);
  REQUIRE(read->keyed_accounts->Find("secret-2") != nullptr);
  CHECK(read->keyed_accounts->Find("secret-2")->priority == 1U);
  CHECK(read->keyed_accounts->Find("secret-3")->id == AccountId("bert"));
  CHECK(HideKeys(hidden) == hidden);
  CHECK(HideKeys("[").empty());
  // A number that is read as infinite, which JSON cannot express.
  CHECK(DecodeConfiguration(
      HideKeys(WithAccounts(Account("anna", R"({"apiKeys":[],"x":1e9999})"))),
      {}));
}

}  // namespace
}  // namespace acacia::platform
