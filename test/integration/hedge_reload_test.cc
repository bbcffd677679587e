// Hedging in an acacia-entry process whose limit changes while it runs.
#include <atomic>
#include <fstream>
#include <sstream>

#include "test/host_entry.h"

namespace acacia {
namespace {

// The number of hedges with this outcome so far.
int CountHedges(const HostEntry& entry, const std::string& event) {
  const std::string name = "acacia_hedges_total{";
  std::istringstream lines(
      SendHttpRequest(entry.operators, "GET", "/metrics").body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name) &&
        line.find("event=\"" + event + "\"") != std::string::npos &&
        line.find("service=\"kehto\"") != std::string::npos) {
      return std::stoi(line.substr(line.rfind(' ')));
    }
  }
  return -1;
}

// Guards against a limit that takes effect only with the next configuration,
// and against a hedge whose answer does not reach the caller.
TEST_CASE("A reload of the settings turns hedging on and off") {
  std::atomic<bool> stall_next{false};
  HostEntry entry(
      [&](TextStream& stream, const std::string& request) {
        if (stall_next.exchange(false)) {
          std::this_thread::sleep_for(std::chrono::milliseconds(600));
        }
        return stream.Send(HostEntry::Answer(request));
      },
      "safe");
  std::stringstream settings;
  settings << std::ifstream(entry.SettingsFile()).rdbuf();
  const auto set_limit = [&](const std::string& percent) {
    std::string text = settings.str();
    text.insert(text.rfind("}}"), R"(, "hedge_percent": )" + percent);
    std::ofstream(entry.SettingsFile()) << text;
    entry.process->Signal(SIGHUP);
    const std::string line = " percent=" + percent;
    Await("the limit to change",
          [&] { return entry.process->Log().find(line) != std::string::npos; });
  };
  int requests = 0;
  const auto send = [&] {
    TextStream caller = entry.Connect();
    caller.Send(HostEntry::Head("r" + std::to_string(++requests), 2) + "hi");
    CHECK(StatusOf(caller.ReadMessage()) == 200);
  };
  entry.Start();
  entry.AwaitReady();
  send();
  CHECK(CountHedges(entry, "sent") == 0);

  // Each request earns one hedge; the slowest tenth is eligible.
  set_limit("100.000000");
  // More than the 90th percentile needs.
  for (int i = 0; i < 60; ++i) {
    send();
  }
  const int won = CountHedges(entry, "won");
  stall_next = true;
  const auto began = std::chrono::steady_clock::now();
  send();
  CHECK(std::chrono::steady_clock::now() - began <
        std::chrono::milliseconds(500));
  CHECK(CountHedges(entry, "won") == won + 1);

  set_limit("0.000000");
  const int sent = CountHedges(entry, "sent");
  stall_next = true;
  send();
  CHECK(CountHedges(entry, "sent") == sent);
}

}  // namespace
}  // namespace acacia
