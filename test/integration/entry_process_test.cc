// The acacia-entry process on the host platform: its signals, its output and
// the limits of the machine.
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <sstream>

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

// Guards MIXED: where the standard output was closed, the log went to whatever
// got its number: a socket, or the descriptor that wakes the event loop.
TEST_CASE("An entry without a standard output writes its log nowhere") {
  HostEntry entry(Echo);
  entry.StartByShell("exec \"$0\" \"$@\" <&- >&- 2>&-");
  entry.AwaitReady();
  const std::string descriptors =
      "/proc/" + std::to_string(entry.process->Pid()) + "/fd/";
  for (const std::string stream : {"0", "1", "2"}) {
    CHECK(std::filesystem::read_symlink(descriptors + stream) == "/dev/null");
  }
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

// Guards FAULT: a SIGHUP while the loader mapped and relocated a dozen shared
// libraries ended the process. Those that the system has archives of are linked
// into the program.
TEST_CASE("An entry loads few shared libraries before it runs") {
  HostEntry entry(Echo);
  entry.Start();
  entry.AwaitReady();
  const std::string maps =
      ReadFile("/proc/" + std::to_string(entry.process->Pid()) + "/maps");
  REQUIRE(maps.find("/libc.so") != std::string::npos);
  for (const std::string library : {"crypto", "flatbuffers", "xxhash"}) {
    INFO(library);
    CHECK(maps.find("/lib" + library) == std::string::npos);
  }
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

// Sends the last byte of a request whose beginning was sent before.
void SendLastByte(TextStream& caller) {
  caller.Send("x");
}

// Guards LOST: requests that became whole late in a planned stop were passed on
// and cut off at its end.
TEST_CASE("A planned stop refuses the requests that it could cut off") {
  std::mutex mutex;
  std::set<std::string> arrived;
  std::promise<void> finish;
  const std::shared_future<void> finished = finish.get_future().share();
  HostEntry entry([&](TextStream& stream, const std::string& request) {
    const std::string id = Field(request, "X-Acaciaswitch-Request-Id");
    {
      const std::lock_guard lock(mutex);
      arrived.insert(id);
    }
    if (id == "hangs") {
      finished.wait();
      return false;
    }
    if (id != "urgent") {
      finished.wait_for(std::chrono::seconds(2));
    }
    return stream.Send(HostEntry::Answer(request));
  });
  entry.Start();
  entry.AwaitReady();
  const auto begin = [&](const std::string& id, int deadline_ms) {
    TextStream caller = entry.Connect();
    caller.Send(HostEntry::Head(id, 2, deadline_ms) + "x");
    return caller;
  };
  TextStream early = begin("early", 8000);
  TextStream hangs = begin("hangs", 8000);
  // Its deadline counts from the end of its head.
  const std::string urgent_request = HostEntry::Head("urgent", 2, 1000) + "xx";
  constexpr std::size_t kPartOfHead = 20;
  TextStream urgent = entry.Connect();
  urgent.Send(urgent_request.substr(0, kPartOfHead));
  std::vector<TextStream> late;
  for (int i = 0; i < 8; ++i) {
    late.push_back(begin("late-" + std::to_string(i), 8000));
  }
  // All of them have been accepted when a later connection is answered.
  TextStream last = begin("last", 8000);
  SendLastByte(last);
  REQUIRE(StatusOf(last.ReadMessage()) == 200);

  const auto stopped_at = std::chrono::steady_clock::now();
  const auto sleep_until = [&](int milliseconds) {
    std::this_thread::sleep_until(stopped_at +
                                  std::chrono::milliseconds(milliseconds));
  };
  entry.process->Signal(SIGTERM);
  sleep_until(300);
  SendLastByte(early);
  SendLastByte(hangs);
  // More than half of the grace time of six seconds.
  sleep_until(3500);
  urgent.Send(urgent_request.substr(kPartOfHead));
  sleep_until(4300);
  for (std::size_t i = 0; i < late.size() / 2; ++i) {
    SendLastByte(late[i]);
  }
  sleep_until(5000);
  for (std::size_t i = late.size() / 2; i < late.size(); ++i) {
    SendLastByte(late[i]);
  }
  for (TextStream& caller : late) {
    const std::string answer = caller.ReadMessage();
    CHECK(StatusOf(answer) == 503);
    CHECK(Field(answer, "Connection") == "close");
    CHECK_FALSE(Field(answer, "Retry-After").empty());
  }
  CHECK(StatusOf(early.ReadMessage()) == 200);
  // Its deadline lies within the stop.
  CHECK(StatusOf(urgent.ReadMessage()) == 200);
  // It may have run: no refusal, but a final answer before the process ends.
  CHECK(StatusOf(hangs.ReadMessage()) == 504);
  CHECK(entry.process->Wait() == 0);
  CHECK(std::chrono::steady_clock::now() - stopped_at <
        std::chrono::seconds(6));
  finish.set_value();
  CHECK(arrived == std::set<std::string>{"early", "hangs", "last", "urgent"});
}

// Waits until the process has used no processor time for a second.
void AwaitIdle(const Process& process) {
  constexpr int kIdlePolls = 20;
  const std::string file = "/proc/" + std::to_string(process.Pid()) + "/stat";
  std::string before;
  int idle_polls = 0;
  Await("the entry to have nothing to do", [&] {
    std::istringstream fields(ReadFile(file));
    std::string used;
    // User and system time are the 14th and 15th field.
    for (int i = 1; i <= 15; ++i) {
      std::string field;
      fields >> field;
      used += i >= 14 ? field + " " : "";
    }
    idle_polls = used == before ? idle_polls + 1 : 0;
    before = used;
    return idle_polls >= kIdlePolls;
  });
}

// In megabytes, since the process began.
std::size_t PeakMemory(const Process& process) {
  std::ifstream status("/proc/" + std::to_string(process.Pid()) + "/status");
  std::string word;
  while (status >> word && word != "VmHWM:") {
  }
  std::size_t kilobytes = 0;
  status >> kilobytes;
  return kilobytes / 1024;
}

// Guards FAULT and LOST: uploads that came at once took more memory than the
// process may use.
TEST_CASE("Uploads that come at once stay within the entry's memory") {
  constexpr std::size_t kMemoryMb = 260;
  constexpr std::size_t kUploads = 400;
  constexpr std::size_t kThreads = 20;
  const std::string body(1024 * 1024, 'x');
  HostEntry entry(Echo, "upload",
                  R"("memory_mb": )" + std::to_string(kMemoryMb));
  entry.Start();
  entry.AwaitReady();
  std::atomic<std::size_t> begun{0};
  std::atomic<bool> read{false};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      std::vector<TextStream> callers;
      for (std::size_t j = 0; j < kUploads / kThreads; ++j) {
        callers.push_back(entry.Connect());
        callers.back().Send(
            HostEntry::Head("r" + std::to_string(i) + "-" + std::to_string(j),
                            body.size(), 60000));
        callers.back().Send(body.substr(1));
        ++begun;
      }
      Await("all uploads to have been read", [&] { return read.load(); });
      for (TextStream& caller : callers) {
        SendLastByte(caller);
        const std::string answer = caller.ReadMessage();
        served += StatusOf(answer) == 200 ? 1 : 0;
        refused += StatusOf(answer) == 503 ? 1 : 0;
      }
    });
  }
  Await("all uploads to be begun", [&] { return begun == kUploads; });
  AwaitIdle(*entry.process);
  read = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(served > 0);
  CHECK(refused > 0);
  CHECK(served + refused == static_cast<int>(kUploads));
  CHECK_FALSE(entry.process->HasEnded());
  CHECK(PeakMemory(*entry.process) < kMemoryMb);
  // What was held is free again.
  TextStream caller = entry.Connect();
  caller.Send(HostEntry::Head("after", body.size()) + body);
  CHECK(StatusOf(caller.ReadMessage()) == 200);
}

