// Stand-ins for the review's scripts, all on loopback addresses: the platform's
// store, backend servers, callers, a TCP proxy, and the platform's start and
// stop of entries. They follow the users' pages; each connection has a thread.
#ifndef REVIEW_STANDINS_WORLD_H_
#define REVIEW_STANDINS_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

double SecondsSinceStart();
void SleepUntil(double seconds_since_start);
// Appends a line with the time to record.txt.
void Record(const std::string& line);
void OpenRecord(const std::string& file);
// TROUBLE=0 leaves the disruption out.
bool HasTrouble();

struct Headers : std::multimap<std::string, std::string> {
  // Names are lower case.
  std::string Get(const std::string& name) const;
};

struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
};

// A connected stream socket with a read buffer.
class Stream {
 public:
  explicit Stream(int handle) : handle(handle) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool Send(const std::string& bytes, double timeout_s = 3600);
  // Returns false at the end of the stream, after an error or a timeout; see
  // errno_at_end (0 at a clean end).
  bool Fill(double timeout_s);
  // Reads up to the blank line.
  bool ReadHead(Message& message, double timeout_s);
  bool ReadBytes(std::size_t count, std::string& out, double timeout_s);
  bool HasBytes() const { return !this->buffer.empty(); }
  void Close();
  int Handle() const { return this->handle; }

  std::string buffer;
  int errno_at_end = 0;

 private:
  int handle;
};

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// Connects; null after a failure.
std::unique_ptr<Stream> Connect(const Address& to, double timeout_s);
std::uint16_t FreePort(const std::string& ip, bool udp_too = false);
bool IsFree(const std::string& ip, std::uint16_t port);

// Accepts connections and serves each in a thread.
class Listener {
 public:
  using Serve = std::function<void(Stream&)>;
  Listener(const std::string& ip, Serve serve, int receive_buffer_bytes = 0);
  ~Listener();
  const Address& Where() const { return this->where; }
  // Closes the listening socket and all connections.
  void Stop();
  // Closes all connections with a reset.
  void ResetAll();

 private:
  void Accept();

  Address where;
  Serve serve;
  int handle;
  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::set<int> open;
  std::thread thread;
  std::atomic<int> running{0};
};

// The platform's store with rows, as PROTOCOL.md describes it.
class Store {
 public:
  explicit Store(const std::string& ip);
  const Address& Where() const { return this->listener->Where(); }
  // A write of the operator or of a backend server. Returns its version.
  std::uint64_t Put(const std::string& table,
                    const std::string& key,
                    const std::string& value);
  // Writes several rows in one transaction.
  std::uint64_t PutAll(const std::string& table,
                       const std::map<std::string, std::string>& rows);
  std::uint64_t Remove(const std::string& table, const std::string& key);
  // Keys of the rows of a table.
  std::set<std::string> Keys(const std::string& table);

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  void Serve(Stream& stream);
  std::string Rows(const std::map<std::string, std::string>& query,
                   std::uint64_t after,
                   bool changes);
  std::string Transact(const std::string& body, int& status);

  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t version = 100;
  // By table and key.
  std::map<std::string, std::map<std::string, Row>> tables;
  std::unique_ptr<Listener> listener;
};

// Forwards TCP connections, or resets all of them and refuses new ones.
class Proxy {
 public:
  Proxy(const std::string& ip, Address target);
  const Address& Where() const { return this->listener->Where(); }
  void Cut();
  void Heal();

 private:
  void Serve(Stream& stream);

  Address target;
  std::atomic<bool> cut{false};
  std::unique_ptr<Listener> listener;
};

// A backend server. It checks the expected instance, echoes the request id and
// signs its answers. `handle` writes the answer.
struct ServerRequest {
  std::string method;
  std::string target;
  std::string id;
  std::size_t content_length = 0;
  Headers headers;
};

class Server {
 public:
  using Handle = std::function<
      bool(Server& self, Stream& stream, const ServerRequest& request)>;
  // `handle` returns whether the connection is kept. It reads the body.
  Server(const std::string& ip,
         std::string id,
         std::string service,
         std::string zone,
         Handle handle,
         int receive_buffer_bytes = 0);
  const Address& Where() const { return this->listener->Where(); }
  std::string Registration(const std::string& state, int sequence) const;
  void Stop() { this->listener->Stop(); }

  const std::string id;
  const std::string service;
  const std::string zone;

 private:
  void Serve(Stream& stream);

  Handle handle;
  const std::int64_t born;
  std::unique_ptr<Listener> listener;
};

// Answers with a body of known length after `work_s`.
bool AnswerPlain(Stream& stream,
                 const ServerRequest& request,
                 const std::string& body,
                 double work_s);
std::string AnswerHead(const ServerRequest& request, const std::string& rest);
bool ReadRequestBody(Stream& stream, const ServerRequest& request);

// An entry, started with the run command of deploy/system.toml and settings
// made from deploy/entry.json.template.
class Entry {
 public:
  Entry(std::string name, std::string zone, const Address& store);
  ~Entry();
  void Start();
  void Signal(int signal);
  // Waits for the end of the process.
  void Wait();
  bool HasEnded();
  bool IsReady() const;
  // Resident memory in MB; 0 when the process has ended.
  double MemoryMb() const;
  const Address& Front() const { return this->front; }
  const std::string name;

 private:
  std::string settings_file;
  std::string log_file;
  std::string command;
  Address front;
  Address ready;
  pid_t pid = -1;
};

bool WaitUntilReady(const std::vector<Entry*>& entries, double timeout_s);

// Routes and services of a configuration.
struct RouteText {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  double timeout_s = 4;
};
inline constexpr char kHost[] = "front.example";
std::string ConfigurationText(int version,
                              const std::vector<RouteText>& routes,
                              const std::set<std::string>& services);

// One request of a caller on a connection of its own or on a kept one.
struct CallerAnswer {
  // 0 without an answer.
  int status = 0;
  Headers headers;
  std::string body;
  // By the rules of HTTP/1.1, the whole answer has arrived.
  bool complete = false;
  // "end", "reset", "timeout" or "" when the connection stayed open.
  std::string ended;
  double seconds = 0;
};
std::string NewRequestId();
CallerAnswer Ask(Stream& stream,
                 const std::string& method,
                 const std::string& target,
                 const std::string& id,
                 const std::string& body,
                 int deadline_ms);
// Reads an answer. Used by Ask.
CallerAnswer ReadAnswer(Stream& stream, double timeout_s);

// Kills all entries, removes the temporary folder and ends this program. The
// threads of the stand-ins are not joined.
[[noreturn]] void Finish(int exit_code);

// The temporary folder of this run.
const std::string& TemporaryFolder();
// Picks loopback addresses on which the fixed port of the template is free.
std::string NewIp();

}  // namespace review

#endif  // REVIEW_STANDINS_WORLD_H_
