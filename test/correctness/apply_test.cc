#include <sstream>
#include <vector>

#include "src/acaciactl.h"
#include "test/io_fixture.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr PublishPacing kNoDelay{std::chrono::milliseconds(0),
                                 std::chrono::milliseconds(0)};

PublishRequest Request(const std::string& write_id, std::uint32_t floor) {
  PublishRequest request;
  auto service = std::make_unique<schema::ServiceT>();
  service->name = "kehto";
  service->discovery = "kehto";
  service->floor_percent = floor;
  request.file_set.services.push_back(std::move(service));
  request.write_id = write_id;
  request.writer = write_id;
  return request;
}

Generation AcceptedGeneration(const PublishOutcome& outcome) {
  const auto* accepted = std::get_if<PublishAccepted>(&outcome);
  return accepted == nullptr ? Generation() : accepted->generation;
}

TEST_CASE("a retry with the same write id is accepted with its generation") {
  PlatformFixture f;
  PlatformClient client(f.Address(), f.clock);
  const auto apply = [&](const std::string& id, std::uint32_t floor) {
    return AcceptedGeneration(
        RunAwaitable(f.context, Publish(client, Request(id, floor), kNoDelay)));
  };
  CHECK(apply("a", 50) == Generation(1));
  CHECK(apply("a", 50) == Generation(1));
  CHECK(apply("b", 60) == Generation(2));
  CHECK(apply("a", 50) == Generation(1));
}

TEST_CASE("of two operators with the same base one is accepted, one refused") {
  PlatformFixture f;
  PlatformClient client(f.Address(), f.clock);
  std::vector<PublishOutcome> outcomes;
  for (const char* id : {"a", "b"}) {
    PublishRequest request = Request(id, 50);
    request.based_on = Generation();
    net::co_spawn(f.context, Publish(client, std::move(request), kNoDelay),
                  [&](const std::exception_ptr&, PublishOutcome outcome) {
                    outcomes.push_back(std::move(outcome));
                  });
  }
  RunUntil(f.context, [&] { return outcomes.size() == 2; });
  int accepted = 0;
  int refused = 0;
  std::string winner;
  for (const PublishOutcome& outcome : outcomes) {
    accepted += AcceptedGeneration(outcome) == Generation(1) ? 1 : 0;
    if (const auto* lost = std::get_if<PublishRefused>(&outcome)) {
      ++refused;
      winner = lost->writer;
    }
  }
  CHECK(accepted == 1);
  CHECK(refused == 1);
  CHECK((winner == "a" || winner == "b"));
}

TEST_CASE("with lost replies and requests, accepted is reported only if true") {
  PlatformFixture f;
  PlatformFaults lossy;
  lossy.lose_replies_permille = 300;
  lossy.lose_requests_permille = 200;
  PlatformClient client(f.Address(), f.clock);
  Generation last;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "w" + std::to_string(i);
    f.platform.Faults() = lossy;
    const auto first =
        RunAwaitable(f.context, Publish(client, Request(id, 10 + i), kNoDelay));
    CHECK_FALSE(std::holds_alternative<PublishRefused>(first));
    f.platform.Faults() = {};
    const auto settled = AcceptedGeneration(RunAwaitable(
        f.context, Publish(client, Request(id, 10 + i), kNoDelay)));
    CHECK(settled == last.Next());
    if (std::holds_alternative<PublishAccepted>(first)) {
      CHECK(AcceptedGeneration(first) == settled);
    }
    last = settled;
  }
}

TEST_CASE("an outage from the start is unavailable, not unknown") {
  PlatformFixture f;
  f.platform.Faults().outage = true;
  PlatformClient client(f.Address(), f.clock);
  const auto outcome =
      RunAwaitable(f.context, Publish(client, Request("a", 50), kNoDelay));
  CHECK(std::holds_alternative<PublishUnavailable>(outcome));
}

TEST_CASE("the tutorials' file sets are valid") {
  for (const char* name : {"kehto_uniikki", "registro_archivo"}) {
    std::ostringstream out;
    std::ostringstream err;
    const std::string folder =
        std::string(ACACIA_SOURCE_DIR) + "/tutorial/" + name;
    CHECK(Validate(folder, out, err) == kCtlAccepted);
    INFO(err.str());
    CHECK(out.str().starts_with("valid: 2 services"));
  }
}

TEST_CASE("a file set with mistakes is refused without asking the platform") {
  std::ostringstream out;
  std::ostringstream err;
  const std::string folder = std::string(ACACIA_SOURCE_DIR) + "/test/error";
  CHECK(Apply({folder, "127.0.0.1:1", "", "", {}}, out, err) == kCtlMistake);
  CHECK(err.str().find("nothing was applied") != std::string::npos);
}

}  // namespace
}  // namespace acacia
