// Small stand-ins for the cases of this review: the platform's store, backend
// servers, clients, and a deployment of real acacia-entry processes. Everything
// listens on loopback addresses that belong to one run.
#ifndef REVIEW_STANDINS_2_WORLD2_H_
#define REVIEW_STANDINS_2_WORLD2_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// Seconds since the run began.
double Now();
void SleepFor(double seconds);
void SleepUntil(double seconds);

// True unless the environment has TROUBLE=0.
bool HasTrouble();

// Writes record.txt. Thread-safe.
void OpenRecord(const std::string& file);
void Record(const std::string& line);

// Writes the result to the record and standard output and ends the process
// without waiting for other threads. Call after the entries have been ended.
[[noreturn]] void Finish(int code, const std::string& text);

// The loopback host of this run with the given last number.
std::string Host(int last);

// Blocking socket with a buffer.
class Stream {
 public:
  explicit Stream(int handle) : handle(handle) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Returns null if the connection cannot be opened in time.
  static std::unique_ptr<Stream> Connect(const std::string& address,
                                         double timeout_s);
  bool Write(const std::string& bytes);
  // Reads up to and including the blank line; nullopt at the end, on an error
  // or at the time given.
  std::optional<std::string> ReadHead(double until);
  // Reads exactly `size` bytes. `got` holds what was read in any case.
  bool ReadBody(std::size_t size, std::string* got, double until);
  bool ReadChunked(std::string* got, double until);
  // Waits for the end of the connection for at most `seconds`; true if it came.
  bool WaitForClose(double seconds);
  void Close();
  // Closes with a reset.
  void Reset();
  int Handle() const { return this->handle; }
  // The last read ended at its time rather than with the connection.
  bool TimedOut() const { return this->timed_out; }

 private:
  bool Fill(double until);

  int handle;
  bool timed_out = false;
  std::string buffer;
};

// The value of a header; empty if it is not there.
std::string Header(const std::string& head, const std::string& name);
int StatusOf(const std::string& head);
std::string TargetOf(const std::string& head);

// Accepts connections and serves each in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Stream&)>;
  Listener(const std::string& host, Serve serve);
  std::string Address() const { return this->address; }
  // Connections are refused until Open is called.
  void Shut();
  void Open();

 private:
  Serve serve;
  int handle = -1;
  std::string address;
};

// The platform's store: rows, a feed of changes and transactions.
class Store {
 public:
  explicit Store(const std::string& host);
  std::string Address() const { return this->listener->Address(); }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  std::size_t Count(const std::string& table);

 private:
  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
  };
  void Answer(Stream& stream);
  std::string Rows(const std::string& table, std::int64_t after, bool removed);
  std::string Transact(const std::string& body, int* status);
  void Write(const std::string& table,
             const std::string& key,
             const std::string& value,
             bool removed);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Row>> tables;
  std::int64_t version = 1;
  std::unique_ptr<Listener> listener;
};

struct Request {
  std::string head;
  std::string body;
  std::string id;
};

// One backend server: slots, a queue, registration with heartbeats.
class Endpoint {
 public:
  struct Options {
    std::string id;
    std::string service = "kehto";
    std::string zone = "a";
    int slots = 2;
    int queue = 2;
    double work_s = 0.2;
    std::size_t answer_bytes = 200;
  };
  Endpoint(Store& store, const std::string& host, Options options);

  std::string Address() const { return this->listener->Address(); }
  const std::string& Id() const { return this->options.id; }
  // Sets its machine's clock this far ahead of true time. `born` follows at its
  // next start.
  void SetClockAhead(std::int64_t milliseconds) {
    this->clock_ahead = milliseconds;
  }
  // Sets `born` anew; for one that has not been registered yet.
  void StartAnew();
  // Registers it as ready and keeps its heartbeats going.
  void Register();
  void SetState(const std::string& state);
  // Ends the heartbeats and removes the registration; it goes on serving.
  void Unregister();
  // Makes a heartbeat whose write is not answered. The store performs it after
  // this time, whatever has been written meanwhile.
  void BeatLate(double after_s);
  // Ends: closes its connections and takes no more.
  void Exit();
  // Crashes: resets its connections, and starts again after this time as a new
  // incarnation under the same id.
  void Crash(double back_after_s);

