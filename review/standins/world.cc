#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace review {
namespace {

const TimePoint kStart = Clock::now();
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::uint16_t kOperatorPort = 9464;
constexpr unsigned kLongestRunSeconds = 118;

std::mutex record_mutex;
std::FILE* record = nullptr;

// The running entries.
std::mutex processes_mutex;
std::set<pid_t> processes;

std::mutex random_mutex;
std::mt19937_64 random_engine{std::random_device{}()};

std::uint64_t Random() {
  const std::lock_guard lock(random_mutex);
  return random_engine();
}

sockaddr_in ToSocket(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > bytes.size();
      out += padding ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

int HexValue(char c) {
  return c >= '0' && c <= '9' ? c - '0' : std::tolower(c) - 'a' + 10;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> out;
  const std::size_t at = target.find('?');
  std::istringstream query(at == std::string::npos ? ""
                                                   : target.substr(at + 1));
  std::string item;
  while (std::getline(query, item, '&')) {
    const std::size_t equals = item.find('=');
    out[item.substr(0, equals)] =
        equals == std::string::npos ? "" : Unescape(item.substr(equals + 1));
  }
  return out;
}

// Finds the text of a string or number field in an object without nested
// objects.
std::string Field(const std::string& object, const std::string& name) {
  const std::size_t at = object.find("\"" + name + "\":");
  if (at == std::string::npos) {
    return "";
  }
  std::size_t begin = at + name.size() + 3;
  if (object[begin] == '"') {
    ++begin;
    return object.substr(begin, object.find('"', begin) - begin);
  }
  return object.substr(begin, object.find_first_of(",}", begin) - begin);
}

// Splits a list of objects without nested objects, the value of `name`.
std::vector<std::string> Objects(const std::string& text,
                                 const std::string& name) {
  std::vector<std::string> out;
  std::size_t at = text.find("\"" + name + "\":[");
  if (at == std::string::npos) {
    return out;
  }
  const std::size_t end = text.find(']', at);
  for (at = text.find('{', at); at < end; at = text.find('{', at + 1)) {
    out.push_back(text.substr(at, text.find('}', at) - at + 1));
  }
  return out;
}

std::string Reply(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ReplaceAll(std::string text,
                       const std::string& from,
                       const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// The run command of the deploy file's role.
std::string RunCommand() {
  std::istringstream lines(ReadFile("deploy/system.toml"));
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("run = \"")) {
      return line.substr(7, line.rfind('"') - 7);
    }
  }
  return "";
}

}  // namespace

void Finish(int exit_code) {
  {
    const std::lock_guard lock(processes_mutex);
    for (const pid_t each : processes) {
      ::kill(each, SIGKILL);
      ::waitpid(each, nullptr, 0);
    }
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(TemporaryFolder(), ignored);
  }
  std::_Exit(exit_code);
}

double SecondsSinceStart() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepUntil(double seconds_since_start) {
  std::this_thread::sleep_until(
      kStart + std::chrono::duration_cast<Clock::duration>(
                   std::chrono::duration<double>(seconds_since_start)));
}

void OpenRecord(const std::string& file) {
  signal(SIGPIPE, SIG_IGN);
  ::alarm(kLongestRunSeconds);
  record = std::fopen(file.c_str(), "w");
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  std::fprintf(record, "%8.3f %s\n", SecondsSinceStart(), line.c_str());
  std::fflush(record);
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string Headers::Get(const std::string& name) const {
  const auto found = this->find(name);
  return found == this->end() ? "" : found->second;
}

Stream::~Stream() {
  this->Close();
}

void Stream::Close() {
  if (this->handle >= 0) {
    ::close(this->handle);
    this->handle = -1;
  }
}

bool Stream::Send(const std::string& bytes, double timeout_s) {
  const double end = SecondsSinceStart() + timeout_s;
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    pollfd waiting{this->handle, POLLOUT, 0};
    const double left = std::max(0.0, end - SecondsSinceStart());
    if (::poll(&waiting, 1, static_cast<int>(left * 1000)) <= 0) {
      this->errno_at_end = ETIMEDOUT;
      return false;
    }
    const ssize_t count =
        ::send(this->handle, bytes.data() + sent, bytes.size() - sent,
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0 && errno != EAGAIN) {
      this->errno_at_end = errno;
      return false;
    }
    sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
  }
  return true;
}

bool Stream::Fill(double timeout_s) {
  pollfd waiting{this->handle, POLLIN, 0};
  const int ready =
      ::poll(&waiting, 1, static_cast<int>(std::max(0.0, timeout_s) * 1000));
  if (ready <= 0) {
    this->errno_at_end = ETIMEDOUT;
    return false;
  }
  std::string piece(kReadBytes, '\0');
  const ssize_t count = ::recv(this->handle, piece.data(), piece.size(), 0);
  if (count <= 0) {
    this->errno_at_end = count == 0 ? 0 : errno;
    return false;
  }
  this->buffer.append(piece, 0, static_cast<std::size_t>(count));
  return true;
}

bool Stream::ReadHead(Message& message, double timeout_s) {
  const double end = SecondsSinceStart() + timeout_s;
  std::size_t at = 0;
  while ((at = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(end - SecondsSinceStart())) {
      return false;
    }
  }
  std::istringstream head(this->buffer.substr(0, at + 2));
  this->buffer.erase(0, at + 4);
  std::getline(head, message.first_line);
  std::string line;
  while (std::getline(head, line)) {
    line.resize(line.size() - 1);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace(
          LowerCase(line.substr(0, colon)),
          value == std::string::npos ? "" : line.substr(value));
    }
  }
  return true;
}

