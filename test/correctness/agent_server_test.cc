#include "src/agent_server.h"

#include <string>

#include "src/acaciactl.h"
#include "src/framed_stream.h"
#include "src/http_client.h"
#include "test/io_fixture.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;

// A minimal entry: the entry's end of the link, driven by the test.
class FakeEntry {
 public:
  FakeEntry(net::io_context& context, std::uint16_t port)
      : context(context), socket(context) {
    this->socket.connect({net::ip::make_address("127.0.0.1"), port});
  }

  // Returns the next message, or nothing when the agent closed the link.
  std::optional<schema::AgentToEntryT> Read() {
    auto frame = RunAwaitable(this->context, ReadFrame(this->socket));
    if (!frame) {
      return std::nullopt;
    }
    flatbuffers::Verifier verifier(
        reinterpret_cast<const std::uint8_t*>(frame->data()), frame->size());
    REQUIRE(verifier.VerifyBuffer<schema::AgentToEntry>(nullptr));
    schema::AgentToEntryT message;
    flatbuffers::GetRoot<schema::AgentToEntry>(frame->data())
        ->UnPackTo(&message);
    return message;
  }

  // Reads up to the next configuration and returns its generation.
  std::uint64_t ReadGeneration() {
    for (;;) {
      auto message = this->Read();
      REQUIRE(message);
      if (const auto* update = message->payload.AsConfigurationUpdate()) {
        return update->generation;
      }
    }
  }

  void Write(std::string bytes) {
    RunAwaitable(this->context, WriteFrame(this->socket, std::move(bytes)));
  }

  template <typename Payload>
  void Send(const Payload& payload) {
    schema::EntryToAgentT message;
    message.payload.Set(Payload(payload));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::CreateEntryToAgent(builder, &message));
    this->Write({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 builder.GetSize()});
  }

 private:
  net::io_context& context;
  Tcp::socket socket;
};

struct AgentFixture : PlatformFixture {
  AgentFixture() : agent(context.get_executor(), Settings(Address()), clock) {
    REQUIRE(this->agent.Start());
  }

  static schema::AgentSettingsT Settings(const std::string& platform) {
    schema::AgentSettingsT settings;
    settings.instance = "e1";
    settings.failure_domain = "a";
    settings.peer_listen = "127.0.0.1:0";
    settings.entry_listen = "127.0.0.1:0";
    settings.operator_listen = "127.0.0.1:0";
    settings.caller_advertise = "127.0.0.1:9";
    settings.operator_token = "t";
    settings.platform_address = platform;
    settings.tick_ms = 10;
    settings.seed = 1;
    return settings;
  }

  void Apply(const std::string& write_id) {
    PublishRequest request;
    auto service = std::make_unique<schema::ServiceT>();
    service->name = "kehto";
    service->discovery = "kehto";
    request.file_set.services.push_back(std::move(service));
    request.write_id = write_id;
    PlatformClient client(this->Address(), this->clock);
    const PublishOutcome outcome =
        RunAwaitable(this->context, Publish(client, std::move(request)));
    REQUIRE(std::holds_alternative<PublishAccepted>(outcome));
  }

  HttpReply Ask(const std::string& target, const std::string& token) {
    HttpClient client("127.0.0.1:" +
                      std::to_string(this->agent.OperatorPort()));
    HttpRequest request;
    request.target = target;
    request.headers["authorization"] = "Bearer " + token;
    auto reply =
        RunAwaitable(this->context,
                     client.Send(std::move(request), std::chrono::seconds(60)));
    REQUIRE(reply);
    return *reply;
  }

  AgentServer agent;
};

TEST_CASE(
    "an accepted configuration reaches the entry, and again after it "
    "has reconnected") {
  AgentFixture f;
  FakeEntry entry(f.context, f.agent.EntryPort());
  f.Apply("a");
  CHECK(entry.ReadGeneration() == 1);
  f.Apply("b");
  CHECK(entry.ReadGeneration() == 2);
  CHECK(f.agent.CurrentGeneration() == Generation(2));
  for (int i = 0; i < 3; ++i) {
    FakeEntry again(f.context, f.agent.EntryPort());
    CHECK(again.ReadGeneration() == 2);
  }
}

