// Runs acacia-entry as a real process between stand-ins of the host platform's
// store and of its backend servers, all on loopback addresses.
#ifndef TEST_HOST_ENTRY_H_
#define TEST_HOST_ENTRY_H_

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "test/host_store.h"
#include "test/process_fleet.h"
#include "test/proxy_fixture.h"

namespace acacia {

// One entry with a route /tasks/ of the given kind to a service of two names
// for the same scripted backend server.
class HostEntry {
 public:
  explicit HostEntry(BackendScript script,
                     const std::string& kind = "unsafe",
                     const std::string& more_settings = "")
      : backend(ServeByScript(std::move(script))) {
    this->store.Put("op", "config", Configuration(kind));
    this->store.Put("servers", "i-1", this->Registration());
    this->store.Put("servers", "i-2", this->Registration());
    std::string pattern =
        std::filesystem::temp_directory_path() / "host-entry-XXXXXX";
    this->folder = mkdtemp(pattern.data());
    this->callers = this->addresses.Take();
    this->lookups = this->addresses.Take();
    this->readiness = this->addresses.Take();
    this->peers = this->addresses.Take();
    this->operators = this->addresses.Take();
    const std::string settings =
        R"({"instance": "e1", "failure_domain": "a", "region": "r",)"
        R"("worker_threads": 1, "answer_lifetime_ms": 300,)"
        R"("replayable_body_bytes": 1048576, "buffered_answer_bytes": 262144,)"
        R"("caller_listen": ")" +
        this->callers + R"(", "operator_listen": ")" + this->operators +
        R"(", "host_platform": {"store_address": ")" + this->store.Address() +
        R"(", "lookup_listen": ")" + this->lookups + R"(", "ready_listen": ")" +
        this->readiness + R"(", "peer_listen": ")" + this->peers + R"("})" +
        (more_settings.empty() ? "" : ", " + more_settings) + "}";
    std::ofstream(this->SettingsFile()) << settings;
  }
  ~HostEntry() {
    this->process.reset();
    std::filesystem::remove_all(this->folder);
  }
  HostEntry(const HostEntry&) = delete;
  HostEntry& operator=(const HostEntry&) = delete;

  std::string SettingsFile() const { return this->folder + "/entry.json"; }
  // ACACIA_ENTRY names another build of the program, such as one with a
  // sanitizer.
  std::vector<std::string> Command() const {
    const char* program = std::getenv("ACACIA_ENTRY");
    return {program == nullptr ? ACACIA_BINARY_DIR "/acacia-entry" : program,
            "--settings", this->SettingsFile()};
  }
  void Start() {
    this->process =
        std::make_unique<Process>(this->Command(), this->folder + "/log");
  }
  // The system lets the program open `count` descriptors.
  void StartWithDescriptors(int count) {
    this->StartByShell("ulimit -n " + std::to_string(count) +
                       " && exec \"$0\" \"$@\"");
  }
  // `script` runs "$0" with the arguments "$@".
  void StartByShell(const std::string& script) {
    std::vector<std::string> words{"/bin/sh", "-c", script};
    for (const std::string& word : this->Command()) {
      words.push_back(word);
    }
    this->process = std::make_unique<Process>(words, this->folder + "/log");
  }
  // The program writes its log to the descriptor `output`.
  void StartWithOutput(int output) {
    this->process = std::make_unique<Process>(this->Command(), output);
  }
  bool IsReady() const {
    return SendHttpRequest(this->readiness, "GET", "/acaciaswitch/ready")
               .status == 200;
  }
  void AwaitReady() const {
    Await("the entry to be ready", [this] {
      REQUIRE_FALSE(this->process->HasEnded());
      return this->IsReady();
    });
  }

  TextStream Connect() { return this->ConnectTo(this->callers); }
  // Thread-safe.
  TextStream ConnectTo(const std::string& address) {
    Tcp::socket socket(this->context);
    const std::size_t colon = address.find(':');
    socket.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    return TextStream(std::move(socket));
  }

  static std::string Head(const std::string& id,
                          std::size_t body_bytes,
                          int deadline_ms = 8000) {
    return "POST /tasks/x HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: " +
           id +
           "\r\nX-Acaciaswitch-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
  }
  // Answers with `body` as the backend server that was asked.
  static std::string Answer(const std::string& request,
                            const std::string& body = "done") {
    return "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Request-Id: " +
           Field(request, "X-Acaciaswitch-Request-Id") +
           "\r\nX-Acaciaswitch-Response-Signature: s\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::string folder;
  std::string callers;
  std::string lookups;
  std::string readiness;
  std::string peers;
  std::string operators;
  ThreadedListener backend;
  HostStore store;
  std::unique_ptr<Process> process;

 private:
  static std::string Configuration(const std::string& kind) {
    return R"({"version":"r1","resources":[)"
           R"({"resourceKind":"services","metadata":{"name":"kehto"},)"
           R"("spec":{"healthPath":"/health","maxConns":300}},)"
           R"({"resourceKind":"routes","metadata":{"name":"tasks"},)"
           R"("spec":{"host":"h","prefix":"/tasks/","service":"kehto",)"
           R"("kind":")" +
           kind + R"(","maxAttempts":2,"timeoutS":60}}]})";
  }
  std::string Registration() const {
    return R"({"service":"kehto","address":")" + this->backend.Address() +
           R"(","zone":"a","version":"1","slots":500,"state":"ready",)"
           R"("coldLeftS":0,"seq":1,"born":1})";
  }
  boost::asio::io_context context;
  FreeAddresses addresses;
};

}  // namespace acacia

#endif  // TEST_HOST_ENTRY_H_