bool Stream::ReadBytes(std::size_t count, std::string& out, double timeout_s) {
  const double end = SecondsSinceStart() + timeout_s;
  while (this->buffer.size() < count) {
    if (!this->Fill(end - SecondsSinceStart())) {
      out = this->buffer;
      return false;
    }
  }
  out = this->buffer.substr(0, count);
  this->buffer.erase(0, count);
  return true;
}

std::unique_ptr<Stream> Connect(const Address& to, double timeout_s) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto stream = std::make_unique<Stream>(handle);
  const timeval limit{static_cast<time_t>(timeout_s),
                      static_cast<suseconds_t>(
                          (timeout_s - static_cast<int>(timeout_s)) * 1e6)};
  ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = ToSocket(to);
  if (::connect(handle, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    return nullptr;
  }
  const timeval none{};
  ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof(none));
  const int on = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return stream;
}

namespace {

bool TryBind(const Address& where, int type) {
  const int handle = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocket(where);
  const int bound = ::bind(handle, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address));
  ::close(handle);
  return bound == 0;
}

}  // namespace

bool IsFree(const std::string& ip, std::uint16_t port) {
  return TryBind({ip, port}, SOCK_STREAM);
}

std::uint16_t FreePort(const std::string& ip, bool udp_too) {
  for (;;) {
    // Below the ports that the system gives to outgoing connections.
    const auto port = static_cast<std::uint16_t>(10000 + Random() % 20000);
    if (IsFree(ip, port) && (!udp_too || TryBind({ip, port}, SOCK_DGRAM))) {
      return port;
    }
  }
}

std::string NewIp() {
  for (;;) {
    const std::string ip = "127." + std::to_string(10 + Random() % 200) + "." +
                           std::to_string(Random() % 250) + "." +
                           std::to_string(2 + Random() % 250);
    if (IsFree(ip, kOperatorPort)) {
      return ip;
    }
  }
}

