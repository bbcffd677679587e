#include "review/standins-2/world2.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json/src.hpp>

namespace review {
namespace {

namespace json = boost::json;

const Clock::time_point kBegan = Clock::now();
std::mutex record_mutex;
std::ofstream record_file;

// The processes of this run, which end with it.
constexpr std::size_t kMaxProcesses = 256;
std::atomic<pid_t> processes[kMaxProcesses];

void KillProcesses() {
  for (std::atomic<pid_t>& each : processes) {
    const pid_t pid = each.exchange(0);
    if (pid > 0) {
      kill(pid, SIGKILL);
    }
  }
}

void KeepProcess(pid_t pid) {
  for (std::atomic<pid_t>& each : processes) {
    pid_t free = 0;
    if (each.compare_exchange_strong(free, pid)) {
      return;
    }
  }
}

void ForgetProcess(pid_t pid) {
  for (std::atomic<pid_t>& each : processes) {
    pid_t kept = pid;
    each.compare_exchange_strong(kept, 0);
  }
}

void OnStopSignal(int) {
  KillProcesses();
  std::_Exit(2);
}

std::mt19937_64& Random() {
  thread_local std::mt19937_64 random(std::random_device{}());
  return random;
}

sockaddr_in ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return out;
}

const char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t left = bytes.size() - i;
    std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16;
    group |= left > 1 ? static_cast<unsigned char>(bytes[i + 1]) << 8 : 0;
    group |= left > 2 ? static_cast<unsigned char>(bytes[i + 2]) : 0;
    out += kDigits[group >> 18];
    out += kDigits[(group >> 12) & 63];
    out += left > 1 ? kDigits[(group >> 6) & 63] : '=';
    out += left > 2 ? kDigits[group & 63] : '=';
  }
  return out;
}

std::string Parameter(const std::string& target, const std::string& name) {
  for (const char* before : {"?", "&"}) {
    const std::size_t at = target.find(before + name + "=");
    if (at != std::string::npos) {
      const std::size_t from = at + name.size() + 2;
      return target.substr(from, target.find('&', from) - from);
    }
  }
  return "";
}

