// The acacia-entry process on the host platform: its signals, its output and
// the limits of the machine.
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <sstream>

#include "src/flat_table.h"
#include "src/peer_messages.h"
#include "src/random_source.h"
#include "src/socket_address.h"
#include "test/host_entry.h"

namespace acacia {
namespace {

bool Echo(TextStream& stream, const std::string& request) {
  return stream.Send(HostEntry::Answer(request));
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

// Listens on an address that an entry is to use. Entries do not inherit it.
class AddressHolder {
 public:
  explicit AddressHolder(const std::string& address)
      : AddressHolder(*ParseSocketAddress(address)) {}

 private:
  explicit AddressHolder(const SocketAddress& address)
      : acceptor(context, {address.address, address.port}) {
    ::fcntl(this->acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  }

  boost::asio::io_context context;
  Tcp::acceptor acceptor;
};

// Guards FAULT: an entry ended where something else held the address for
// operators, which callers do not need.
TEST_CASE("An entry serves while something else holds the operators' address") {
  HostEntry entry(Echo);
  std::optional<AddressHolder> holder(entry.operators);
  entry.Start();
  entry.AwaitReady();
  TextStream caller = entry.Connect();
  caller.Send(HostEntry::Head("r1", 2) + "hi");
  CHECK(StatusOf(caller.ReadMessage()) == 200);
  holder.reset();
  Await("the operators' address to be served", [&] {
    return SendHttpRequest(entry.operators, "GET", "/ready").status == 200;
  });
}

// Guards FAULT: where ports differ from day to day, the port of the address for
// operators may be that of another address, which the entry cannot do without.
TEST_CASE("An entry serves if another of its addresses is that for operators") {
  HostEntry entry(Echo);
  std::string settings = ReadFile(entry.SettingsFile());
  settings.replace(settings.find(entry.operators), entry.operators.size(),
                   entry.readiness);
  std::ofstream(entry.SettingsFile()) << settings;
  entry.Start();
  entry.AwaitReady();
}

// Guards FAULT: an entry that started while its settings were being written
// ended.
TEST_CASE("An entry waits for the end of its settings") {
  HostEntry entry(Echo);
  const std::string settings = ReadFile(entry.SettingsFile());
  std::ofstream file(entry.SettingsFile());
  file << settings.substr(0, settings.size() / 2) << std::flush;
  entry.Start();
  Await("the entry to find the settings incomplete", [&] {
    REQUIRE_FALSE(entry.process->HasEnded());
    return entry.process->Log().find("event=settings_incomplete") !=
           std::string::npos;
  });
  file << settings.substr(settings.size() / 2);
  file.close();
  entry.AwaitReady();
}

// Guards LOST: an entry that stopped was named in lookups for good if its
// connection to the store had gone silent since its start.
TEST_CASE("An entry that stops removes its row on a connection that works") {
  HostEntry entry(Echo);
  entry.Start();
  entry.AwaitReady();
  entry.store.SilenceWriters();
  entry.process->Signal(SIGTERM);
  CHECK(entry.process->Wait() == 0);
  CHECK(entry.store.HasRemovedRow());
}

// Guards FAULT: a stop took effect only after an entry had waited for each of
// its addresses, longer than the grace time.
TEST_CASE("An entry that is stopped while it waits for an address ends") {
  HostEntry entry(Echo);
  const AddressHolder holder(entry.callers);
  entry.Start();
  Await("the entry to wait for its address", [&] {
    REQUIRE_FALSE(entry.process->HasEnded());
    return entry.process->Log().find("event=address_unavailable") !=
           std::string::npos;
  });
  entry.process->Signal(SIGTERM);
  CHECK(entry.process->Wait() == 0);
  CHECK(entry.process->Log().find("event=cannot_listen") == std::string::npos);
}

// Guards FAULT and LOST: the entry was ended, with all requests in flight, when
// the file that it writes its log to had reached the limit on the size of
// files.
TEST_CASE("An entry outlives the limit on the size of its log") {
  HostEntry entry(Echo);
  // In blocks of 512 bytes.
  entry.StartByShell("ulimit -f 16 && exec \"$0\" \"$@\"");
  entry.AwaitReady();
  for (int i = 0; i < 200; ++i) {
    TextStream caller = entry.Connect();
    caller.Send(HostEntry::Head("r" + std::to_string(i), 2) + "hi");
    REQUIRE(StatusOf(caller.ReadMessage()) == 200);
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(entry.process->Log().size() == 16 * 512);
  CHECK_FALSE(entry.process->HasEnded());
  CHECK(entry.IsReady());
}

// Guards FAULT and LOST: a signal that is sent to all programs of a machine, as
// by a log rotator, ended the entry.
TEST_CASE("An entry outlives signals that have no meaning for it") {
  HostEntry entry(Echo);
  entry.Start();
  entry.AwaitReady();
  for (const int signal : {SIGUSR1, SIGUSR2, SIGPIPE, SIGXFSZ}) {
    entry.process->Signal(signal);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    INFO(signal);
    CHECK_FALSE(entry.process->HasEnded());
  }
  CHECK(entry.IsReady());
}

// Guards LOST: an entry whose starter blocks SIGTERM was never told to stop, so
// that each stop was cut off by SIGKILL.
TEST_CASE("An entry stops although its starter blocks signals") {
  for (const int signal : {SIGTERM, SIGINT}) {
    HostEntry entry(Echo);
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    entry.Start();
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    entry.AwaitReady();
    entry.process->Signal(signal);
    Await("the entry to stop", [&] { return entry.process->HasEnded(); });
    CHECK(entry.process->Wait() == 0);
  }
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
  CHECK(entry.process->PeakMemoryMb() < kMemoryMb);
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

int StatusOfSmallRequest(HostEntry& entry) {
  TextStream caller = entry.Connect();
  caller.Send(HostEntry::Head("after", 2) + "hi");
  return StatusOf(caller.ReadMessage());
}

// Sends up to `size` bytes. Returns how many the peer has not refused to take.
std::size_t SendMuch(TextStream& stream, std::size_t size) {
  const std::string piece(64 * 1024, '0');
  std::size_t sent = 0;
  while (sent < size && stream.Send(piece)) {
    sent += piece.size();
  }
  return sent;
}

// Guards FAULT: requests to the listeners for lookups and readiness were held
// in memory up to 64 MB each, or without end.
TEST_CASE("Endless requests to the small listeners are cut off") {
  constexpr std::size_t kMuch = 32 * 1024 * 1024;
  HostEntry entry(Echo);
  entry.Start();
  entry.AwaitReady();
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& address : {entry.lookups, entry.readiness}) {
    for (const std::string& beginning :
         {post + "X-Long: ", post + "Content-Length: 60000000\r\n\r\n",
          post + "Transfer-Encoding: chunked\r\n\r\n",
          post + "Transfer-Encoding: chunked\r\n\r\n1;x=",
          post + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: "}) {
      INFO(beginning);
      TextStream caller = entry.ConnectTo(address);
      caller.Send(beginning);
      CHECK(SendMuch(caller, kMuch) < kMuch);
    }
  }
  CHECK(entry.IsReady());
}

// Guards FAULT and LOST: answers of the store were kept up to 64 MB each, and
// were parsed into several times as much.
TEST_CASE("Endless answers of the store stay within the entry's memory") {
  constexpr std::size_t kMemoryMb = 260;
  constexpr int kAnswers = 24;
  HostEntry entry(Echo);
  entry.Start();
  entry.AwaitReady();
  entry.store.SetTrouble(HostStore::Trouble::kEndless);
  // Polls end, and the next calls meet the trouble.
  entry.store.Put("servers", "i-3", "odd");
  entry.store.Put("op", "other", "odd");
  Await("endless answers", [&] {
    return entry.process->HasEnded() || entry.store.CutAnswers() >= kAnswers;
  });
  CHECK_FALSE(entry.process->HasEnded());
  CHECK(entry.process->PeakMemoryMb() < kMemoryMb);
  CHECK(StatusOfSmallRequest(entry) == 200);
}

// Guards FAULT and LOST: frames of peers were kept up to 64 MB each.
TEST_CASE("Endless frames of peers stay within the entry's memory") {
  constexpr std::size_t kMemoryMb = 260;
  constexpr std::size_t kPeers = 32;
  constexpr std::size_t kMuch = 16 * 1024 * 1024;
  const std::string length(4, '\3');
  const std::string address = "127.0.0.1:9";
  const std::string hello = std::string("\x0b\0\0\0", 4) + address;
  HostEntry entry(Echo);
  entry.Start();
  entry.AwaitReady();
  for (const std::string& beginning : {length, hello + length}) {
    std::vector<TextStream> peers;
    for (std::size_t i = 0; i < kPeers; ++i) {
      peers.push_back(entry.ConnectTo(entry.peers));
      peers.back().Send(beginning);
      SendMuch(peers.back(), kMuch);
    }
  }
  AwaitIdle(*entry.process);
  CHECK_FALSE(entry.process->HasEnded());
  CHECK(entry.process->PeakMemoryMb() < kMemoryMb);
  CHECK(StatusOfSmallRequest(entry) == 200);
}

// Changes, adds or removes some bytes.
std::string Mutate(std::string bytes, SeededRandom& random) {
  const std::uint64_t changes = 1 + random.Below(4);
  for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random.Below(bytes.size());
    switch (random.Below(4)) {
      case 0:
        bytes[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << random.Below(8)));
        break;
      case 2:
        bytes.resize(at);
        break;
      default:
        bytes.insert(at, 1 + random.Below(8), '\xff');
    }
  }
  return bytes;
}

// Messages of a peer that holds everything that a message can hold.
std::vector<std::string> PeerMessages() {
  ShareHeader header{"e2", {}, {}};
  header.known = {RowVersion(1), RowVersion(1), RowVersion(1)};
  header.since = header.known;
  header.silent = {"e3", "e4"};
  header.quarantined.emplace_back();
  header.quarantined.back().fingerprint = 7;
  header.quarantined.back().count = 1;
  OutcomeReports reports;
  schema::BackendEvidenceT& evidence = reports.backends.emplace_back();
  evidence.service = "kehto";
  evidence.id = "i-1@1";
  evidence.good = 1;
  evidence.failures = 1;
  evidence.in_flight = 1;
  evidence.slots = 5;
  evidence.rate_limit = 1000;
  schema::RequestReportT& report = reports.requests.emplace_back();
  report.fingerprint = 8;
  report.backend = "i-1@1";
  TableRows rows;
  rows.version = RowVersion(1);
  rows.rows.push_back({"i-3", "no JSON", RowVersion(1), false});
  std::vector<std::string> messages{SerializeShare(header, reports)};
  for (const FollowedTable table : schema::EnumValuesFollowedTable()) {
    messages.push_back(SerializeRelayed(table, RowVersion(1), rows));
  }
  return messages;
}

// Guards FAULT: a message about a table that this version does not know ended
// the entry.
TEST_CASE("An entry outlives messages of peers that it cannot read") {
  constexpr std::uint64_t kSeed = 1;
  constexpr int kMessages = 20000;
  HostEntry entry(Echo);
  entry.Start();
  entry.AwaitReady();
  SeededRandom random(kSeed);
  const std::vector<std::string> valid = PeerMessages();
  TextStream frames = entry.ConnectTo(entry.peers);
  const auto send_frame = [&frames](const std::string& bytes) {
    const auto size = static_cast<std::uint32_t>(bytes.size());
    return frames.Send(
        std::string(reinterpret_cast<const char*>(&size), sizeof(size)) +
        bytes);
  };
  send_frame("127.0.0.1:9");
  schema::EntryMessageT unknown_table;
  unknown_table.relayed = std::make_unique<schema::RelayedRowsT>();
  unknown_table.relayed->table = static_cast<FollowedTable>(200);
  CHECK(send_frame(PackTable<schema::EntryMessage>(unknown_table)));
  for (int i = 0; i < kMessages && !entry.process->HasEnded(); ++i) {
    send_frame(Mutate(valid[random.Below(valid.size())], random));
  }
  AwaitIdle(*entry.process);
  CHECK(StatusOfSmallRequest(entry) == 200);
  CHECK_FALSE(entry.process->HasEnded());
  CHECK(entry.IsReady());
}

// Guards LOST: whatever a backend server answers, the caller gets an answer, or
// the beginning of one that breaks off.
TEST_CASE("An entry answers whatever its backend servers send") {
  constexpr std::uint64_t kSeed = 1;
  constexpr int kRequests = 400;
  SeededRandom random(kSeed);
  std::mutex mutex;
  HostEntry entry([&](TextStream& stream, const std::string& request) {
    const std::string more =
        "Retry-After: 0.01\r\nServer-Limit: 1000\r\nServer-Leaving: 0\r\n"
        "X-Acaciaswitch-Server-Load: 1,0,500\r\nKeep-Alive: timeout=5\r\n";
    std::string answer = HostEntry::Answer(request);
    answer.insert(answer.find("\r\n") + 2, more);
    const std::lock_guard lock(mutex);
    stream.Send(Mutate(answer, random));
    return random.Below(2) == 0;
  });
  entry.Start();
  entry.AwaitReady();
  int unanswered = 0;
  for (int i = 0; i < kRequests && !entry.process->HasEnded(); ++i) {
    // Distinct bodies, so that no request is quarantined.
    const std::string id = "r" + std::to_string(i);
    TextStream caller = entry.Connect();
    caller.Send(HostEntry::Head(id, id.size(), 100) + id);
    unanswered += StatusOf(caller.ReadMessage()) == 0 ? 1 : 0;
  }
  CHECK(unanswered == 0);
  CHECK_FALSE(entry.process->HasEnded());
  CHECK(entry.IsReady());
}

}  // namespace
}  // namespace acacia
