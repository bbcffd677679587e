// Mutates the bytes of valid file sets. Each result must be read as a file set
// or refused with a clear error, without a crash and with bounded memory.
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

#include "src/configuration.h"
#include "src/file_set.h"
#include "src/json_lines.h"
#include "src/router.h"

namespace acacia {
namespace {

constexpr int kRounds = 3000;
constexpr std::size_t kMaxErrorBytes = 2000;

std::string ReadFile(const std::string& name) {
  std::ifstream in(std::string(ACACIA_SOURCE_DIR) + "/" + name);
  return {std::istreambuf_iterator<char>(in), {}};
}

// A fragment that is likely to reach corner cases of a parser.
std::string SyntaxFragment(std::mt19937& random) {
  static const std::vector<std::string> fragments{"{",
                                                  "}",
                                                  "[",
                                                  "]",
                                                  ",",
                                                  ":",
                                                  "\"",
                                                  "\\",
                                                  "\\u0000",
                                                  "\\ud800",
                                                  "/*",
                                                  "*/",
                                                  "//",
                                                  "-1",
                                                  "1e999",
                                                  "18446744073709551616",
                                                  "0x10",
                                                  "NaN",
                                                  "null",
                                                  "true",
                                                  std::string(1, '\0'),
                                                  "\xff",
                                                  "\xc3",
                                                  "\r",
                                                  "\n",
                                                  "\"name\"",
                                                  "\"services\"",
                                                  "\"routes\": [",
                                                  "\"service\": \"\""};
  return fragments[random() % fragments.size()];
}

std::string Mutate(std::string text, std::mt19937& random) {
  const int changes = 1 + static_cast<int>(random() % 4);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    switch (random() % 5) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, 1 + random() % 20);
        break;
      case 2:
        text.insert(at, SyntaxFragment(random));
        break;
      case 3:
        text.insert(at, text.substr(random() % text.size(), random() % 100));
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

// Checks that every error can be shown on one short line that names the file.
void CheckErrors(const UserErrors& errors) {
  CHECK_FALSE(errors.empty());
  for (const UserError& error : errors) {
    const std::string line = error.Describe();
    if (error.file.empty() || error.message.empty() ||
        line.size() > kMaxErrorBytes || line.find('\n') != std::string::npos) {
      FAIL("unclear error: " << line.substr(0, kMaxErrorBytes));
    }
  }
}

TEST_CASE("mutated file sets are read or refused with clear errors") {
  const std::string services = ReadFile("tutorial/kehto_uniikki/services.json");
  const std::string routes = ReadFile("tutorial/kehto_uniikki/routes.json");
  REQUIRE(ParseFileSet({{"s", services}, {"r", routes}}));
  std::mt19937 random(20241204);
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    const bool first = random() % 2 == 0;
    const auto set =
        ParseFileSet({{"s", first ? Mutate(services, random) : services},
                      {"r", first ? routes : Mutate(routes, random)}});
    if (!set) {
      CheckErrors(set.error());
      continue;
    }
    ++accepted;
    // A configuration and a router can be built from what was accepted.
    const Configuration built = BuildConfiguration(*set, Generation(1));
    const Router router(built);
    const auto route = router.Find("kehto.example", "/bookings/1", "POST");
    CHECK((!route || built.services.contains((*route)->service)));
  }
  // Changes to comments and to optional parts can be harmless, others are not.
  CHECK(accepted > 0);
  CHECK(accepted < kRounds);
}

TEST_CASE("deep, long and huge JSON is refused without a crash") {
  const std::string open = "{\"services\": ";
  const std::vector<std::string> texts{
      std::string(1000000, '['),
      open + std::string(1000000, '['),
      open + std::string(100, '[') + std::string(100, ']') + "}",
      "{\"services\": [{\"name\": \"" + std::string(1000000, 'x') + "\"}]}",
      "{\"" + std::string(1000000, 'k') + "\": 1}",
      "{\"services\": [" + std::string(1000000, '1') + "]}",
      "{\"services\": [{\"floor_percent\": 1" + std::string(400, '0') + "}]}",
      "{\"services\": [{\"floor_percent\": 5.5}]}",
      "/*" + std::string(1000000, '*'),
      std::string(1000000, '\n'),
      std::string("\xef\xbb\xbf{}"),
  };
  for (const std::string& text : texts) {
    INFO(text.substr(0, 40));
    const auto set = ParseFileSet({{"f", text}});
    REQUIRE_FALSE(set);
    CheckErrors(set.error());
  }
}

TEST_CASE("a list of a hundred thousand mistakes stays bounded") {
  std::string text = "{\"services\": [";
  for (int i = 0; i < 100000; ++i) {
    text += "7,\n";
  }
  const auto set = ParseFileSet({{"f", text + "]}"}});
  REQUIRE_FALSE(set);
  CHECK(set.error().size() < 10000);
}

TEST_CASE("line numbers match those of an editor") {
  const JsonLines lines("f",
                        "{ // one\n\"a\": [1,\n2, /* x\n */ {\"b\": 3}\n]}");
  CHECK_FALSE(lines.HasSyntaxError());
  CHECK(lines.LineOf("a") == 2);
  CHECK(lines.LineOf("a[0]") == 2);
  CHECK(lines.LineOf("a[1]") == 3);
  CHECK(lines.LineOf("a[2].b") == 4);
  CHECK(lines.LineOf("a[2].missing") == 4);
  CHECK(lines.LineOf("missing") == 1);
  const JsonLines twice("f", "{\"a\": 1,\n\"a\": 2}");
  REQUIRE(twice.Errors().size() == 1);
  CHECK(twice.Errors()[0].line == 2);
}

}  // namespace
}  // namespace acacia
