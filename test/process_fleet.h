// Runs real processes on loopback for integration tests: a platform, backend
// servers behind fault proxies, agents and entries. Waits poll a condition with
// a long timeout; what the results must be is left to the test.
#ifndef TEST_PROCESS_FLEET_H_
#define TEST_PROCESS_FLEET_H_

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/http_client.h"
#include "standin/load_generator.h"
#include "standin/load_report.h"

namespace acacia {

inline constexpr std::chrono::seconds kConditionTimeout{60};
inline constexpr std::chrono::milliseconds kConditionPollInterval{50};

// Waits until the condition holds. Fails the test after kConditionTimeout, with
// `last_seen` in the message, which the condition may update.
inline void Await(const std::string& what,
                  const std::string& last_seen,
                  const std::function<bool()>& condition) {
  const TimePoint deadline = SystemClock().Now() + kConditionTimeout;
  while (!condition()) {
    if (SystemClock().Now() > deadline) {
      FAIL("gave up waiting for " << what << " " << last_seen);
    }
    std::this_thread::sleep_for(kConditionPollInterval);
  }
}

inline void Await(const std::string& what,
                  const std::function<bool()>& condition) {
  Await(what, "", condition);
}

// Sends one HTTP request and returns the answer; status 0 when there was none.
inline HttpReply SendHttpRequest(const std::string& address,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body = "") {
  boost::asio::io_context io;
  HttpReply reply;
  reply.status = 0;
  HttpClient client(address);
  const auto exchange = [&]() -> boost::asio::awaitable<void> {
    HttpRequest request{method, target, {}, body};
    auto answer =
        co_await client.Send(std::move(request), std::chrono::seconds(5));
    if (answer) {
      reply = *std::move(answer);
    }
  };
  boost::asio::co_spawn(io, exchange, boost::asio::detached);
  io.run();
  return reply;
}

inline void SetFaults(const std::string& address, const std::string& json) {
  REQUIRE(SendHttpRequest(address, "PUT", "/standin/faults", json).status ==
          200);
}

// A running program of this build, killed when it goes out of scope.
class Process {
 public:
  Process(const std::string& folder,
          const std::string& name,
          const std::string& program,
          const std::string& settings)
      : log(folder + "/" + name + ".log") {
    const std::string file = folder + "/" + name + ".json";
    std::ofstream(file) << settings;
    std::vector<std::string> words{ACACIA_BINARY_DIR "/" + program,
                                   "--settings", file};
    this->SpawnWithLog(words);
  }
  Process(const std::vector<std::string>& words, std::string log)
      : log(std::move(log)) {
    this->SpawnWithLog(words);
  }
  // Without a log: the program writes to the descriptor `output`.
  Process(const std::vector<std::string>& words, int output) {
    this->Spawn(words, output);
  }
  ~Process() {
    if (this->pid > 0) {
      this->Signal(SIGKILL);
      this->Wait();
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const { kill(this->pid, number); }
  bool HasEnded() {
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(this->pid), &info,
           WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid != 0;
  }
  pid_t Pid() const { return this->pid; }
  // The exit code, or minus the signal that ended it.
  int Wait() {
    int status = 0;
    waitpid(std::exchange(this->pid, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // In megabytes, since the process began.
  std::size_t PeakMemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string word;
    while (status >> word && word != "VmHWM:") {
    }
    std::size_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes / 1024;
  }
  std::string Log() const {
    std::ifstream in(this->log);
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  void SpawnWithLog(const std::vector<std::string>& words) {
    const int output = open(this->log.c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    REQUIRE(output >= 0);
    this->Spawn(words, output);
    close(output);
  }

  void Spawn(std::vector<std::string> words, int output) {
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    const int error = posix_spawn(&this->pid, arguments[0], &actions, nullptr,
                                  arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE(error == 0);
  }

  std::string log;
  pid_t pid = 0;
};

// Gives out addresses that were free, on one loopback address specific to this
// test process.
class FreeAddresses {
 public:
  // "ip:port"; never the same twice.
  std::string Take();

 private:
  std::set<std::uint16_t> ports;
};

// Service kehto has short work, uniikki long work. Bookings and takes are not
// idempotent.
inline constexpr char kFileSet[] = R"({
  "services": [
    {"name": "kehto", "discovery": "kehto", "slots_per_backend_server": 5,
     "floor_percent": 50, "progress_timeout_ms": 1000},
    {"name": "uniikki", "discovery": "uniikki", "slots_per_backend_server": 5,
     "floor_percent": 50, "long_slots_percent": 80}],
  "routes": [
    {"name": "page", "host": "kehto", "path_prefix": "/catalogue",
     "service": "kehto", "idempotency": "Always", "deadline_ms": 4000},
    {"name": "booking", "host": "kehto", "path_prefix": "/bookings",
     "service": "kehto", "idempotency": "Never", "deadline_ms": 4000},
    {"name": "take", "host": "uniikki", "path_prefix": "/takes",
     "service": "uniikki", "work_class": "Long", "idempotency": "Never",
     "deadline_ms": 60000}]
})";

struct FleetOptions {
  int entries = 3;
  int kehto = 4;
  int uniikki = 2;
  int service_time_ms = 10;
  int long_service_time_ms = 300;
};

// All processes listen on FreeAddresses. A fault proxy stands in front of each
// backend server, between the agents, and between the agents and the platform.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet() { std::filesystem::remove_all(this->folder); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Applies kFileSet and waits until every entry is ready and all requests are
  // answered.
  void Serve();
  void StartAgent(int index);
  void StartEntry(int index);
  void AwaitReady(int index) const;
  bool IsReady(int index) const;
  // Runs acaciactl apply; returns its exit code.
  int Apply(const std::string& file_set, const std::string& write_id = "");
  // As the agent reports it on /metrics.
  std::uint64_t Generation(int index) const;

  schema::LoadSettingsT Load(int seconds, int rate) const;
  // Sends the load and runs `disturb` one second after its start.
  std::vector<CallResult> Send(const schema::LoadSettingsT& settings,
                               const std::function<void()>& disturb = {}) const;
  // Fails the test when the ledgers contradict the results that callers saw.
  void CheckPromisesOf(const std::vector<CallResult>& results) const;
  // One number of a backend server's GET /standin/totals.
  std::uint64_t Total(int backend, const std::string& name) const;

  // By name: "platform", "backend-0", "agent-0", "entry-0", "proxy-...".
  std::map<std::string, std::unique_ptr<Process>> processes;
  std::string platform;
  // The *_faults are operator listeners of the proxies.
  std::string platform_faults;
  std::vector<std::string> backends;
  std::vector<std::string> backend_proxies;
  std::vector<std::string> backend_faults;
  std::vector<std::string> peer_faults;
  std::vector<std::string> callers;
  std::vector<std::string> entry_operators;
  std::vector<std::string> agent_operators;
  std::string folder;

 private:
  void Start(const std::string& name,
             const std::string& program,
             const std::string& settings) {
    this->processes[name] =
        std::make_unique<Process>(this->folder, name, program, settings);
  }
  // Returns the proxy's operator listener.
  std::string StartProxy(const std::string& name,
                         const std::string& listen,
                         const std::string& target,
                         bool datagrams);
  void StartBackends();
  void Register() const;

  FleetOptions options;
  FreeAddresses addresses;
  std::vector<std::string> peer_listen;
  std::vector<std::string> peer_advertise;
  std::vector<std::string> entry_links;
  int applied = 0;
};

inline std::size_t CountWithOutcome(const std::vector<CallResult>& results,
                                    CallOutcome outcome) {
  return std::count_if(results.begin(), results.end(),
                       [outcome](const CallResult& result) {
                         return result.outcome == outcome;
                       });
}

// One line for each unanswered request, with the result that its caller saw.
inline std::string DescribeUnanswered(const std::vector<CallResult>& results) {
  std::string text;
  for (const CallResult& result : results) {
    if (result.outcome != CallOutcome::kAnswered) {
      const auto intended =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              result.intended);
      text += result.work_id + " class " + std::to_string(result.load_class) +
              " at " + std::to_string(intended.count()) + " ms: status " +
              std::to_string(result.status) + " " + result.error + "\n";
    }
  }
  return text;
}

}  // namespace acacia

#endif  // TEST_PROCESS_FLEET_H_