Listener::Listener(const std::string& ip, Serve serve, int receive_buffer_bytes)
    : serve(std::move(serve)),
      handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  this->where = {ip, FreePort(ip)};
  const int on = 1;
  ::setsockopt(this->handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer_bytes > 0) {
    ::setsockopt(this->handle, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
  }
  const sockaddr_in address = ToSocket(this->where);
  if (::bind(this->handle, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(this->handle, 1024) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  this->thread = std::thread([this] { this->Accept(); });
}

void Listener::Accept() {
  while (!this->stopped) {
    pollfd waiting{this->handle, POLLIN, 0};
    if (::poll(&waiting, 1, 50) <= 0) {
      continue;
    }
    const int accepted =
        ::accept4(this->handle, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard lock(this->mutex);
      this->open.insert(accepted);
    }
    ++this->running;
    std::thread([this, accepted] {
      Stream stream(accepted);
      this->serve(stream);
      {
        const std::lock_guard lock(this->mutex);
        this->open.erase(accepted);
      }
      stream.Close();
      --this->running;
    }).detach();
  }
}

void Listener::Stop() {
  if (this->stopped.exchange(true)) {
    return;
  }
  this->thread.join();
  ::close(this->handle);
  const std::lock_guard lock(this->mutex);
  for (const int each : this->open) {
    ::shutdown(each, SHUT_RDWR);
  }
}

void Listener::ResetAll() {
  const std::lock_guard lock(this->mutex);
  for (const int each : this->open) {
    const linger now{1, 0};
    ::setsockopt(each, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::shutdown(each, SHUT_RD);
  }
}

Listener::~Listener() {
  this->Stop();
  for (int i = 0; i < 200 && this->running > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

Store::Store(const std::string& ip)
    : listener(std::make_unique<Listener>(ip, [this](Stream& stream) {
        this->Serve(stream);
      })) {}

std::uint64_t Store::PutAll(const std::string& table,
                            const std::map<std::string, std::string>& rows) {
  const std::lock_guard lock(this->mutex);
  ++this->version;
  for (const auto& [key, value] : rows) {
    this->tables[table][key] = {Base64(value), this->version, false};
  }
  this->changed.notify_all();
  return this->version;
}

std::uint64_t Store::Put(const std::string& table,
                         const std::string& key,
                         const std::string& value) {
  return this->PutAll(table, {{key, value}});
}

std::uint64_t Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(this->mutex);
  ++this->version;
  this->tables[table][key] = {"", this->version, true};
  this->changed.notify_all();
  return this->version;
}

std::set<std::string> Store::Keys(const std::string& table) {
  const std::lock_guard lock(this->mutex);
  std::set<std::string> keys;
  for (const auto& [key, row] : this->tables[table]) {
    if (!row.removed) {
      keys.insert(key);
    }
  }
  return keys;
}

// Called with the lock held.
std::string Store::Rows(const std::map<std::string, std::string>& query,
                        std::uint64_t after,
                        bool changes) {
  std::vector<std::pair<std::uint64_t, std::string>> found;
  const std::string table = query.at("table");
  for (const auto& [key, row] : this->tables[table]) {
    if (changes ? row.version <= after : row.removed) {
      continue;
    }
    found.emplace_back(changes ? row.version : 0,
                       R"({"table":")" + table + R"(","part":"","key":")" +
                           key + R"(","value":")" + row.value + R"(","ver":)" +
                           std::to_string(row.version) +
                           (row.removed ? R"(,"tombstone":true})" : "}"));
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::string body = R"({"rows":[)";
  for (std::size_t i = 0; i < found.size(); ++i) {
    body += (i > 0 ? "," : "") + found[i].second;
  }
  return body + R"(],"hasMore":false,"ver":)" + std::to_string(this->version) +
         R"(,"nowS":)" + std::to_string(SecondsSinceStart()) + "}";
}

std::string Store::Transact(const std::string& body, int& status) {
  const std::lock_guard lock(this->mutex);
  for (const std::string& each : Objects(body, "expectedRev")) {
    const Row& row = this->tables[Field(each, "table")][Field(each, "key")];
    const std::uint64_t held = row.removed ? 0 : row.version;
    if (std::to_string(held) != Field(each, "ver")) {
      status = 412;
      return R"({"rows":[],"ver":)" + std::to_string(this->version) + "}";
    }
  }
  ++this->version;
  for (const std::string& each : Objects(body, "putRows")) {
    this->tables[Field(each, "table")][Field(each, "key")] = {
        Field(each, "value"), this->version, false};
  }
  for (const std::string& each : Objects(body, "remove")) {
    this->tables[Field(each, "table")][Field(each, "key")] = {"", this->version,
                                                              true};
  }
  this->changed.notify_all();
  status = 200;
  return R"({"ver":)" + std::to_string(this->version) + R"(,"nowS":)" +
         std::to_string(SecondsSinceStart()) + "}";
}

void Store::Serve(Stream& stream) {
  for (;;) {
    Message message;
    if (!stream.ReadHead(message, 3600)) {
      return;
    }
    std::istringstream line(message.first_line);
    std::string method;
    std::string target;
    line >> method >> target;
    const std::string length = message.headers.Get("content-length");
    if (!stream.ReadBytes(length.empty() ? 0 : std::stoul(length), message.body,
                          10)) {
      return;
    }
    // "4 ms an answer"
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    const auto query = ParseQuery(target);
    int status = 200;
    std::string body;
    if (target.starts_with("/acaciaswitch/rows-tx")) {
      body = this->Transact(message.body, status);
    } else if (target.starts_with("/acaciaswitch/rows-get")) {
      const std::lock_guard lock(this->mutex);
      body = this->Rows(query, 0, false);
    } else if (target.starts_with("/acaciaswitch/rows-feed")) {
      const std::uint64_t after = std::stoull(query.at("after"));
      std::unique_lock lock(this->mutex);
      this->changed.wait_for(
          lock, std::chrono::milliseconds(std::stoul(query.at("waitMs"))), [&] {
            const auto& rows = this->tables[query.at("table")];
            return std::any_of(rows.begin(), rows.end(), [&](const auto& each) {
              return each.second.version > after;
            });
          });
      body = this->Rows(query, after, true);
    } else {
      status = 404;
    }
    if (!stream.Send(Reply(status, body))) {
      return;
    }
  }
}

Proxy::Proxy(const std::string& ip, Address target)
    : target(std::move(target)),
      listener(std::make_unique<Listener>(ip, [this](Stream& stream) {
        this->Serve(stream);
      })) {}

void Proxy::Cut() {
  this->cut = true;
  this->listener->ResetAll();
}

void Proxy::Heal() {
  this->cut = false;
}

void Proxy::Serve(Stream& stream) {
  const auto reset = [&stream] {
    const linger now{1, 0};
    ::setsockopt(stream.Handle(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  };
  if (this->cut) {
    return reset();
  }
  const auto onward = Connect(this->target, 1);
  if (!onward) {
    return reset();
  }
  for (;;) {
    pollfd waiting[2] = {{stream.Handle(), POLLIN, 0},
                         {onward->Handle(), POLLIN, 0}};
    ::poll(waiting, 2, 20);
    if (this->cut) {
      return reset();
    }
    for (int i = 0; i < 2; ++i) {
      Stream& from = i == 0 ? stream : *onward;
      Stream& to = i == 0 ? *onward : stream;
      if (waiting[i].revents == 0) {
        continue;
      }
      if (!from.Fill(0) || !to.Send(from.buffer)) {
        return;
      }
      from.buffer.clear();
    }
  }
}

Server::Server(const std::string& ip,
               std::string id,
               std::string service,
               std::string zone,
               Handle handle,
               int receive_buffer_bytes)
    : id(std::move(id)),
      service(std::move(service)),
      zone(std::move(zone)),
      handle(std::move(handle)),
      born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      listener(std::make_unique<Listener>(
          ip,
          [this](Stream& stream) { this->Serve(stream); },
          receive_buffer_bytes)) {}

std::string Server::Registration(const std::string& state, int sequence) const {
  return R"({"service":")" + this->service + R"(","address":")" +
         this->Where().Text() + R"(","zone":")" + this->zone +
         R"(","version":"v1","slots":6,"state":")" + state +
         R"(","coldLeftS":0,"seq":)" + std::to_string(sequence) +
         R"(,"born":)" + std::to_string(this->born) + "}";
}

void Server::Serve(Stream& stream) {
  for (;;) {
    Message message;
    if (!stream.ReadHead(message, 3600)) {
      return;
    }
    ServerRequest request;
    std::istringstream line(message.first_line);
    line >> request.method >> request.target;
    request.id = message.headers.Get("x-acaciaswitch-request-id");
    const std::string length = message.headers.Get("content-length");
    request.content_length = length.empty() ? 0 : std::stoul(length);
    request.headers = message.headers;
    const std::string expected =
        message.headers.Get("x-acaciaswitch-expected-instance");
    if (!expected.empty() && expected != this->id) {
      std::string body;
      stream.ReadBytes(request.content_length, body, 10);
      stream.Send(
          "HTTP/1.1 421 Misdirected Request\r\n"
          "X-Acaciaswitch-Request-Id: " +
          request.id +
          "\r\nX-Acaciaswitch-Not-Executed: 1\r\n"
          "X-Acaciaswitch-Instance-Id: " +
          this->id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (!this->handle(*this, stream, request)) {
      return;
    }
  }
}

bool ReadRequestBody(Stream& stream, const ServerRequest& request) {
  std::string body;
  return stream.ReadBytes(request.content_length, body, 60);
}

std::string AnswerHead(const ServerRequest& request, const std::string& rest) {
  return "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Request-Id: " + request.id +
         "\r\nX-Acaciaswitch-Response-Signature: signed-" + request.id +
         "\r\n" + rest + "\r\n";
}

bool AnswerPlain(Stream& stream,
                 const ServerRequest& request,
                 const std::string& body,
                 double work_s) {
  if (!ReadRequestBody(stream, request)) {
    return false;
  }
  std::this_thread::sleep_for(std::chrono::duration<double>(work_s));
  return stream.Send(
      AnswerHead(request,
                 "Content-Length: " + std::to_string(body.size()) + "\r\n") +
      body);
}

const std::string& TemporaryFolder() {
  static const std::string folder = [] {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
      std::_Exit(2);
    }
    return name;
  }();
  return folder;
}

Entry::Entry(std::string name, std::string zone, const Address& store)
    : name(std::move(name)) {
  const std::string ip = NewIp();
  this->front = {ip, FreePort(ip)};
  this->ready = {ip, FreePort(ip)};
  const Address directory{ip, FreePort(ip)};
  std::string text = ReadFile("deploy/entry.json.template");
  const std::map<std::string, std::string> fields = {
      {"{{node}}", this->name},
      {"{{zone}}", zone},
      {"{{region}}", "suomi"},
      {"{{listen.front}}", this->front.Text()},
      {"{{ip}}", ip},
      {"{{platform.address}}", store.Text()},
      {"{{listen.directory}}", directory.Text()},
      {"{{listen.ready}}", this->ready.Text()},
      {"{{internalPorts.0}}", std::to_string(FreePort(ip, true))},
      {"{{bounds.graceS}}", "6"},
      {"{{bounds.retryBudgetRatio}}", "0.2"},
      {"{{bounds.budgetWindowS}}", "10"},
      {"{{bounds.budgetExtra}}", "56"},
      {"{{bounds.floorShare}}", "0.7"}};
  for (const auto& [from, to] : fields) {
    text = ReplaceAll(std::move(text), from, to);
  }
  this->settings_file = TemporaryFolder() + "/" + this->name + ".json";
  this->log_file = TemporaryFolder() + "/" + this->name + ".log";
  std::ofstream(this->settings_file) << text;
  this->command = ReplaceAll(RunCommand(), "/etc/acaciaswitch/local.json",
                             this->settings_file);
}

void Entry::Start() {
  std::vector<std::string> words;
  std::istringstream split(this->command);
  for (std::string word; split >> word;) {
    words.push_back(word);
  }
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const int log = ::open(this->log_file.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  this->pid = ::fork();
  if (this->pid == 0) {
    // Ends with this program, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execv(arguments[0], arguments.data());
    std::_Exit(127);
  }
  ::close(log);
  const std::lock_guard lock(processes_mutex);
  processes.insert(this->pid);
}

void Entry::Signal(int signal) {
  if (this->pid > 0) {
    ::kill(this->pid, signal);
  }
}

void Entry::Wait() {
  if (this->pid > 0) {
    ::waitpid(this->pid, nullptr, 0);
    const std::lock_guard lock(processes_mutex);
    processes.erase(this->pid);
    this->pid = -1;
  }
}

bool Entry::HasEnded() {
  if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    const std::lock_guard lock(processes_mutex);
    processes.erase(this->pid);
    this->pid = -1;
  }
  return this->pid <= 0;
}

Entry::~Entry() {
  this->Signal(SIGKILL);
  this->Wait();
}

bool Entry::IsReady() const {
  const auto stream = Connect(this->ready, 1);
  Message message;
  return stream &&
         stream->Send("GET /acaciaswitch/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         stream->ReadHead(message, 1) &&
         message.first_line.find(" 200 ") != std::string::npos;
}

double Entry::MemoryMb() const {
  std::istringstream lines(
      ReadFile("/proc/" + std::to_string(this->pid) + "/status"));
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(6)) / 1024;
    }
  }
  return 0;
}

bool WaitUntilReady(const std::vector<Entry*>& entries, double timeout_s) {
  const double end = SecondsSinceStart() + timeout_s;
  while (SecondsSinceStart() < end) {
    if (std::all_of(entries.begin(), entries.end(),
                    [](const Entry* each) { return each->IsReady(); })) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

std::string ConfigurationText(int version,
                              const std::vector<RouteText>& routes,
                              const std::set<std::string>& services) {
  std::ostringstream out;
  out << R"({"version":"r)" << version << R"(","resources":[)";
  for (const RouteText& route : routes) {
    out << R"({"resourceKind":"routes","metadata":{"name":")" << route.name
        << R"("},"spec":{"host":")" << kHost << R"(","prefix":")"
        << route.prefix << R"(","kind":")" << route.kind << R"(","timeoutS":)"
        << route.timeout_s
        << R"(,"targetLatencyS":1.5,"priority":1,"service":")" << route.service
        << R"(","maxAttempts":2}},)";
  }
  for (const std::string& service : services) {
    out << R"({"resourceKind":"services","metadata":{"name":")" << service
        << R"("},"spec":{"healthPath":"/health","maxConns":330,)"
        << R"("protocol":"h1","tls":false}},)";
  }
  out << R"({"resourceKind":"limits","metadata":{},"spec":{)"
      << R"("maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      << R"("headerTimeoutS":3,"idleTimeoutS":15}}]})";
  return out.str();
}

