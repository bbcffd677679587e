// Real processes on loopback for integration tests: a platform, backend servers
// behind fault proxies, agents and entries. Waits are for conditions, with a
// generous limit; verdicts are left to the test.
#ifndef TEST_PROCESS_FLEET_H_
#define TEST_PROCESS_FLEET_H_

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

inline constexpr std::chrono::seconds kConditionLimit{60};
inline constexpr std::chrono::milliseconds kConditionPoll{50};

// Waits until the condition holds; fails the test when it never does, and shows
// what was `seen` last.
inline void Await(const std::string& what,
                  const std::string& seen,
                  const std::function<bool()>& condition) {
  const TimePoint limit = SystemClock().Now() + kConditionLimit;
  while (!condition()) {
    if (SystemClock().Now() > limit) {
      FAIL("gave up waiting for " << what << " " << seen);
    }
    std::this_thread::sleep_for(kConditionPoll);
  }
}

inline void Await(const std::string& what,
                  const std::function<bool()>& condition) {
  Await(what, "", condition);
}

// One small HTTP exchange; status 0 when there was no answer.
inline HttpReply Ask(const std::string& address,
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
  REQUIRE(Ask(address, "PUT", "/standin/faults", json).status == 200);
}

// A program of this build; killed by its pid when it goes out of scope.
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
    this->Spawn(words);
  }
  Process(const std::vector<std::string>& words, std::string log)
      : log(std::move(log)) {
    this->Spawn(words);
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
  // The exit code, or minus the signal that ended it.
  int Wait() {
    int status = 0;
    waitpid(std::exchange(this->pid, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  std::string Log() const {
    std::ifstream in(this->log);
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  void Spawn(std::vector<std::string> words) {
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&this->pid, arguments[0], &actions, nullptr,
                                  arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE(error == 0);
  }

  std::string log;
  pid_t pid = 0;
};

// kehto for short work, uniikki for long; bookings and takes at most once.
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

// Everything listens on one loopback address of this test process, with ports
// that were free. Backend servers are known to the fleet by their proxies'
// addresses, agents to each other too, and agents reach the platform by one.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet() { std::filesystem::remove_all(this->folder); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Applies kFileSet and waits until every entry serves by it.
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
  // Sends the load and runs `disturb` a second after it began.
  std::vector<CallResult> Send(const schema::LoadSettingsT& settings,
                               const std::function<void()>& disturb = {}) const;
  // Fails the test when the ledgers contradict what callers were told.
  void CheckPromisesOf(const std::vector<CallResult>& results) const;
  // One number of a backend server's GET /standin/totals.
  std::uint64_t Total(int backend, const std::string& name) const;

  // By name: "platform", "backend-0", "agent-0", "entry-0", "proxy-...".
  std::map<std::string, std::unique_ptr<Process>> processes;
  std::string platform;
  // Operator listeners of the proxies in front of each.
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
  std::string FreeAddress();
  // Returns the proxy's operator listener.
  std::string StartProxy(const std::string& name,
                         const std::string& listen,
                         const std::string& target,
                         bool datagrams);
  void StartBackends();
  void Register() const;

  FleetOptions options;
  std::string host;
  std::vector<std::string> peer_listen;
  std::vector<std::string> peer_advertise;
  std::vector<std::string> entry_links;
  std::set<std::uint16_t> ports;
  int applied = 0;
};

inline std::size_t CountWithOutcome(const std::vector<CallResult>& results,
                                    CallOutcome outcome) {
  return std::count_if(results.begin(), results.end(),
                       [outcome](const CallResult& result) {
                         return result.outcome == outcome;
                       });
}

// One line for each request without an answer: what its caller was told.
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