TEST_CASE("a newer entry connection ends the one before it") {
  AgentFixture f;
  FakeEntry first(f.context, f.agent.EntryPort());
  f.Apply("a");
  CHECK(first.ReadGeneration() == 1);
  FakeEntry second(f.context, f.agent.EntryPort());
  CHECK(second.ReadGeneration() == 1);
  while (first.Read()) {
  }
}

TEST_CASE("a key claim is answered: granted once, then known as taken") {
  AgentFixture f;
  FakeEntry entry(f.context, f.agent.EntryPort());
  f.Apply("a");
  entry.ReadGeneration();
  const auto claim = [&](std::uint64_t request) {
    schema::KeyClaimT message;
    message.request = request;
    message.service = "kehto";
    message.account = "booths";
    message.key = "key/1 ä";
    entry.Send(message);
    for (;;) {
      auto answer = entry.Read();
      REQUIRE(answer);
      if (const auto* reply = answer->payload.AsKeyClaimReply()) {
        CHECK(reply->request == request);
        return *reply;
      }
    }
  };
  const auto first = claim(1);
  CHECK(first.granted);
  const auto second = claim(2);
  CHECK_FALSE(second.granted);
  CHECK(second.known);
  f.platform.Faults().outage = true;
  const auto third = claim(3);
  CHECK_FALSE(third.granted);
}

TEST_CASE("a malformed frame ends the entry's link and is counted") {
  AgentFixture f;
  FakeEntry entry(f.context, f.agent.EntryPort());
  entry.Write("no flatbuffer at all");
  while (entry.Read()) {
  }
  const std::string metrics = f.Ask("/metrics", "t").body;
  CHECK(metrics.find("acacia_agent_entry_frames_malformed 1") !=
        std::string::npos);
}

TEST_CASE("operators see readiness, status and the platform's state") {
  AgentFixture f;
  CHECK(f.Ask("/status", "wrong").status == 401);
  f.Apply("a");
  RunUntil(f.context, [&] { return f.agent.IsReady(); });
  CHECK(f.Ask("/ready", "").status == 200);
  CHECK(f.Ask("/status", "t").body.find("generation 1") != std::string::npos);
  CHECK(f.Ask("/explain?service=kehto", "t").status == 200);
  CHECK(f.Ask("/metrics", "t").body.find("acacia_agent_platform_available 1") !=
        std::string::npos);
  f.platform.Faults().outage = true;
  RunUntil(f.context, [&] {
    return f.Ask("/metrics", "t")
               .body.find("acacia_agent_platform_available 0") !=
           std::string::npos;
  });
  // The configuration stays in force.
  CHECK(f.agent.CurrentGeneration() == Generation(1));
}

TEST_CASE("a stop waits for the entry to report that it stopped") {
  AgentFixture f;
  FakeEntry entry(f.context, f.agent.EntryPort());
  f.Apply("a");
  entry.ReadGeneration();
  bool finished = false;
  f.agent.RequestStop([&] { finished = true; });
  for (;;) {
    const auto message = entry.Read();
    REQUIRE(message);
    const auto* fleet = message->payload.AsFleetUpdate();
    if (fleet != nullptr && fleet->stop) {
      break;
    }
  }
  schema::EntryReportT report;
  report.stopping = true;
  report.in_flight = 1;
  entry.Send(report);
  f.Ask("/ready", "");
  CHECK_FALSE(finished);
  report.stopped = true;
  entry.Send(report);
  RunUntil(f.context, [&] { return finished; });
}

TEST_CASE("a stop without an entry ends by itself") {
  AgentFixture f;
  bool finished = false;
  f.agent.RequestStop([&] { finished = true; });
  RunUntil(f.context, [&] { return finished; });
}

}  // namespace
}  // namespace acacia
