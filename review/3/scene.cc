// A backend server in trouble sends bytes that are no answer, without end,
// where the next piece of its chunked answer is due. The platform ends a
// process that exceeds its memory, and starts it again. Other callers book at
// another service, whose servers are sound, through the same entries.
#include <signal.h>

#include <map>

#include "world.h"

namespace {

using review::Record;

// The machines of the users' sites: memory and link.
constexpr double kMemoryMb = 260;
constexpr double kLinkBytesPerSecond = 125e6;
constexpr double kRunS = 60;
constexpr double kRestartDelayS = 1;
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr int kCallersPerEntry = 6;
constexpr double kUploadWorkS = 0.36;
// Fault: on two machines at least, three ends each.
constexpr int kMachines = 2;
constexpr int kEndsEach = 3;
// LOST: more than three times.
constexpr int kLost = 3;

std::mutex mutex;
// By request id: when a sound server began to work on the upload.
std::map<std::string, double> begun;
std::atomic<int> endless{0};

bool Upload(review::Server& self,
            review::Stream& stream,
            const review::ServerRequest& request) {
  {
    const std::lock_guard lock(mutex);
    begun[request.id] = review::SecondsSinceStart();
  }
  Record("run " + request.id + " at " + self.id);
  return review::AnswerPlain(stream, request, std::string(500, 'b'),
                             kUploadWorkS);
}

bool Book(review::Server& /*self*/,
          review::Stream& stream,
          const review::ServerRequest& request) {
  return review::AnswerPlain(stream, request, std::string(5000, 's'), 0.39);
}

// Sends the head and one piece of the answer, then bytes without end, until the
// entry closes the connection. All connections share the link.
bool BookWithoutEnd(review::Server& self,
                    review::Stream& stream,
                    const review::ServerRequest& request) {
  if (!review::HasTrouble()) {
    return Book(self, stream, request);
  }
  Record("run " + request.id + " at " + self.id + ", bytes without end");
  ++endless;
  const std::string piece(kPieceBytes, 'x');
  bool open = stream.Send(
      review::AnswerHead(request, "Transfer-Encoding: chunked\r\n") +
      "4\r\ntext\r\n");
  double sent = 0;
  while (open) {
    open = stream.Send(piece);
    sent += static_cast<double>(piece.size());
    std::this_thread::sleep_for(std::chrono::duration<double>(
        static_cast<double>(piece.size()) * endless / kLinkBytesPerSecond));
  }
  --endless;
  Record("server " + self.id + " has sent " + std::to_string(sent / 1e6) +
         " MB for " + request.id);
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  review::OpenRecord(argv[1]);
  const std::string ip = review::NewIp();
  review::Store store(ip);
  std::vector<std::unique_ptr<review::Server>> servers;
  const auto add = [&](const std::string& id, const std::string& service,
                       const review::Server::Handle& handle) {
    servers.push_back(
        std::make_unique<review::Server>(ip, id, service, "tampere", handle));
    store.Put("servers", id, servers.back()->Registration("ready", 1));
  };
  // One of seven servers is in trouble: a share of 0.15.
  add("i-trouble", "kehto", BookWithoutEnd);
  for (int i = 0; i < 6; ++i) {
    add("i-sound-" + std::to_string(i), "kehto", Book);
  }
  for (int i = 0; i < 3; ++i) {
    add("i-upload-" + std::to_string(i), "uniikki", Upload);
  }
  store.Put("op", "config",
            review::ConfigurationText(
                7,
                {{"book", "/book/", "unsafe", "kehto", 5},
                 {"upload", "/upload/", "upload", "uniikki", 8}},
                {"uniikki", "kehto"}));
  std::vector<std::unique_ptr<review::Entry>> entries;
  std::vector<review::Entry*> all;
  for (int i = 0; i < 3; ++i) {
    entries.push_back(std::make_unique<review::Entry>(
        "edge-tampere-" + std::to_string(i + 1), "tampere", store.Where()));
    entries.back()->Start();
    all.push_back(entries.back().get());
  }
  if (!review::WaitUntilReady(all, 20)) {
    Record("the entries are not ready");
    review::Finish(2);
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));

  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> callers;
  const auto call = [&](review::Entry* entry, bool uploads) {
    std::unique_ptr<review::Stream> stream;
    while (!stop) {
      if (!stream) {
        stream = review::Connect(entry->Front(), 1);
        if (!stream) {
          std::this_thread::sleep_for(std::chrono::milliseconds(100));
          continue;
        }
      }
      const std::string id = review::NewRequestId();
      if (uploads) {
        Record("send " + id + " to " + entry->name);
      }
      const auto answer = uploads
                              ? review::Ask(*stream, "POST", "/upload/2f", id,
                                            std::string(60000, 'p'), 10000)
                              : review::Ask(*stream, "POST", "/book/2f", id,
                                            std::string(300, 'p'), 10000);
      if (uploads) {
        const std::lock_guard lock(mutex);
        const bool ran = begun.contains(id);
        Record("answer " + id + " status " + std::to_string(answer.status) +
               " " + answer.ended);
        answered += answer.status == 200 ? 1 : 0;
        if (ran && answer.status == 0 && answer.ended != "timeout") {
          Record("lost " + id + " at " + entry->name);
          ++lost;
        }
      }
      if (answer.status == 0 || !answer.complete ||
          answer.headers.Get("connection") == "close") {
        stream.reset();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  };
  for (review::Entry* entry : all) {
    for (int i = 0; i < kCallersPerEntry; ++i) {
      callers.emplace_back(call, entry, true);
      callers.emplace_back(call, entry, false);
    }
  }
  // The platform.
  std::map<std::string, int> ends;
  std::map<std::string, double> start_at;
  double highest = 0;
  const double end = review::SecondsSinceStart() + kRunS;
  while (review::SecondsSinceStart() < end) {
    for (review::Entry* entry : all) {
      const double now = review::SecondsSinceStart();
      const double memory = entry->MemoryMb();
      highest = std::max(highest, memory);
      const auto restart = start_at.find(entry->name);
      if (restart != start_at.end()) {
        if (now >= restart->second) {
          start_at.erase(restart);
          entry->Start();
        }
        continue;
      }
      if (memory > kMemoryMb || entry->HasEnded()) {
        Record("end of " + entry->name + " at " + std::to_string(memory) +
               " MB");
        entry->Signal(SIGKILL);
        entry->Wait();
        ++ends[entry->name];
        start_at[entry->name] = now + kRestartDelayS;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  int machines = 0;
  for (const auto& [name, count] : ends) {
    Record(name + " ended " + std::to_string(count) + " times");
    machines += count >= kEndsEach ? 1 : 0;
  }
  Record("highest memory " + std::to_string(highest) +
         " MB, uploads answered " + std::to_string(answered) +
         ", run and never answered " + std::to_string(lost));
  Record(std::string("LOST ") + (lost > kLost ? "is broken" : "held") +
         ", Fault " + (machines >= kMachines ? "is broken" : "held"));
  const bool broken = lost > kLost || machines >= kMachines;
  review::Finish(broken ? 1 : answered > 0 ? 0 : 2);
}
