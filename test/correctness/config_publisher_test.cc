#include "src/config_publisher.h"

#include <catch2/catch.hpp>

#include "test/coord_fakes.h"

namespace acacia {
namespace {

PublishRequest Request(const std::string& id, const std::string& account) {
  return {MakeFileSet(3, 50, account), id, "writer-" + id, std::nullopt};
}

TEST_CASE("an apply is accepted once, also when it is run again") {
  FakePlatform platform;
  for (int run = 0; run < 2; ++run) {
    const auto outcome = Apply(platform, Request("w1", "x"));
    CHECK(std::get<PublishAccepted>(outcome).generation == Generation(1));
  }
  CHECK(platform.rows[kHeadKey].version == RowVersion(1));
}

TEST_CASE("a lost reply is settled by reading the head") {
  FakePlatform platform;
  platform.lose_replies = 1;
  const auto outcome = Apply(platform, Request("w1", "x"));
  CHECK(std::get<PublishAccepted>(outcome).generation == Generation(1));
  CHECK(platform.rows[kHeadKey].version == RowVersion(1));
}

TEST_CASE("of two racing operators one wins, whatever the interleaving") {
  for (int steps = 0; steps < 14; ++steps) {
    FakePlatform platform;
    ConfigPublisher first(Request("w1", "x"));
    ConfigPublisher second(Request("w2", "y"));
    const auto first_start = first.Start();
    const auto second_start = second.Start();
    std::deque<PublisherAction> a(first_start.begin(), first_start.end());
    std::deque<PublisherAction> b(second_start.begin(), second_start.end());
    RunPublisher(platform, first, a, steps);
    platform.lose_replies = steps % 2;
    RunPublisher(platform, second, b);
    RunPublisher(platform, first, a);
    const bool first_won =
        std::holds_alternative<PublishAccepted>(*first.Outcome());
    CHECK(std::holds_alternative<PublishAccepted>(*second.Outcome()));
    CHECK(platform.rows[kHeadKey].version == RowVersion(first_won ? 2 : 1));
    if (!first_won) {
      const auto& refused = std::get<PublishRefused>(*first.Outcome());
      CHECK(refused.write_id == "w2");
      CHECK(refused.current == Generation(1));
    }
  }
}

TEST_CASE("an apply that names its base is refused on another") {
  FakePlatform platform;
  Apply(platform, Request("w1", "x"));
  auto request = Request("w2", "y");
  request.based_on = Generation(0);
  const auto outcome = Apply(platform, request);
  CHECK(std::get<PublishRefused>(outcome).write_id == "w1");
}

TEST_CASE("an outage before the head write is unavailable, after it unknown") {
  FakePlatform platform;
  platform.outage = true;
  CHECK(std::holds_alternative<PublishUnavailable>(
      Apply(platform, Request("w1", "x"))));
  platform.outage = false;
  platform.lose_replies = 1;
  platform.on_row_written = [&](const std::string&, const Row&) {
    platform.outage = true;
  };
  CHECK(std::holds_alternative<PublishUnknown>(
      Apply(platform, Request("w2", "x"))));
  platform.outage = false;
  CHECK(std::get<PublishAccepted>(Apply(platform, Request("w2", "x")))
            .generation == Generation(1));
}

// Guards against a set that is accepted and that no agent reads back.
TEST_CASE("a set with a longer chunk than agents read is not written") {
  FakePlatform platform;
  PublishRequest request = Request("w1", "x");
  auto& servers = request.file_set.services.front()->backend_servers;
  // Twice the largest design size.
  for (int i = 0; i < 60000; ++i) {
    auto server = std::make_unique<schema::BackendServerT>();
    server->address = "10.100." + std::to_string(i) + ":8080";
    server->failure_domain = "domain-1";
    servers.push_back(std::move(server));
  }
  CHECK(std::holds_alternative<PublishAccepted>(Apply(platform, request)));
  request.write_id = "w2";
  servers.front()->address = std::string(kMaxObjectBytes, 'x');
  CHECK(std::holds_alternative<PublishTooLarge>(Apply(platform, request)));
}

TEST_CASE("a write overtaken after a lost reply is still known as accepted") {
  FakePlatform platform;
  ConfigPublisher first(Request("w1", "x"));
  platform.lose_replies = 1;
  bool overtaken = false;
  platform.on_row_written = [&](const std::string&, const Row&) {
    if (!std::exchange(overtaken, true)) {
      platform.lose_replies = 0;
      Apply(platform, Request("w2", "y"));
      platform.lose_replies = 1;
    }
  };
  const auto start = first.Start();
  std::deque<PublisherAction> queue(start.begin(), start.end());
  RunPublisher(platform, first, queue);
  CHECK(std::get<PublishAccepted>(*first.Outcome()).generation ==
        Generation(1));
  CHECK(platform.rows[kHeadKey].version == RowVersion(2));
}

TEST_CASE("one changed route writes only one chunk and the manifest") {
  schema::FileSetT set = MakeFileSet(3);
  for (int i = 0; i < 2000; ++i) {
    auto route = std::make_unique<schema::RouteT>();
    route->name = "r" + std::to_string(i);
    set.routes.push_back(std::move(route));
  }
  FakePlatform platform;
  Apply(platform, {set, "w1", "", std::nullopt});
  const auto before = platform.objects.size();
  set.routes[7]->path_prefix = "/new";
  Apply(platform, {set, "w2", "", std::nullopt});
  CHECK(platform.objects.size() == before + 2);
}

}  // namespace
}  // namespace acacia
