// Rows of the host platform's store with mistakes of all kinds, through the
// decoders, the registry, the snapshot and one service's decisions.
#include <catch2/catch.hpp>

#include "platform/account_decoder.h"
#include "platform/configuration_decoder.h"
#include "platform/registration_decoder.h"
#include "src/dispatcher.h"
#include "src/entry_snapshot.h"
#include "src/fleet_pool.h"
#include "src/fleet_state.h"
#include "src/peer_messages.h"

namespace acacia {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kConfiguration =
    R"({"version":"r12","resources":[)"
    R"({"resourceKind":"routes","metadata":{"name":"book"},"spec":{)"
    R"("host":"h","prefix":"/b/","kind":"unsafe","timeoutS":2.5,)"
    R"("targetLatencyS":1.5,"priority":1,"service":"kehto","maxAttempts":2}},)"
    R"({"resourceKind":"routes","metadata":{"name":"browse"},"spec":{)"
    R"("host":"h","prefix":"/c/","kind":"safe","timeoutS":4,"maxAttempts":3,)"
    R"("trafficSplit":[{"service":"kehto","weight":90},)"
    R"({"service":"uniikki","weight":10}]}},)"
    R"({"resourceKind":"services","metadata":{"name":"kehto"},)"
    R"("spec":{"healthPath":"/health","maxConns":330}},)"
    R"({"resourceKind":"services","metadata":{"name":"uniikki"},"spec":{}},)"
    R"({"resourceKind":"tenants","metadata":{"name":"anna"},"spec":{)"
    R"("apiKeys":["k1","k2"],"priority":1,"ratePerS":12.5,"burst":30}},)"
    R"({"resourceKind":"limits","metadata":{},"spec":{"maxBodyBytes":100}}]})";
constexpr std::string_view kRegistration =
    R"({"service":"kehto","address":"127.0.0.1:8080","zone":"a","slots":6,)"
    R"("version":"v1","state":"ready","coldLeftS":1.5,"seq":4,"born":17})";

// Values of another type or range than any field expects.
std::string OddValue(SeededRandom& random) {
  static const std::vector<std::string> values{
      "null",
      "true",
      "\"\"",
      "\"r18446744073709551615\"",
      "[]",
      "{}",
      "-1",
      "0",
      "1e308",
      "1e-308",
      "-1e308",
      "1e9",
      "999999999.9",
      "18446744073709551615",
      "18446744073709551616",
      "9223372036854775807",
      "4294967296",
      "4294967295",
      "0.1",
      "\"\\u0000\"",
      "\"\\ud800\"",
      "NaN",
      "1e999999",
      std::string(100000, '['),
      std::string(20, '[') + std::string(20, ']')};
  return values[random.Below(values.size())];
}

// Replaces the value after a random colon, or changes some bytes.
std::string Spoil(std::string_view valid, SeededRandom& random) {
  std::string text(valid);
  for (std::uint64_t edits = 1 + random.Below(2); edits > 0; --edits) {
    const std::size_t at = random.Below(text.size());
    if (random.Below(4) > 0) {
      const std::size_t colon = text.find("\":", at);
      if (colon != std::string::npos) {
        const std::size_t end = text.find_first_of(",}", colon);
        text.replace(colon + 2, end - colon - 2, OddValue(random));
      }
      continue;
    }
    switch (random.Below(3)) {
      case 0:
        text[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        text.erase(at, 1 + random.Below(3));
        break;
      default:
        text.resize(at + 1);
    }
  }
  return text;
}

struct StoreRows {
  explicit StoreRows(std::uint64_t seed)
      : random(seed), directory(this->self) {}

  void Step();
  void Decide(const EntrySnapshot& snapshot);

  SeededRandom random;
  schema::MemberUpdateT self;
  MemberDirectory directory;
  BackendRegistry registry;
  std::shared_ptr<const Configuration> configuration;
  TimePoint now{std::chrono::hours(1)};
  int applied = 0;
  int registered = 0;
  std::uint64_t requests = 0;
};

void StoreRows::Step() {
  this->now += milliseconds(this->random.Below(2000));
  const std::string text = Spoil(kConfiguration, this->random);
  if (auto decoded = platform::DecodeConfiguration(text, {})) {
    ++this->applied;
    // What entries hand on is as readable as what the store holds.
    const auto hidden =
        platform::DecodeConfiguration(platform::HideKeys(text), {});
    REQUIRE(hidden);
    CHECK((hidden->keyed_accounts == nullptr) ==
          (decoded->keyed_accounts == nullptr));
    this->configuration =
        std::make_shared<const Configuration>(*std::move(decoded));
  }
  const std::string name = "i-" + std::to_string(this->random.Below(5));
  const auto backend =
      platform::DecodeRegistration(name, Spoil(kRegistration, this->random));
  this->registered += backend ? 1 : 0;
  this->registry.Put(name, backend ? std::optional(*backend) : std::nullopt,
                     this->now);
  if (this->random.Below(10) == 0) {
    this->registry.Remove(name, this->now);
  }
  this->registry.OnTimer(this->now);
  const Cells cells = BuildCells(this->registry, this->directory);
  const auto fleet =
      BuildFleetUpdate(this->registry, this->directory, cells, 1, this->now);
  this->Decide(BuildSnapshot(this->configuration, fleet.get(), {}));
}

void StoreRows::Decide(const EntrySnapshot& snapshot) {
  if (!this->configuration) {
    return;
  }
  for (const Route& route : this->configuration->routes) {
    CHECK(route.deadline >= Duration{});
    CHECK(route.target_latency >= Duration{});
    const ServiceView& view = snapshot.views.at(route.service);
    Dispatcher dispatcher(route.service, InstanceId("e1"),
                          std::make_unique<SeededRandom>(1), view, this->now,
                          [](const ServiceName& service, const InstanceId&,
                             RandomSource& random) {
                            return std::make_unique<FleetPool>(
                                service, FailureDomain("a"), random);
                          });
    Work work;
    work.request = RequestId(++this->requests);
    work.deadline = this->now + route.deadline;
    work.max_attempts = route.max_attempts;
    work.latency_key = route.name;
    work.target_latency = route.target_latency;
    work.idempotent = route.idempotency == Idempotency::kAlways;
    const DispatchActions actions = dispatcher.OnRequest(work, this->now);
    CHECK(actions.size() <= 1);
    dispatcher.OnTimer(this->now + milliseconds(500));
    const auto deadline = work.deadline + milliseconds(1);
    dispatcher.OnTimer(deadline);
    CHECK(dispatcher.InFlight() == 0);
  }
}

TEST_CASE("rows with mistakes are refused or taken, and nothing else fails") {
  constexpr int kSteps = 3000;
  StoreRows rows(1);
  for (int i = 0; i < kSteps; ++i) {
    rows.Step();
  }
  CHECK(rows.applied > 100);
  CHECK(rows.registered > 100);
}

TEST_CASE("members' rows with mistakes are refused or taken") {
  SeededRandom random(1);
  schema::MemberUpdateT member;
  member.instance = "e2";
  member.failure_domain = "a";
  member.peer_address = "127.0.0.1:1";
  const std::string valid = SerializeMember(member);
  MemberDirectory directory({});
  const TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = valid;
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    bytes.resize(bytes.size() - random.Below(4));
    if (const auto parsed = ParseMember(bytes)) {
      directory.Put(*parsed);
      directory.AddressesFor(FailureDomain("a"), random, now);
    }
  }
  CHECK(directory.Members().size() > 1);
}

}  // namespace
}  // namespace acacia
