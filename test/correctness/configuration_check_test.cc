// Tests the check of a configuration before it is sent, from the platform's
// form to the findings and changes.
#include "src/configuration_check.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "platform/configuration_draft_reader.h"
#include "src/check_config.h"
#include "src/configuration_diff.h"
#include "src/ctl_exit_code.h"

namespace acacia {
namespace {

std::string Resource(const std::string& kind,
                     const std::string& name,
                     const std::string& spec) {
  return R"({"resourceKind":")" + kind + R"(","metadata":{"name":")" + name +
         R"("},"spec":{)" + spec + "}}";
}

std::string Route(const std::string& name,
                  const std::string& prefix,
                  const std::string& more = R"("service":"kehto")") {
  return Resource(
      "routes", name,
      R"("host":"h","kind":"safe","prefix":")" + prefix + "\"," + more);
}

std::string Service(const std::string& name) {
  return Resource("services", name, R"("maxConns":300)");
}

std::string Whole(const std::vector<std::string>& resources,
                  const std::string& version = "r7") {
  std::string text;
  for (const std::string& resource : resources) {
    text += (text.empty() ? "" : ",") + resource;
  }
  return R"({"version":")" + version + R"(","resources":[)" + text + "]}";
}

// Returns "error RESOURCE: MESSAGE" or "warning ...", sorted.
std::vector<std::string> Check(const std::string& text) {
  std::vector<std::string> lines;
  for (const Finding& finding :
       CheckConfiguration(platform::ReadConfigurationDraft(text))) {
    lines.push_back(
        (finding.severity == FindingSeverity::kError ? "error " : "warning ") +
        finding.resource + ": " + finding.message);
  }
  std::sort(lines.begin(), lines.end());
  return lines;
}

using Lines = std::vector<std::string>;

