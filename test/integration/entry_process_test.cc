// The acacia-entry process on the host platform: its signals, its output and
// the limits of the machine.
#include <sys/stat.h>
#include <unistd.h>

#include <array>

#include "test/host_entry.h"

namespace acacia {
namespace {

bool Echo(TextStream& stream, const std::string& request) {
  return stream.Send(HostEntry::Answer(request));
}

int StatusOf(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

// Guards FAULT and LOST: the entry was ended by SIGPIPE, with all requests in
// flight, when the reader of its log went away.
TEST_CASE("An entry outlives the reader of its log") {
  HostEntry entry(Echo);
  std::array<int, 2> pipe{};
  REQUIRE(::pipe2(pipe.data(), O_CLOEXEC) == 0);
  entry.StartWithOutput(pipe[1]);
  ::close(pipe[1]);
  entry.AwaitReady();
  ::close(pipe[0]);
  // Enough log lines for several writes.
  for (int i = 0; i < 200; ++i) {
    TextStream caller = entry.Connect();
    caller.Send(HostEntry::Head("r" + std::to_string(i), 2) + "hi");
    REQUIRE(StatusOf(caller.ReadMessage()) == 200);
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK_FALSE(entry.process->HasEnded());
  CHECK(entry.IsReady());
}

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Guards FAULT: a SIGHUP before the signals were handled ended the process.
TEST_CASE(
    "An entry that is told to reload while it starts starts and reloads") {
  HostEntry entry(Echo);
  const std::string settings = ReadFile(entry.SettingsFile());
  std::filesystem::remove(entry.SettingsFile());
  // Opening a pipe for writing waits until the entry reads its settings.
  REQUIRE(::mkfifo(entry.SettingsFile().c_str(), 0600) == 0);
  entry.Start();
  std::ofstream first(entry.SettingsFile());
  entry.process->Signal(SIGHUP);
  first << settings;
  first.close();
  entry.AwaitReady();
  std::ofstream(entry.SettingsFile()) << settings;
  Await("the settings to be read again", [&] {
    return entry.process->Log().find("event=settings_in_force") !=
           std::string::npos;
  });
}

// Guards LOST: a second SIGTERM cut off the requests that the first lets end.
TEST_CASE("A second SIGTERM in the grace time cuts off no request") {
  std::promise<void> arrived;
  std::promise<void> work;
  HostEntry entry([&](TextStream& stream, const std::string& request) {
    arrived.set_value();
    work.get_future().wait();
    return stream.Send(HostEntry::Answer(request));
  });
  entry.Start();
  entry.AwaitReady();
  TextStream caller = entry.Connect();
  caller.Send(HostEntry::Head("r1", 2) + "hi");
  arrived.get_future().wait();
  for (int i = 0; i < 3; ++i) {
    entry.process->Signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  work.set_value();
  CHECK(StatusOf(caller.ReadMessage()) == 200);
  caller.Close();
  CHECK(entry.process->Wait() == 0);
}

}  // namespace
}  // namespace acacia