// Guards FAULT and LOST: connections that nobody used took all descriptors, so
// that none were left for backend servers and for telling that it is ready.
TEST_CASE("Idle callers leave descriptors for those that are served") {
  HostEntry entry(Echo);
  entry.StartWithDescriptors(256);
  entry.AwaitReady();
  const auto is_served = [&](TextStream& caller, const std::string& id) {
    caller.Send(HostEntry::Head(id, 2) + "hi");
    return StatusOf(caller.ReadMessage()) == 200;
  };
  std::vector<TextStream> kept;
  for (int i = 0; i < 42; ++i) {
    kept.push_back(entry.Connect());
    REQUIRE(is_served(kept.back(), "before-" + std::to_string(i)));
  }
  std::vector<TextStream> idle;
  for (int i = 0; i < 400; ++i) {
    idle.push_back(entry.Connect());
    idle.push_back(
        entry.ConnectTo(i % 2 == 0 ? entry.lookups : entry.readiness));
  }
  CHECK(entry.IsReady());
  int served = 0;
  for (std::size_t i = 0; i < kept.size(); ++i) {
    served += is_served(kept[i], "after-" + std::to_string(i)) ? 1 : 0;
  }
  CHECK(served == 42);
  TextStream another = entry.Connect();
  CHECK(is_served(another, "another"));
}

// Guards FAULT: requests to the listeners for lookups and readiness were held
// in memory up to 64 MB each, or without end.
TEST_CASE("Endless requests to the small listeners are cut off") {
  constexpr std::size_t kMuch = 32 * 1024 * 1024;
  HostEntry entry(Echo);
  entry.Start();
  entry.AwaitReady();
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string piece(64 * 1024, '0');
  for (const std::string& address : {entry.lookups, entry.readiness}) {
    for (const std::string& beginning :
         {post + "X-Long: ", post + "Content-Length: 60000000\r\n\r\n",
          post + "Transfer-Encoding: chunked\r\n\r\n",
          post + "Transfer-Encoding: chunked\r\n\r\n1;x=",
          post + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: "}) {
      INFO(beginning);
      TextStream caller = entry.ConnectTo(address);
      caller.Send(beginning);
      std::size_t sent = 0;
      while (sent < kMuch && caller.Send(piece)) {
        sent += piece.size();
      }
      CHECK(sent < kMuch);
    }
  }
  CHECK(entry.IsReady());
}

}  // namespace
}  // namespace acacia
