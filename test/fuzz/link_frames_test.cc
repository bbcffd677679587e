// Mutated frames between the project's own processes: the entry link and the
// peer transport drop frames that fail verification and continue to serve.
#include <sys/resource.h>

#include <random>
#include <string>
#include <vector>

#include "src/entry_link_server.h"
#include "src/framed_stream.h"
#include "test/io_fixture.h"

namespace acacia {
namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;

constexpr int kRounds = 400;

std::string EncodeReport(std::mt19937& random) {
  schema::EntryReportT report;
  report.generation = random();
  report.in_flight = random() % 100;
  for (unsigned i = 0; i < random() % 5; ++i) {
    auto evidence = std::make_unique<schema::BackendEvidenceT>();
    evidence->service = "kehto";
    evidence->address = "10.0.0.1:80";
    evidence->attempts = random();
    report.evidence.push_back(std::move(evidence));
  }
  schema::EntryToAgentT message;
  message.payload.Set(std::move(report));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(schema::CreateEntryToAgent(builder, &message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::string Mutate(std::string bytes, std::mt19937& random) {
  for (unsigned i = 0; i < 1 + random() % 4 && !bytes.empty(); ++i) {
    const std::size_t at = random() % bytes.size();
    if (random() % 4 == 0) {
      bytes.resize(at);
    } else {
      bytes[at] = static_cast<char>(random());
    }
  }
  return bytes;
}

TEST_CASE("mutated frames on the entry link never crash the agent") {
  net::io_context context;
  std::uint64_t reports = 0;
  EntryLinkHandlers handlers;
  handlers.on_connected = [] {};
  handlers.on_report = [&](const schema::EntryReportT& report) {
    for (const auto& evidence : report.evidence) {
      REQUIRE(evidence != nullptr);
    }
    ++reports;
  };
  handlers.on_key_claim = [](const schema::KeyClaimT&) {};
  EntryLinkServer server(context.get_executor(), handlers);
  REQUIRE(server.Listen("127.0.0.1:0"));
  std::mt19937 random(7);
  for (int i = 0; i < kRounds; ++i) {
    const std::uint64_t before = reports + server.MalformedFrames();
    Tcp::socket socket(context);
    socket.connect({net::ip::make_address("127.0.0.1"), server.Port()});
    std::string bytes = Mutate(EncodeReport(random), random);
    RunAwaitable(context, WriteFrame(socket, std::move(bytes)));
    RunUntil(context,
             [&] { return reports + server.MalformedFrames() > before; });
  }
  CHECK(server.MalformedFrames() > 0);
  CHECK(reports > 0);
}

// The peak resident memory of this process, in bytes.
std::size_t ResidentBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss) * 1024;
}

TEST_CASE("an announced length costs no memory until the bytes arrive") {
  net::io_context context;
  Tcp::acceptor acceptor(context, {net::ip::make_address("127.0.0.1"), 0});
  const std::size_t before = ResidentBytes();
  std::vector<Tcp::socket> senders;
  std::vector<Tcp::socket> receivers;
  std::size_t ended = 0;
  constexpr std::size_t kConnections = 16;
  receivers.reserve(kConnections);
  for (std::size_t i = 0; i < kConnections; ++i) {
    senders.emplace_back(context);
    senders.back().connect(acceptor.local_endpoint());
    receivers.push_back(acceptor.accept());
    net::co_spawn(context, ReadFrame(receivers.back()),
                  [&](const std::exception_ptr&, const auto& frame) {
                    CHECK_FALSE(frame.has_value());
                    ++ended;
                  });
    // 64 MiB announced, one byte sent.
    net::write(senders.back(), net::buffer(std::string("\0\0\0\4x", 5)));
  }
  context.run_for(std::chrono::milliseconds(50));
  senders.clear();
  RunUntil(context, [&] { return ended == kConnections; });
  CHECK(ResidentBytes() - before < 4 * kMaxFrameBytes);
}

}  // namespace
}  // namespace acacia