std::string Reply(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

bool IsFree(const std::string& ip, int port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ParseAddress(ip + ":" + std::to_string(port));
  const bool is_free = bind(handle, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(handle);
  return is_free;
}

// A block of loopback addresses whose ports for entries are free.
const std::string& Block() {
  static const std::string block = [] {
    for (int at = static_cast<int>(getpid());; ++at) {
      const std::string candidate = "127." +
                                    std::to_string(20 + at / 250 % 200) + "." +
                                    std::to_string(at % 250) + ".";
      if (IsFree(candidate + "1", 18144) && IsFree(candidate + "1", 17660)) {
        return candidate;
      }
    }
  }();
  return block;
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

std::string Number(double number) {
  std::ostringstream out;
  out << number;
  return out.str();
}

}  // namespace

double Now() {
  return Seconds(Clock::now() - kBegan).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(Seconds(seconds));
  }
}

void SleepUntil(double seconds) {
  SleepFor(seconds - Now());
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void OpenRecord(const std::string& file) {
  record_file.open(file, std::ios::trunc);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
}

void Record(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Now());
  const std::lock_guard lock(record_mutex);
  record_file << time << line << "\n";
}

void Finish(int code, const std::string& text) {
  KillProcesses();
  Record("result " + std::to_string(code) + ": " + text);
  const std::lock_guard lock(record_mutex);
  record_file.flush();
  std::cout << (code == 0 ? "held: " : (code == 1 ? "BROKEN: " : "no run: "))
            << text << std::endl;
  std::_Exit(code);
}

std::string Host(int last) {
  return Block() + std::to_string(last);
}

Stream::~Stream() {
  this->Close();
}

void Stream::Close() {
  if (this->handle >= 0) {
    close(std::exchange(this->handle, -1));
  }
}

void Stream::Reset() {
  const linger option{1, 0};
  setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  this->Close();
}

std::unique_ptr<Stream> Stream::Connect(const std::string& address,
                                        double timeout_s) {
  const int handle =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (handle < 0) {
    return nullptr;
  }
  auto stream = std::make_unique<Stream>(handle);
  const sockaddr_in to = ParseAddress(address);
  if (connect(handle, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
          0 &&
      errno != EINPROGRESS) {
    return nullptr;
  }
  pollfd wait{handle, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&wait, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
      getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    return nullptr;
  }
  fcntl(handle, F_SETFL, fcntl(handle, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return stream;
}

bool Stream::Write(const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = send(this->handle, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Stream::Fill(double until) {
  this->timed_out = false;
  pollfd wait{this->handle, POLLIN, 0};
  const double left = until - Now();
  if (left <= 0 ||
      poll(&wait, 1, static_cast<int>(std::min(left, 1e6) * 1000) + 1) != 1) {
    this->timed_out = true;
    return false;
  }
  char bytes[16384];
  const ssize_t count = recv(this->handle, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  this->buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Stream::ReadHead(double until) {
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  std::string head = this->buffer.substr(0, end + 4);
  this->buffer.erase(0, end + 4);
  return head;
}

bool Stream::ReadBody(std::size_t size, std::string* got, double until) {
  while (this->buffer.size() < size) {
    if (!this->Fill(until)) {
      *got += std::exchange(this->buffer, {});
      return false;
    }
  }
  *got += this->buffer.substr(0, size);
  this->buffer.erase(0, size);
  return true;
}

bool Stream::ReadChunked(std::string* got, double until) {
  for (;;) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->Fill(until)) {
        return false;
      }
    }
    const std::size_t size =
        std::strtoul(this->buffer.substr(0, end).c_str(), nullptr, 16);
    this->buffer.erase(0, end + 2);
    std::string line_end;
    if (!this->ReadBody(size, got, until) ||
        !this->ReadBody(2, &line_end, until)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

bool Stream::WaitForClose(double seconds) {
  pollfd wait{this->handle, POLLRDHUP, 0};
  return poll(&wait, 1, static_cast<int>(std::max(seconds, 0.0) * 1000)) == 1 &&
         (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::string Header(const std::string& head, const std::string& name) {
  const std::string lower = LowerCase(head);
  const std::size_t at = lower.find("\r\n" + LowerCase(name) + ":");
  if (at == std::string::npos) {
    return "";
  }
  std::size_t from = at + name.size() + 3;
  while (from < head.size() && head[from] == ' ') {
    ++from;
  }
  return head.substr(from, head.find("\r\n", from) - from);
}

int StatusOf(const std::string& head) {
  const std::size_t at = head.find(' ');
  return at == std::string::npos ? 0 : std::atoi(head.c_str() + at);
}

std::string TargetOf(const std::string& head) {
  const std::size_t from = head.find(' ') + 1;
  return head.substr(from, head.find(' ', from) - from);
}

Listener::Listener(const std::string& host, Serve serve)
    : serve(std::move(serve)), address(host + ":0") {
  this->Open();
}

void Listener::Open() {
  this->handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in local = ParseAddress(this->address);
  socklen_t size = sizeof(local);
  if (bind(this->handle, reinterpret_cast<sockaddr*>(&local), size) != 0 ||
      listen(this->handle, 512) != 0) {
    Finish(2, "cannot listen on " + this->address);
  }
  getsockname(this->handle, reinterpret_cast<sockaddr*>(&local), &size);
  this->address = this->address.substr(0, this->address.rfind(':')) + ":" +
                  std::to_string(ntohs(local.sin_port));
  std::thread([listening = this->handle, serve = this->serve] {
    for (;;) {
      const int accepted = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0 && errno == EINVAL) {
        close(listening);
        return;
      }
      if (accepted < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([accepted, serve] {
        Stream stream(accepted);
        serve(stream);
      }).detach();
    }
  }).detach();
}

void Listener::Shut() {
  shutdown(this->handle, SHUT_RDWR);
}

Store::Store(const std::string& host)
    : listener(std::make_unique<Listener>(host, [this](Stream& stream) {
        this->Answer(stream);
      })) {}

void Store::Write(const std::string& table,
                  const std::string& key,
                  const std::string& value,
                  bool removed) {
  this->tables[table][key] = {value, ++this->version, removed};
  this->changed.notify_all();
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(this->mutex);
  this->Write(table, key, EncodeBase64(value), false);
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->Write(table, key, "", true);
}

std::size_t Store::Count(const std::string& table) {
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const auto& [key, row] : this->tables[table]) {
    count += row.removed ? 0 : 1;
  }
  return count;
}

std::string Store::Rows(const std::string& table,
                        std::int64_t after,
                        bool removed) {
  std::vector<std::pair<std::string, Row>> found;
  for (const auto& [key, row] : this->tables[table]) {
    if (row.version > after && (removed || !row.removed)) {
      found.emplace_back(key, row);
    }
  }
  if (removed) {
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
      return a.second.version < b.second.version;
    });
  }
  json::array rows;
  for (const auto& [key, row] : found) {
    json::object item{{"table", table},
                      {"part", ""},
                      {"key", key},
                      {"ver", row.version},
                      {"value", row.value}};
    if (row.removed) {
      item["tombstone"] = true;
    }
    rows.push_back(std::move(item));
  }
  return json::serialize(json::object{{"rows", std::move(rows)},
                                      {"hasMore", false},
                                      {"ver", this->version},
                                      {"nowS", Now()}});
}

std::string Store::Transact(const std::string& body, int* status) {
  const json::object call = json::parse(body).as_object();
  *status = 200;
  json::array conflicts;
  for (const json::value& each : call.at("expectedRev").as_array()) {
    const json::object& item = each.as_object();
    const std::string table(item.at("table").as_string());
    const std::string key(item.at("key").as_string());
    const auto found = this->tables[table].find(key);
    const std::int64_t held =
        found == this->tables[table].end() || found->second.removed
            ? 0
            : found->second.version;
    if (held != item.at("ver").to_number<std::int64_t>()) {
      *status = 412;
      conflicts.push_back(json::object{
          {"table", table}, {"part", ""}, {"key", key}, {"ver", held}});
    }
  }
  if (*status == 412) {
    return json::serialize(json::object{{"rows", std::move(conflicts)},
                                        {"ver", this->version},
                                        {"nowS", Now()}});
  }
  for (const json::value& each : call.at("putRows").as_array()) {
    const json::object& item = each.as_object();
    this->Write(std::string(item.at("table").as_string()),
                std::string(item.at("key").as_string()),
                std::string(item.at("value").as_string()), false);
  }
  for (const json::value& each : call.at("remove").as_array()) {
    const json::object& item = each.as_object();
    this->Write(std::string(item.at("table").as_string()),
                std::string(item.at("key").as_string()), "", true);
  }
  return json::serialize(json::object{{"ver", this->version}, {"nowS", Now()}});
}

void Store::Answer(Stream& stream) {
  while (const auto head = stream.ReadHead(1e9)) {
    const std::string target = TargetOf(*head);
    std::string body;
    const std::string length = Header(*head, "Content-Length");
    if (!length.empty() &&
        !stream.ReadBody(std::stoul(length), &body, Now() + 5)) {
      return;
    }
    std::unique_lock lock(this->mutex);
    int status = 200;
    std::string answer;
    const std::string table = Parameter(target, "table");
    if (target.find("/rows-get") != std::string::npos) {
      answer = this->Rows(table, 0, false);
    } else if (target.find("/rows-feed") != std::string::npos) {
      const std::int64_t after = std::stoll(Parameter(target, "after"));
      const auto wait =
          std::chrono::milliseconds(std::stoi(Parameter(target, "waitMs")));
      this->changed.wait_for(lock, wait, [&] {
        const auto& rows = this->tables[table];
        return std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
          return row.second.version > after;
        });
      });
      answer = this->Rows(table, after, true);
    } else if (target.find("/rows-tx") != std::string::npos) {
      answer = this->Transact(body, &status);
    } else {
      status = 404;
    }
    lock.unlock();
    const std::string line = status == 200   ? "200 OK"
                             : status == 412 ? "412 Precondition Failed"
                                             : "404 Not Found";
    if (!stream.Write(Reply(line, answer))) {
      return;
    }
  }
}

Endpoint::Endpoint(Store& store, const std::string& host, Options options)
    : store(store),
      options(std::move(options)),
      born(0),
      listener(std::make_unique<Listener>(host, [this](Stream& stream) {
        this->Serve(stream);
      })) {
  this->StartAnew();
}

void Endpoint::StartAnew() {
  this->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count() +
               this->clock_ahead;
}

std::string Endpoint::Report() {
  return json::serialize(json::object{{"service", this->options.service},
                                      {"address", this->Address()},
                                      {"zone", this->options.zone},
                                      {"version", "v1"},
                                      {"slots", this->options.slots},
                                      {"state", this->state},
                                      {"coldLeftS", 0},
                                      {"seq", ++this->sequence},
                                      {"born", this->born}});
}

void Endpoint::Write() {
  this->store.Put("servers", this->options.id, this->Report());
}

void Endpoint::BeatLate(double after_s) {
  const std::lock_guard lock(this->mutex);
  std::thread([this, report = this->Report(), after_s] {
    SleepFor(after_s);
    Record("the store performs a late heartbeat of " + this->options.id + ": " +
           report);
    this->store.Put("servers", this->options.id, report);
  }).detach();
}

void Endpoint::Exit() {
  this->has_ended = true;
  this->listener->Shut();
}

void Endpoint::Crash(double back_after_s) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->registered) {
      return;
    }
    // Its heartbeats cease.
    this->registered = false;
    ++this->incarnation;
  }
  this->listener->Shut();
  std::thread([this, back_after_s] {
    SleepFor(back_after_s);
    {
      const std::lock_guard lock(this->mutex);
      this->running = 0;
      this->waiting = 0;
      this->sequence = 0;
      this->StartAnew();
    }
    this->listener->Open();
    Record("endpoint " + this->options.id + " is back");
    this->Register();
  }).detach();
}

void Endpoint::Register() {
  const std::lock_guard lock(this->mutex);
  this->Write();
  if (!std::exchange(this->registered, true)) {
    std::thread([this] {
      for (;;) {
        SleepFor(1.5);
        const std::lock_guard lock(this->mutex);
        if (!this->registered) {
          return;
        }
        this->Write();
      }
    }).detach();
  }
}

void Endpoint::SetState(const std::string& new_state) {
  const std::lock_guard lock(this->mutex);
  this->state = new_state;
  this->Write();
}

void Endpoint::Unregister() {
  const std::lock_guard lock(this->mutex);
  this->registered = false;
  this->store.Remove("servers", this->options.id);
}

bool Endpoint::Enter(double until) {
  std::unique_lock lock(this->mutex);
  if (this->running >= this->options.slots) {
    if (this->waiting >= this->options.queue) {
      return false;
    }
    ++this->waiting;
    const bool has_slot = this->freed.wait_for(
        lock, Seconds(std::max(until - Now(), 0.0)),
        [&] { return this->running < this->options.slots; });
    --this->waiting;
    if (!has_slot) {
      return false;
    }
  }
  ++this->running;
  return true;
}

void Endpoint::Leave() {
  const std::lock_guard lock(this->mutex);
  --this->running;
  this->freed.notify_one();
}

void Endpoint::Serve(Stream& stream) {
  std::string copy;
  const int begun = this->incarnation;
  const auto is_dead = [&] {
    return this->has_ended || this->incarnation != begun;
  };
  for (;;) {
    std::optional<std::string> head;
    const double idle_until = Now() + 10;
    do {
      head = stream.ReadHead(std::min(Now() + 0.1, idle_until));
    } while (!head && stream.TimedOut() && Now() < idle_until && !is_dead());
    if (!head || is_dead()) {
      stream.Reset();
      return;
    }
    Request request;
    request.head = *head;
    request.id = Header(*head, "X-Acaciaswitch-Request-Id");
    const std::string length = Header(*head, "Content-Length");
    if (Header(*head, "Transfer-Encoding") == "chunked") {
      if (!stream.ReadChunked(&request.body, Now() + 60)) {
        return;
      }
    } else if (!length.empty() && !stream.ReadBody(std::stoul(length),
                                                   &request.body, Now() + 60)) {
      return;
    }
    if (!copy.empty()) {
      Record("endpoint " + this->options.id + " sends the extra answer");
      stream.Write(std::exchange(copy, {}));
    }
    const std::string deadline = Header(*head, "X-Acaciaswitch-Deadline-Ms");
    const double until =
        Now() + (deadline.empty() ? 30 : std::stod(deadline) / 1000);
    const auto headers = [&] {
      const std::lock_guard lock(this->mutex);
      return "X-Acaciaswitch-Request-Id: " + request.id +
             "\r\nX-Acaciaswitch-Server-Load: " +
             std::to_string(this->running) + "," +
             std::to_string(this->waiting) + "," +
             std::to_string(this->options.slots) + "\r\n";
    };
    const std::string expected =
        Header(*head, "X-Acaciaswitch-Expected-Instance");
    std::string answer;
    if (TargetOf(*head) == "/health") {
      answer =
          "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Instance-Id: " + this->options.id +
          "\r\nContent-Length: 0\r\n\r\n";
      if (!stream.Write(answer)) {
        return;
      }
      continue;
    }
    if (!expected.empty() && expected != this->options.id) {
      answer = "HTTP/1.1 421 Misdirected Request\r\n" + headers() +
               "X-Acaciaswitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    } else if (const auto rejected =
                   this->reject ? this->reject(request) : std::nullopt) {
      answer = *rejected;
    } else if (!this->Enter(until)) {
      answer = "HTTP/1.1 503 Service Unavailable\r\n" + headers() +
               "X-Acaciaswitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    if (!answer.empty()) {
      Record("endpoint " + this->options.id + " refuses " + request.id);
      if (!stream.Write(answer)) {
        return;
      }
      copy = this->extra ? this->extra(request, answer) : "";
      continue;
    }
    Record("endpoint " + this->options.id + " runs " + request.id);
    if (this->on_run) {
      this->on_run(request);
    }
    if (this->crashes && this->crashes(request)) {
      // It begins to run, and crashes soon after.
      SleepFor(0.1);
      Record("endpoint " + this->options.id + " crashes by " + request.id);
      this->Crash(3);
      stream.Reset();
      return;
    }
    const double done = std::min(Now() + this->options.work_s, until);
    bool left = false;
    while (Now() < done && !left && !is_dead()) {
      left = stream.WaitForClose(std::min(0.05, done - Now()));
    }
    if (this->incarnation == begun) {
      this->Leave();
    }
    if (left || is_dead()) {
      Record("endpoint " + this->options.id + " drops " + request.id);
      stream.Reset();
      return;
    }
    bool keep = true;
    if (this->answer && this->answer(stream, request, &keep)) {
      if (!keep) {
        return;
      }
      continue;
    }
    answer = "HTTP/1.1 200 OK\r\n" + headers() +
             (this->more_headers ? this->more_headers(request) : "") +
             "X-Acaciaswitch-Response-Signature: " + this->options.id + "." +
             request.id + "\r\nContent-Length: " +
             std::to_string(this->options.answer_bytes) + "\r\n\r\n" +
             std::string(this->options.answer_bytes, 'a');
    if (!stream.Write(answer)) {
      return;
    }
    Record("endpoint " + this->options.id + " answers " + request.id);
    copy = this->extra ? this->extra(request, answer) : "";
  }
}

void Ledger::OnRun(const std::string& id, const std::string& endpoint) {
  const std::lock_guard lock(this->mutex);
  this->runs[id].push_back(endpoint);
}

std::vector<std::string> Ledger::RunsOf(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->runs.find(id);
  return found == this->runs.end() ? std::vector<std::string>() : found->second;
}

Entry::Entry(int number,
             const std::string& zone,
             const std::string& store,
             const std::string& folder,
             const Bounds& bounds)
    : name("edge-" + zone + "-" + std::to_string(number)),
      ip(Host(number)),
      folder(folder),
      bounds(bounds) {
  std::ifstream in("deploy/entry.json.template");
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (text.empty()) {
    Finish(2, "start it in the repository's root");
  }
  const std::vector<std::pair<std::string, std::string>> fields{
      {"node", this->name},
      {"zone", zone},
      {"region", "r"},
      {"ip", this->ip},
      {"listen.front", this->Front()},
      {"listen.ready", this->Ready()},
      {"listen.directory", this->Directory()},
      {"platform.address", store},
      {"internalPorts.0", "17660"},
      {"bounds.graceS", Number(bounds.grace_s)},
      {"bounds.retryBudgetRatio", Number(bounds.retry_budget_ratio)},
      {"bounds.budgetWindowS", Number(bounds.retry_budget_window_s)},
      {"bounds.budgetExtra", Number(bounds.retry_budget_extra)},
      {"bounds.floorShare", Number(bounds.floor_share)}};
  for (const auto& [field, value] : fields) {
    text = Replace(std::move(text), "{{" + field + "}}", value);
  }
  std::ofstream(this->folder + "/" + this->name + ".json") << text;
}

Entry::~Entry() {
  this->Kill();
}

void Entry::Start() {
  const std::string log = this->folder + "/" + this->name + ".log";
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
  std::vector<std::string> words{"target/acacia-entry", "--settings",
                                 this->folder + "/" + this->name + ".json"};
  const char* path = std::getenv("PATH");
  std::vector<std::string> variables{
      "PATH=" + std::string(path == nullptr ? "" : path),
      "ACACIA_MEMORY_MB=" + std::to_string(this->bounds.memory_mb),
      "ACACIA_MAX_DESCRIPTORS=" + std::to_string(this->bounds.max_fds)};
  std::vector<char*> arguments;
  std::vector<char*> environment;
  for (std::string& each : words) {
    arguments.push_back(each.data());
  }
  for (std::string& each : variables) {
    environment.push_back(each.data());
  }
  arguments.push_back(nullptr);
  environment.push_back(nullptr);
  const int error = posix_spawn(&this->pid, arguments[0], &actions, nullptr,
                                arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  close(output);
  if (error != 0) {
    this->pid = 0;
    Finish(2, "cannot start target/acacia-entry");
  }
  KeepProcess(this->pid);
  Record("start " + this->name);
}

void Entry::Signal(int number) const {
  if (this->pid > 0) {
    Record("signal " + std::to_string(number) + " to " + this->name);
    kill(this->pid, number);
  }
}

void Entry::Kill() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    ForgetProcess(this->pid);
    waitpid(std::exchange(this->pid, 0), nullptr, 0);
  }
}

bool Entry::HasEnded() {
  if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    ForgetProcess(this->pid);
    this->pid = 0;
  }
  return this->pid == 0;
}