std::string NewRequestId() {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(Random()));
  return text;
}

namespace {

std::string EndOf(const Stream& stream) {
  switch (stream.errno_at_end) {
    case 0:
      return "end";
    case ETIMEDOUT:
      return "timeout";
    default:
      return "reset";
  }
}

}  // namespace

CallerAnswer ReadAnswer(Stream& stream, double timeout_s) {
  const double begin = SecondsSinceStart();
  const double end = begin + timeout_s;
  const auto left = [end] { return end - SecondsSinceStart(); };
  CallerAnswer answer;
  Message head;
  do {
    head = {};
    if (!stream.ReadHead(head, left())) {
      answer.ended = EndOf(stream);
      answer.seconds = SecondsSinceStart() - begin;
      return answer;
    }
    answer.status = std::stoi(head.first_line.substr(9, 3));
  } while (answer.status < 200);
  answer.headers = head.headers;
  const std::string length = head.headers.Get("content-length");
  if (LowerCase(head.headers.Get("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t eol = 0;
      bool open = true;
      while (open && (eol = stream.buffer.find("\r\n")) == std::string::npos) {
        open = stream.Fill(left());
      }
      if (!open) {
        break;
      }
      const std::size_t size = std::stoul(stream.buffer, nullptr, 16);
      stream.buffer.erase(0, eol + 2);
      std::string piece;
      if (!stream.ReadBytes(size + 2, piece, left())) {
        answer.body += piece;
        break;
      }
      answer.body += piece.substr(0, size);
      if (size == 0) {
        answer.complete = true;
        break;
      }
    }
  } else if (!length.empty()) {
    answer.complete = stream.ReadBytes(std::stoul(length), answer.body, left());
  } else {
    // The end of the connection ends the answer; a reset cuts it short.
    while (stream.Fill(left())) {
    }
    answer.body = std::move(stream.buffer);
    stream.buffer.clear();
    answer.complete = stream.errno_at_end == 0;
    answer.ended = EndOf(stream);
  }
  if (!answer.complete) {
    answer.ended = EndOf(stream);
  }
  answer.seconds = SecondsSinceStart() - begin;
  return answer;
}

CallerAnswer Ask(Stream& stream,
                 const std::string& method,
                 const std::string& target,
                 const std::string& id,
                 const std::string& body,
                 int deadline_ms) {
  std::string request =
      method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
      "\r\nX-Acaciaswitch-Request-Id: " + id +
      "\r\nX-Acaciaswitch-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method != "GET") {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  const double begin = SecondsSinceStart();
  const double timeout_s = deadline_ms / 1000.0;
  CallerAnswer answer;
  if (stream.Send(request + "\r\n" + body, timeout_s) ||
      stream.errno_at_end != ETIMEDOUT) {
    // The answer may have come before the request was sent.
    answer = ReadAnswer(stream, timeout_s - (SecondsSinceStart() - begin));
  } else {
    answer.ended = EndOf(stream);
  }
  answer.seconds = SecondsSinceStart() - begin;
  return answer;
}

}  // namespace review
