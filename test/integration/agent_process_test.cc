// Runs acacia-agent as a real process beside a scripted platform.
#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

#include "test/endless_answers.h"
#include "test/process_fleet.h"

namespace acacia {
namespace {

// Guards FAULT: answers of the platform were kept up to 64 MB each.
TEST_CASE("Endless answers of the platform stay within the agent's memory") {
  constexpr std::size_t kMemoryMb = 128;
  constexpr int kAnswers = 8;
  EndlessAnswers answers;
  ThreadedListener platform([&answers](TextStream& stream) {
    stream.ReadMessage();
    answers.Send(stream);
  });
  FreeAddresses addresses;
  std::string pattern = std::filesystem::temp_directory_path() / "agent-XXXXXX";
  const std::string folder = mkdtemp(pattern.data());
  std::string settings = R"({"instance": "a1", "failure_domain": "a",)"
                         R"("region": "r", "platform_address": ")" +
                         platform.Address() + "\"";
  for (const std::string name :
       {"peer_listen", "entry_listen", "caller_advertise", "operator_listen"}) {
    settings += ", \"" + name + "\": \"" + addresses.Take() + "\"";
  }
  Process agent(folder, "agent", "acacia-agent", settings + "}");
  Await("endless answers",
        [&] { return agent.HasEnded() || answers.Cut() >= kAnswers; });
  CHECK_FALSE(agent.HasEnded());
  CHECK(agent.PeakMemoryMb() < kMemoryMb);
  answers.Stop();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace acacia