bool Entry::IsReady() const {
  const auto stream = Stream::Connect(this->Ready(), 1);
  if (!stream ||
      !stream->Write("GET /acaciaswitch/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
    return false;
  }
  const auto head = stream->ReadHead(Now() + 1);
  return head && StatusOf(*head) == 200;
}

bool Fleet::Start(double timeout_s) {
  for (const auto& each : this->entries) {
    each->Start();
  }
  const double until = Now() + timeout_s;
  for (const auto& each : this->entries) {
    while (!each->IsReady()) {
      if (Now() > until || each->HasEnded()) {
        this->KillAll();
        return false;
      }
      SleepFor(0.1);
    }
  }
  // The entries need some moments to hear of each other.
  SleepFor(2);
  return true;
}

void Fleet::KillAll() {
  for (const auto& each : this->entries) {
    each->Kill();
  }
}

Outcome Send(const std::string& address,
             const std::string& method,
             const std::string& path,
             const std::string& id,
             const std::string& body,
             double deadline_s,
             const std::string& more_headers) {
  Outcome outcome;
  outcome.sent_at = Now();
  const double until = outcome.sent_at + deadline_s;
  Record("client sends " + id + " " + method + " " + path + " to " + address);
  const auto stream = Stream::Connect(address, 1);
  const auto finish = [&](const std::string& what) {
    outcome.ended_at = Now();
    Record("client has " + id + ": " + what);
    return outcome;
  };
  if (!stream) {
    outcome.ended = true;
    return finish("no connection");
  }
  std::string head = method + " " + path +
                     " HTTP/1.1\r\nHost: h.example\r\n"
                     "X-Acaciaswitch-Request-Id: " +
                     id + "\r\nX-Acaciaswitch-Deadline-Ms: " +
                     std::to_string(static_cast<int>(deadline_s * 1000)) +
                     "\r\n" + more_headers;
  if (!body.empty() || method == "POST") {
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  if (!stream->Write(head + "\r\n" + body)) {
    outcome.ended = true;
    return finish("connection broke while sending");
  }
  const auto answer = stream->ReadHead(until);
  if (!answer) {
    outcome.ended = !stream->TimedOut();
    return finish(outcome.ended ? "closed without an answer" : "deadline");
  }
  outcome.head = *answer;
  if (Header(*answer, "Transfer-Encoding") == "chunked") {
    outcome.whole = stream->ReadChunked(&outcome.body, until);
  } else {
    const std::string length = Header(*answer, "Content-Length");
    outcome.whole = stream->ReadBody(length.empty() ? 0 : std::stoul(length),
                                     &outcome.body, until);
  }
  outcome.ended = outcome.whole || !stream->TimedOut();
  outcome.status = outcome.whole ? StatusOf(*answer) : 0;
  return finish(outcome.whole ? std::to_string(outcome.status)
                : outcome.ended
                    ? "an answer that broke off"
                    : "deadline after " + std::to_string(outcome.body.size()) +
                          " bytes of the answer");
}

std::string Configuration(int version,
                          const std::vector<RouteSpec>& routes,
                          const std::vector<std::string>& services,
                          int max_conns) {
  json::array resources;
  for (const RouteSpec& each : routes) {
    resources.push_back(json::object{
        {"resourceKind", "routes"},
        {"metadata", json::object{{"name", each.name}}},
        {"spec", json::object{{"host", "h.example"},
                              {"prefix", each.prefix},
                              {"kind", each.kind},
                              {"timeoutS", each.timeout_s},
                              {"targetLatencyS", each.target_latency_s},
                              {"priority", each.priority},
                              {"service", each.service},
                              {"maxAttempts", each.max_attempts}}}});
  }
  for (const std::string& each : services) {
    resources.push_back(
        json::object{{"resourceKind", "services"},
                     {"metadata", json::object{{"name", each}}},
                     {"spec", json::object{{"healthPath", "/health"},
                                           {"maxConns", max_conns},
                                           {"protocol", "h1"},
                                           {"tls", false}}}});
  }
  resources.push_back(
      json::object{{"resourceKind", "limits"},
                   {"metadata", json::object()},
                   {"spec", json::object{{"maxHeaderBytes", 16384},
                                         {"maxBodyBytes", 67108864},
                                         {"headerTimeoutS", 3},
                                         {"idleTimeoutS", 15}}}});
  return json::serialize(
      json::object{{"version", "r" + std::to_string(version)},
                   {"resources", std::move(resources)}});
}

std::string NewId() {
  char text[32];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(Random()()));
  return text;
}

}  // namespace review
