#include "src/settings.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <map>

namespace acacia {
namespace {

std::string WriteTemporary(const std::string& text) {
  // The name contains the process id, because CTest runs each case in a process
  // of its own, several at a time.
  const std::string file = std::string(ACACIA_BINARY_DIR) + "/settings_test_" +
                           std::to_string(getpid()) + ".json";
  std::ofstream(file) << text;
  return file;
}

TEST_CASE("settings with comments and trailing commas are read") {
  const std::string file = WriteTemporary(R"({
    // where the stand-in listens
    "listen": "127.0.0.1:0", /* any port */
    "list_lag_ms": 5,
  })");
  const auto settings = ReadPlatformStandinSettings(file);
  REQUIRE(settings);
  CHECK(settings->list_lag_ms == 5);
}

TEST_CASE("every unknown field is named with its line and the known ones") {
  const std::string file = WriteTemporary(
      "{\n\"listen\": \"127.0.0.1:0\",\n\"lagg\": 5,\n\"sed\": 1\n}");
  const auto settings = ReadPlatformStandinSettings(file);
  REQUIRE_FALSE(settings);
  const std::string text = DescribeAll(settings.error());
  CHECK(text.find(":3: lagg: unknown field (known fields: list") !=
        std::string::npos);
  CHECK(text.find(":4: sed: unknown field") != std::string::npos);
}

TEST_CASE(
    "a missing required field, a wrong type and a bad address are reported") {
  const auto missing = ReadPlatformStandinSettings(WriteTemporary("{}"));
  REQUIRE_FALSE(missing);
  CHECK(DescribeAll(missing.error()).find("listen") != std::string::npos);
  const auto type = ReadPlatformStandinSettings(
      WriteTemporary("{\"listen\":\"127.0.0.1:0\",\n\"seed\": []}"));
  REQUIRE_FALSE(type);
  CHECK(type.error()[0].line == 2);
  const auto address =
      ReadPlatformStandinSettings(WriteTemporary("{\"listen\":\"localhost\"}"));
  REQUIRE_FALSE(address);
  CHECK(address.error()[0].field == "listen");
}

TEST_CASE(
    "every mistaken value of the agent's settings is reported with its line") {
  const auto settings = ReadAgentSettings(WriteTemporary(R"({
    "instance": "an instance",
    "failure_domain": "a",
    "peer_listen": "0.0.0.0:1",
    "entry_listen": "10.0.0.1:2",
    "caller_advertise": "caller:3",
    "operator_listen": "127.0.0.1",
    "tick_ms": 0,
    "seed_peers": ["10.0.0.2:1", "x"],
  })"));
  REQUIRE_FALSE(settings);
  std::string mistakes;
  for (const UserError& error : settings.error()) {
    mistakes += std::to_string(error.line) + " " + error.field + "\n";
  }
  CHECK(mistakes ==
        "1 platform_address\n2 instance\n5 entry_listen\n"
        "6 caller_advertise\n7 operator_listen\n8 tick_ms\n"
        "9 seed_peers[1]\n");
}

TEST_CASE("an entry has an agent or a host platform, and not both") {
  const std::string common = R"({"instance":"i","failure_domain":"a",
    "caller_listen":"127.0.0.1:0","operator_listen":"127.0.0.1:0")";
  const std::string host = R"("host_platform":{"store_address":"10.0.0.1:1",
    "lookup_listen":"127.0.0.1:0","ready_listen":"127.0.0.1:0",
    "peer_listen":"127.0.0.1:0","grace_s":6.5)";
  const std::string agent = R"("agent_address":"127.0.0.1:1")";
  const auto read = [](const std::string& text) {
    return ReadEntrySettings(WriteTemporary(text));
  };
  CHECK_FALSE(read(common + "}"));
  CHECK(read(common + "," + agent + "}"));
  CHECK_FALSE(read(common + "," + agent + "," + host + "}}"));
  const auto settings = read(common + "," + host + "}}");
  REQUIRE(settings);
  CHECK(settings->host_platform->grace_s == 6.5);
  CHECK_FALSE(read(common + "," + host + R"(,"floor_share":1.5}})"));
  CHECK_FALSE(read(common + "," + host + R"(,"floor_share":"most"}})"));
  CHECK_FALSE(read(common + "," + host + R"(,"retry_budget_window_s":0}})"));
  CHECK(settings->host_platform->hedge_percent == 0);
  CHECK(read(common + "," + host + R"(,"hedge_percent":2.5}})"));
  CHECK_FALSE(read(common + "," + host + R"(,"hedge_percent":-1}})"));
  CHECK_FALSE(read(common + "," + host + R"(,"hedge_percent":101}})"));
}

TEST_CASE("the environment gives the limits that the settings leave open") {
  std::map<std::string, std::string> variables;
  const auto get = [&](const char* name) -> const char* {
    const auto found = variables.find(name);
    return found == variables.end() ? nullptr : found->second.c_str();
  };
  schema::EntrySettingsT settings;
  REQUIRE(ApplyEnvironment(get, settings));
  CHECK(settings.memory_mb == kDefaultMemoryMb);
  CHECK(settings.max_descriptors == 0);
  settings.memory_mb = 0;
  variables = {{"ACACIA_MEMORY_MB", "160"}, {"ACACIA_MAX_DESCRIPTORS", "4100"}};
  REQUIRE(ApplyEnvironment(get, settings));
  CHECK(settings.memory_mb == 160);
  CHECK(settings.max_descriptors == 4100);
  variables = {{"ACACIA_MEMORY_MB", "512"}};
  REQUIRE(ApplyEnvironment(get, settings));
  CHECK(settings.memory_mb == 160);
  // A platform that fills in no value leaves the variable empty.
  variables = {{"ACACIA_MEMORY_MB", ""}, {"ACACIA_MAX_DESCRIPTORS", ""}};
  schema::EntrySettingsT unlimited;
  REQUIRE(ApplyEnvironment(get, unlimited));
  CHECK(unlimited.memory_mb == kDefaultMemoryMb);
  CHECK(unlimited.max_descriptors == 0);
  for (const std::string odd : {"0", "-1", "1.5", "160 MB", "99999999999"}) {
    INFO(odd);
    variables = {{"ACACIA_MEMORY_MB", odd}, {"ACACIA_MAX_DESCRIPTORS", odd}};
    schema::EntrySettingsT fresh;
    const auto applied = ApplyEnvironment(get, fresh);
    REQUIRE_FALSE(applied);
    CHECK(applied.error().size() == 2);
  }
}

TEST_CASE(
    "a settings file that ends too early is waited for, but not forever") {
  const std::string file = WriteTemporary(R"({"instance": "e1", "fail)");
  int pauses = 0;
  ReadEntrySettings(file, [&](Duration) {
    if (++pauses == 3) {
      WriteTemporary(R"({"instance": "e1"})");
    }
  });
  CHECK(pauses == 3);
  ReadEntrySettings(file, [&](Duration) { ++pauses; });
  CHECK(pauses == 3);
  WriteTemporary("");
  Duration waited{};
  ReadEntrySettings(file, [&](Duration pause) { waited += pause; });
  CHECK(waited == std::chrono::seconds(2));
}

TEST_CASE("a settings file with other mistakes is not waited for") {
  ReadEntrySettings(WriteTemporary(R"({"instance": e1})"),
                    [](Duration) { FAIL("waited"); });
  ReadEntrySettings("missing.json", [](Duration) { FAIL("waited"); });
}

}  // namespace
}  // namespace acacia