  // Other answer headers, such as a limit.
  std::function<std::string(const Request&)> more_headers;
  // Called when an answer was sent. Returns bytes that are to be sent at the
  // point where the next answer on the connection is expected.
  std::function<std::string(const Request&, const std::string& answer)> extra;
  // Called instead of the ordinary answer once the work is done; returns true
  // if it has answered, and sets `keep` if the connection goes on.
  std::function<bool(Stream&, const Request&, bool* keep)> answer;
  // Called for each request before anything else; returns an answer head and
  // body to send instead of running it.
  std::function<std::optional<std::string>(const Request&)> reject;
  // Called for each request that begins to run.
  std::function<void(const Request&)> on_run;
  // Whether the request crashes the endpoint that begins to run it.
  std::function<bool(const Request&)> crashes;

 private:
  void Serve(Stream& stream);
  bool Enter(double until);
  void Leave();
  std::string Report();
  void Write();

  Store& store;
  Options options;
  std::mutex mutex;
  std::condition_variable freed;
  int running = 0;
  int waiting = 0;
  std::string state = "ready";
  bool registered = false;
  std::atomic<bool> has_ended{false};
  // Grows with each crash.
  std::atomic<int> incarnation{0};
  std::int64_t sequence = 0;
  std::atomic<std::int64_t> clock_ahead{0};
  std::int64_t born;
  std::unique_ptr<Listener> listener;
};

// How often each request ran, and where.
class Ledger {
 public:
  void OnRun(const std::string& id, const std::string& endpoint);
  std::vector<std::string> RunsOf(const std::string& id);

 private:
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs;
};

// One acacia-entry process with the settings of the deploy file's template.
class Entry {
 public:
  struct Bounds {
    double grace_s = 6;
    double retry_budget_ratio = 0.2;
    double retry_budget_window_s = 10;
    double retry_budget_extra = 56;
    double floor_share = 0.7;
    int memory_mb = 260;
    int max_fds = 4100;
  };
  Entry(int number,
        const std::string& zone,
        const std::string& store,
        const std::string& folder,
        const Bounds& bounds);
  ~Entry();

  void Start();
  void Signal(int number) const;
  // Ends it with SIGKILL.
  void Kill();
  bool HasEnded();
  std::string Front() const { return this->ip + ":18144"; }
  std::string Ready() const { return this->ip + ":18140"; }
  std::string Directory() const { return this->ip + ":18143"; }
  std::string Name() const { return this->name; }
  bool IsReady() const;

 private:
  std::string name;
  std::string ip;
  std::string folder;
  Bounds bounds;
  pid_t pid = 0;
};

struct Fleet {
  std::vector<std::unique_ptr<Entry>> entries;
  // Starts all and waits until they are ready. Returns false if they are not in
  // time.
  bool Start(double timeout_s);
  void KillAll();
};

struct Outcome {
  // 0: no complete answer.
  int status = 0;
  std::string head;
  std::string body;
  // The answer, or the connection, ended by itself before the deadline.
  bool ended = false;
  bool whole = false;
  double sent_at = 0;
  double ended_at = 0;
};

// Sends one request on a new connection, or on `kept`, and reads the answer
// until the deadline.
Outcome Send(const std::string& address,
             const std::string& method,
             const std::string& path,
             const std::string& id,
             const std::string& body,
             double deadline_s,
             const std::string& more_headers = "");

// A route's part of a configuration.
struct RouteSpec {
  std::string name;
  std::string prefix;
  std::string service = "kehto";
  std::string kind = "unsafe";
  int max_attempts = 2;
  double timeout_s = 5;
  double target_latency_s = 1.5;
  int priority = 1;
};
std::string Configuration(int version,
                          const std::vector<RouteSpec>& routes,
                          const std::vector<std::string>& services,
                          int max_conns = 330);

std::string NewId();

}  // namespace review

#endif  // REVIEW_STANDINS_2_WORLD2_H_
