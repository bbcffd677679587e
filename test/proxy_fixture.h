// Runs a complete entry in the test's process with a scripted backend server, a
// fake agent and raw caller connections, all on loopback. All operations block;
// there are no timeouts.
#ifndef TEST_PROXY_FIXTURE_H_
#define TEST_PROXY_FIXTURE_H_

#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <cstring>
#include <functional>
#include <future>
#include <list>
#include <memory>
#include <mutex>
#include <regex>
#include <string>
#include <thread>
#include <vector>

#include "src/entry_server.h"
#include "src/generated/entry_link_generated.h"

namespace acacia {

using Tcp = boost::asio::ip::tcp;

inline Tcp::endpoint Loopback(std::uint16_t port) {
  return {boost::asio::ip::address_v4::loopback(), port};
}

// A blocking connection that reads HTTP messages as text.
class TextStream {
 public:
  explicit TextStream(Tcp::socket socket) : socket(std::move(socket)) {}

  // Returns false if the peer has closed the connection.
  bool Send(const std::string& text) {
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(text), error);
    return !error;
  }

  // Reads up to and including `delimiter`, or to the end if the peer closes
  // first.
  std::string ReadUntil(const std::string& delimiter) {
    while (this->unread.find(delimiter) == std::string::npos && this->Fill()) {
    }
    const std::size_t at = this->unread.find(delimiter);
    return this->Take(at == std::string::npos ? this->unread.size()
                                              : at + delimiter.size());
  }

  std::string ReadBytes(std::size_t count) {
    while (this->unread.size() < count && this->Fill()) {
    }
    return this->Take(std::min(count, this->unread.size()));
  }

  std::string ReadToEnd() {
    while (this->Fill()) {
    }
    return this->Take(this->unread.size());
  }

  // Reads a head and, if it has a Content-Length, the body.
  std::string ReadMessage() {
    std::string head = this->ReadUntil("\r\n\r\n");
    std::smatch match;
    const std::regex length("\r\ncontent-length: ([0-9]+)\r\n",
                            std::regex::icase);
    if (std::regex_search(head, match, length)) {
      head += this->ReadBytes(std::stoul(match[1]));
    }
    return head;
  }

  // True if the peer's close was a reset rather than an end of file.
  bool WasReset() const { return this->reset; }
  void Close() { this->socket.close(); }
  Tcp::socket& Socket() { return this->socket; }

 private:
  bool Fill() {
    std::string space(64 * 1024, '\0');
    boost::system::error_code error;
    const std::size_t got =
        this->socket.read_some(boost::asio::buffer(space), error);
    this->reset = error == boost::asio::error::connection_reset;
    this->unread.append(space, 0, got);
    return !error;
  }

  std::string Take(std::size_t count) {
    std::string taken = this->unread.substr(0, count);
    this->unread.erase(0, count);
    return taken;
  }

  Tcp::socket socket;
  std::string unread;
  bool reset = false;
};

inline std::string Field(const std::string& message, const std::string& name) {
  std::smatch match;
  const std::regex field("\r\n" + name + ": ?([^\r]*)\r\n", std::regex::icase);
  return std::regex_search(message, match, field) ? match[1].str() : "";
}

// 0 if there is no answer.
inline int StatusOf(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

inline std::string BodyOf(const std::string& message) {
  const std::size_t at = message.find("\r\n\r\n");
  return at == std::string::npos ? "" : message.substr(at + 4);
}

// Accepts connections and runs a handler for each on its own thread.
class ThreadedListener {
 public:
  explicit ThreadedListener(std::function<void(TextStream&)> handler)
      : acceptor(context, Loopback(0)), handler(std::move(handler)) {
    this->port = this->acceptor.local_endpoint().port();
    this->thread = std::thread([this] { this->Accept(); });
  }

  ~ThreadedListener() {
    this->stopping = true;
    Tcp::socket wake(this->context);
    boost::system::error_code ignored;
    wake.connect(Loopback(this->port), ignored);
    this->thread.join();
    for (TextStream& stream : this->streams) {
      stream.Socket().shutdown(Tcp::socket::shutdown_both, ignored);
    }
    for (std::thread& each : this->threads) {
      each.join();
    }
  }

  std::uint16_t Port() const { return this->port; }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }
  int Accepted() const { return this->accepted; }

 private:
  void Accept() {
    for (;;) {
      Tcp::socket socket = this->acceptor.accept();
      if (this->stopping) {
        return;
      }
      ++this->accepted;
      TextStream& stream = this->streams.emplace_back(std::move(socket));
      this->threads.emplace_back([this, &stream] {
        this->handler(stream);
        boost::system::error_code ignored;
        stream.Socket().shutdown(Tcp::socket::shutdown_send, ignored);
      });
    }
  }

  boost::asio::io_context context;
  Tcp::acceptor acceptor;
  std::function<void(TextStream&)> handler;
  std::uint16_t port = 0;
  std::atomic<bool> stopping{false};
  std::atomic<int> accepted{0};
  std::list<TextStream> streams;
  std::vector<std::thread> threads;
  std::thread thread;
};

// An agent that sends configurations and fleet updates to one entry, keeps its
// last report and answers its key claims.
class FakeAgent {
 public:
  FakeAgent() : listener([this](TextStream& stream) { this->Serve(stream); }) {}