TEST_CASE("a configuration without mistakes has no findings") {
  CHECK(
      Check(Whole({Service("kehto"), Service("uniikki"),
                   Route("a", "/a/",
                         R"("timeoutS":2,"targetLatencyS":1,"maxAttempts":2,
                      "trafficSplit":[{"service":"kehto","weight":1},
                                      {"service":"uniikki","weight":9}])"),
                   Route("b", "/a/b"),
                   Resource("tenants", "t",
                            R"("apiKeys":["k1","k2"],"ratePerS":5,"burst":9)"),
                   Resource("limits", "",
                            R"("maxBodyBytes":9,"headerTimeoutS":3,
                         "idleTimeoutS":15)")})) == Lines{});
}

// Guards against a check that stops at the first error.
TEST_CASE("all errors are found at once, each with its resource") {
  CHECK(
      Check(Whole({Service("kehto"), Service("kehto"), Route("a", "/a/"),
                   Route("b", "/b/", R"("service":"missing")"),
                   Route("c", "/c/", R"("trafficSplit":7)"), Route("a", "/d/"),
                   R"({"resourceKind":"routes","metadata":{"name":"e"}})",
                   Resource("routes", "f", R"("service":"kehto")"),
                   Resource("tenants", "t", R"("apiKeys":["k1"])"),
                   Resource("tenants", "u", R"("apiKeys":["k2","k1"])")},
                  "7")) ==
      Lines{"error : its version is missing or malformed",
            "error account u: has a key that account t holds as well",
            "error route a: its name is used more than once",
            "error route b: names the unknown service missing",
            "error route c: trafficSplit is not a list",
            "error route e: has no spec",
            "error route f: lacks its host, prefix or kind",
            "error service kehto: its name is used more than once"});
  for (const std::string& text : Lines{"", "[]", "{"}) {
    CHECK(Check(text) == Lines{"error : is not a JSON object"});
  }
  CHECK(Check(R"({"version":"r1"})") ==
        Lines{"error : has no list of resources"});
}

TEST_CASE("entries that can never match are found") {
  CHECK(Check(Whole({Service("kehto"), Service("idle"), Route("a", "/a/"),
                     Resource("routes", "b",
                              R"("host":"H:80","kind":"safe","prefix":"/a/",
                         "service":"kehto")"),
                     Route("c", "c/"), Route("d", "/d?e"),
                     Route("e", "/e",
                           R"("service":"idle","trafficSplit":[
                      {"service":"kehto","weight":1},
                      {"service":"idle","weight":0}])"),
                     Resource("tenants", "t", R"("apiKeys":[],"ratePerS":5)"),
                     Resource("new", "n", "")})) ==
        Lines{"warning account t: has no keys: no request is its own",
              "warning new n: its kind is unknown and is ignored",
              "warning route b: can never match: route a has the same host "
              "and prefix",
              "warning route c: can never match: its prefix \"c/\" does not "
              "begin with a slash",
              "warning route d: can never match: its prefix \"/d?e\" has a "
              "character that no path has",
              "warning route e: its part for service idle has weight 0 and "
              "gets no requests",
              "warning route e: its service idle gets no requests beside the "
              "split",
              "warning service idle: no route uses it"});
}

// Guards against limits that entries ignore without a word.
TEST_CASE("numbers that cannot be read are found") {
  CHECK(Check(Whole({Service("kehto"),
                     Route("a", "/a", R"("service":"kehto","timeoutS":"2",
                                         "maxAttempts":-1)"),
                     Resource("limits", "", R"("maxBodyBytes":1.5)")})) ==
        Lines{"warning limits: its maxBodyBytes is no valid number and is "
              "ignored",
              "warning route a: its maxAttempts is no valid number and is "
              "ignored",
              "warning route a: its timeoutS is no valid number and is "
              "ignored"});
}

TEST_CASE("limits that contradict each other are found") {
  CHECK(Check(Whole(
            {Service("kehto"),
             Route("a", "/a", R"("service":"kehto","anonymous":true,
                                 "timeoutS":1,"targetLatencyS":2,
                                 "maxAttempts":0)"),
             Route("b", "/b",
                   R"("service":"kehto","anonymous":true,"timeoutS":0)"),
             Route("c", "/c",
                   R"("service":"kehto","anonymous":true,"targetLatencyS":9)"),
             Resource("tenants", "t", R"("apiKeys":["k"],"burst":3)"),
             Resource("tenants", "u",
                      R"("apiKeys":["l"],"burst":3,"ratePerS":0)"),
             Resource("limits", "",
                      R"("maxBodyBytes":0,"headerTimeoutS":6,
                         "idleTimeoutS":5)")})) ==
        Lines{"warning : has accounts, and all routes are anonymous",
              "warning account t: has a burst without a rate: no limit",
              "warning account u: has a burst and a rate of 0, which means no "
              "limit",
              "warning limits: the body limit is 0: no request may have a "
              "body",
              "warning limits: the header timeout is above the idle timeout",
              "warning route a: allows 0 attempts, which is read as no limit",
              "warning route a: its target latency is above its timeout",
              "warning route b: its timeout is 0: no request is in time",
              "warning route c: its target latency is above its timeout"});
}

std::string WriteFile(const std::string& name, const std::string& text) {
  const std::string file = std::string(ACACIA_BINARY_DIR) + "/" + name;
  std::ofstream(file) << text;
  return file;
}

// Guards against keys in the output, and against a version that entries would
// ignore because it is not newer.
TEST_CASE("what differs from the version in force is shown by field") {
  const std::string in_force = WriteFile(
      "check_in_force.json",
      Whole({Service("kehto"), Route("a", "/a", R"("service":"kehto")"),
             Route("gone", "/g"),
             Resource("tenants", "t", R"("apiKeys":["secret1","secret2"])")}));
  const std::vector<std::string> next{
      Service("kehto"), Route("a", "/a", R"("service":"kehto","timeoutS":2.5)"),
      Route("new", "/n"),
      Resource("tenants", "t",
               R"("apiKeys":["secret2","secret3"],"ratePerS":4)")};
  const auto run = [&](const std::string& version, int expected) {
    std::ostringstream out;
    CHECK(CheckConfig(
              {WriteFile("check_next.json", Whole(next, version)), in_force},
              platform::ReadConfigurationDraft, out, out) == expected);
    return out.str();
  };
  CHECK(run("r8", kCtlAccepted) ==
        "changed: account t: ratePerS: (none) -> 4\n"
        "changed: account t: keys: 2 -> 2 (1 added, 1 removed)\n"
        "changed: route a: timeoutS: (none) -> 2.5\n"
        "removed: route gone\n"
        "added: route new\n"
        "no errors: 1 services, 2 routes, 1 accounts\n");
  const std::string same = run("r7", kCtlRefused);
  CHECK(
      same.starts_with("error: the configuration: its version 7 is not newer "
                       "than version 7 in force\n"));
  CHECK(same.find("secret") == std::string::npos);
  std::ostringstream out;
  CHECK(CheckConfig({"/nonexistent", ""}, platform::ReadConfigurationDraft, out,
                    out) == kCtlMistake);
}

}  // namespace
}  // namespace acacia