  template <typename Payload>
  void Send(Payload payload) {
    schema::AgentToEntryT message;
    message.payload.Set(std::move(payload));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::AgentToEntry::Pack(builder, &message));
    const auto size = static_cast<std::uint32_t>(builder.GetSize());
    std::string bytes(reinterpret_cast<const char*>(&size), sizeof(size));
    bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 size);
    const std::unique_lock lock(this->mutex);
    if (this->stream != nullptr) {
      this->stream->Send(bytes);
    }
  }

  // Blocks until a report satisfies the condition.
  void WaitForReport(
      const std::function<bool(const schema::EntryReportT&)>& condition) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(
        lock, [&] { return this->report && condition(*this->report); });
  }

  std::string Address() const { return this->listener.Address(); }

  std::function<schema::KeyClaimReplyT(const schema::KeyClaimT&)> claim =
      [](const schema::KeyClaimT& each) {
        schema::KeyClaimReplyT reply;
        reply.request = each.request;
        reply.known = true;
        reply.granted = true;
        return reply;
      };
  // Called after the entry has connected.
  std::function<void()> on_connected = [] {};

 private:
  void Serve(TextStream& from) {
    {
      const std::unique_lock lock(this->mutex);
      this->stream = &from;
    }
    this->on_connected();
    for (;;) {
      const std::string prefix = from.ReadBytes(4);
      std::uint32_t size = 0;
      if (prefix.size() < sizeof(size)) {
        return;
      }
      std::memcpy(&size, prefix.data(), sizeof(size));
      const std::string bytes = from.ReadBytes(size);
      this->Handle(*flatbuffers::GetRoot<schema::EntryToAgent>(bytes.data()));
    }
  }

  void Handle(const schema::EntryToAgent& message) {
    if (const auto* claimed = message.payload_as_KeyClaim()) {
      const std::unique_ptr<schema::KeyClaimT> copy(claimed->UnPack());
      this->Send(this->claim(*copy));
    }
    if (const auto* reported = message.payload_as_EntryReport()) {
      const std::unique_lock lock(this->mutex);
      this->report.reset(reported->UnPack());
      this->changed.notify_all();
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  TextStream* stream = nullptr;
  std::unique_ptr<schema::EntryReportT> report;
  ThreadedListener listener;
};

// Answers one request on a connection. Returns false to close the connection.
using BackendScript =
    std::function<bool(TextStream& stream, const std::string& request)>;

inline std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Serves each connection by the script.
inline std::function<void(TextStream&)> ServeByScript(BackendScript script) {
  return [script = std::move(script)](TextStream& stream) {
    for (;;) {
      const std::string request = stream.ReadMessage();
      if (request.empty() || !script(stream, request)) {
        return;
      }
    }
  };
}

class ProxyFixture {
 public:
  explicit ProxyFixture(BackendScript script)
      : backend(ServeByScript(std::move(script))) {
    this->settings.instance = "i1";
    this->settings.failure_domain = "a";
    this->settings.caller_listen = "127.0.0.1:0";
    this->settings.operator_listen = "127.0.0.1:0";
    this->settings.caller_advertise = "127.0.0.1:1";
    this->settings.answer_lifetime_ms = 1;
    this->settings.worker_threads = 2;
    this->settings.seed = 1;
    auto service = std::make_unique<schema::ServiceT>();
    service->name = "kehto";
    service->slots_per_backend_server = 8;
    auto server = std::make_unique<schema::BackendServerT>();
    server->address = this->backend.Address();
    service->backend_servers.push_back(std::move(server));
    this->file_set.services.push_back(std::move(service));
    this->AddRoute("/");
    this->agent.on_connected = [this] { this->SendConfiguration(1); };
  }

  schema::RouteT& AddRoute(const std::string& prefix) {
    auto route = std::make_unique<schema::RouteT>();
    route->name = prefix;
    route->path_prefix = prefix;
    route->service = "kehto";
    route->deadline_ms = 60000;
    this->file_set.routes.push_back(std::move(route));
    return *this->file_set.routes.back();
  }

  schema::ServiceT& Service() { return *this->file_set.services.front(); }

  void SendConfiguration(std::uint64_t generation) {
    schema::ConfigurationUpdateT update;
    update.generation = generation;
    update.file_set = std::make_unique<schema::FileSetT>(this->file_set);
    this->agent.Send(std::move(update));
  }

  // Starts the entry and waits until it has received its configuration.
  void Start() {
    this->StartEntry();
    this->agent.WaitForReport(
        [](const schema::EntryReportT& report) { return report.generation; });
  }

  void StartEntry() {
    this->settings.agent_address = this->agent.Address();
    this->entry = std::make_unique<EntryServer>(this->settings, this->clock);
    REQUIRE(this->entry->Listen());
    this->entry->Start();
  }

  TextStream Connect() {
    Tcp::socket socket(this->context);
    socket.connect(Loopback(this->entry->CallerPort()));
    return TextStream(std::move(socket));
  }

  // Sends one request on a new connection and returns the answer.
  std::string RoundTrip(const std::string& request) {
    TextStream caller = this->Connect();
    caller.Send(request);
    return caller.ReadMessage();
  }

  SystemClock clock;
  schema::EntrySettingsT settings;
  schema::FileSetT file_set;
  FakeAgent agent;
  ThreadedListener backend;
  std::unique_ptr<EntryServer> entry;

 private:
  boost::asio::io_context context;
};

}  // namespace acacia

#endif  // TEST_PROXY_FIXTURE_H_
