// Tests TableFollower and the adapter's StoreClient against a scripted store.
#include "src/table_follower.h"

#include <catch2/catch.hpp>
#include <deque>
#include <sstream>

#include "platform/store_client.h"
#include "src/base64.h"
#include "src/http_server.h"
#include "src/random_source.h"
#include "test/io_fixture.h"

namespace acacia {
namespace {

namespace net = boost::asio;

std::string RowsJson(std::uint64_t version, const std::string& rows) {
  return R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(version) +
         R"(,"hasMore":false,"nowS":1.5})";
}

std::string RowJson(const std::string& key, std::uint64_t version) {
  return R"({"table":"t","part":"","key":")" + key + R"(","value":")" +
         EncodeBase64("value of " + key) + R"(","ver":)" +
         std::to_string(version) + "}";
}

// A store that gives the scripted answers in order and never answers further
// calls.
struct FollowerFixture {
  FollowerFixture()
      : server(context.get_executor(), [this](HttpRequest request) {
          return this->Answer(std::move(request));
        }) {
    REQUIRE(this->server.Listen("127.0.0.1:0"));
  }

  net::awaitable<HttpReply> Answer(HttpRequest request) {
    this->calls.push_back(request);
    if (this->script.empty()) {
      net::steady_timer forever(this->context, std::chrono::hours(1));
      co_await forever.async_wait(net::as_tuple(net::use_awaitable));
    }
    HttpReply reply;
    if (!this->script.empty()) {
      reply = this->script.front();
      this->script.pop_front();
    }
    co_return reply;
  }

  // `era`: how often the store was restored; not told if empty.
  void Script(int status,
              const std::string& body,
              const std::string& era = "") {
    HttpReply reply;
    reply.status = status;
    reply.body = body;
    if (!era.empty()) {
      reply.headers["store-era"] = era;
    }
    this->script.push_back(reply);
  }
  void ScriptDrop() {
    HttpReply reply;
    reply.close_without_reply = true;
    this->script.push_back(reply);
  }

  std::unique_ptr<RowStore> Store() const {
    return std::make_unique<platform::StoreClient>(
        "127.0.0.1:" + std::to_string(this->server.Port()));
  }

  void Follow() {
    this->follower = std::make_unique<TableFollower>(
        this->context.get_executor(), "t", this->Store(),
        TableEvents{
            [this](const TableRows& rows) { this->wholes.push_back(rows); },
            [this](const TableRows& rows) {
              if (this->fail_on_change) {
                throw std::bad_alloc();
              }
              this->changes.push_back(rows);
            },
            [this](bool available) { this->available.push_back(available); },
            [this](RowVersion after, const TableRows&) {
              this->fetched_after.push_back(after);
            },
            [this](std::optional<RowStoreError> error) {
              this->results.push_back(error);
            }},
        this->clock, this->random);
    this->follower->Start();
  }
  void AwaitCalls(std::size_t count) {
    RunUntil(this->context, [&] { return this->calls.size() >= count; });
  }

  // Runs until the relay timeout has passed and everything due then has
  // happened.
  void Settle() {
    this->context.restart();
    this->context.run_for(TableFollower::kRelayTimeout +
                          std::chrono::milliseconds(400));
  }

  net::io_context context;
  SystemClock clock;
  SeededRandom random{1};
  std::deque<HttpReply> script;
  std::vector<HttpRequest> calls;
  HttpServer server;
  std::unique_ptr<TableFollower> follower;
  std::vector<TableRows> wholes;
  std::vector<TableRows> changes;
  bool fail_on_change = false;
  std::vector<bool> available;
  std::vector<RowVersion> fetched_after;
  std::vector<std::optional<RowStoreError>> results;
};

TEST_CASE("a table is read whole, then its changes from that version on") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Script(200, RowsJson(9, R"({"key":"a","ver":9,"tombstone":true})"));
  f.Follow();
  f.AwaitCalls(3);
  REQUIRE(f.wholes.size() == 1);
  REQUIRE(f.wholes[0].rows.size() == 1);
  CHECK(f.wholes[0].rows[0].value == "value of a");
  REQUIRE(f.changes.size() == 1);
  CHECK(f.changes[0].rows[0].removed);
  CHECK(f.calls[1].target.find("after=7&") != std::string::npos);
  CHECK(f.calls[2].target.find("after=9&") != std::string::npos);
  CHECK(f.follower->NewestKnownRow() == RowVersion(9));
}

TEST_CASE("after a gap in the history only a reading as new as before counts") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Script(410, "");
  f.Script(200, RowsJson(6, RowJson("old", 4)));
  f.Script(200, RowsJson(8, RowJson("new", 8)));
  f.Follow();
  f.AwaitCalls(5);
  REQUIRE(f.wholes.size() == 2);
  CHECK(f.wholes[1].rows[0].key == "new");
}

// Guards CONFIG: after a restore, tables whose versions went back were taken
// for stale and no change was followed.
TEST_CASE("a store that was restored from a copy is followed at once") {
  FollowerFixture f;
  f.Script(200, RowsJson(75, RowJson("a", 72)), "1");
  f.Script(410, RowsJson(74, ""), "2");
  f.Script(200, RowsJson(74, RowJson("copied", 70)), "2");
  f.Script(200, RowsJson(76, RowJson("written again", 76)), "2");
  f.Follow();
  f.AwaitCalls(5);
  REQUIRE(f.wholes.size() == 2);
  CHECK(f.wholes[1].rows[0].key == "copied");
  REQUIRE(f.changes.size() == 1);
  CHECK(f.changes[0].rows[0].key == "written again");
  CHECK(f.calls[3].target.find("after=74&") != std::string::npos);
  CHECK(f.follower->Version() > MakeRowVersion(StoreEra(1), 75));
}

// Guards CONFIG: rows between a version of the old history and the same number
// in the new one were never read.
TEST_CASE(
    "a version that a restored store gave out again is not read on from") {
  FollowerFixture f;
  f.Script(200, RowsJson(75, RowJson("a", 72)), "1");
  f.Script(200, RowsJson(77, RowJson("late", 77)), "2");
  f.Script(200, RowsJson(77, RowJson("early", 73) + "," + RowJson("late", 77)),
           "2");
  f.Follow();
  f.AwaitCalls(4);
  CHECK(f.changes.empty());
  REQUIRE(f.wholes.size() == 2);
  CHECK(f.wholes[1].rows.size() == 2);
}

TEST_CASE("a listener hears from others that the store was restored") {
  FollowerFixture f;
  f.Script(200, RowsJson(75, RowJson("a", 72)), "1");
  f.Follow();
  f.AwaitCalls(1);
  f.follower->SetReadByOthers(true);
  f.Settle();
  CHECK(f.calls.size() == 1);
  TableRows old_history;
  old_history.version = MakeRowVersion(StoreEra(1), 80);
  f.Script(410, RowsJson(71, ""), "2");
  f.Script(200, RowsJson(71, RowJson("a", 70)), "2");
  f.follower->ExpectVersion(MakeRowVersion(StoreEra(2), 70));
  f.Settle();
  REQUIRE(f.wholes.size() == 2);
  CHECK(f.follower->Version() == MakeRowVersion(StoreEra(2), 71));
  f.follower->ApplyRelayed(MakeRowVersion(StoreEra(1), 75), old_history);
  CHECK(f.follower->Version() == MakeRowVersion(StoreEra(2), 71));
}

// Guards LOST: one odd row stopped the entries that follow the table.
TEST_CASE("an odd row does not keep others from being followed") {
  constexpr std::size_t kDepth = 10000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto odd_row = [](const std::string& value, std::uint64_t version) {
    return R"({"table":"t","part":"","key":"odd","value":")" + value +
           R"(","ver":)" + std::to_string(version) + "}";
  };
  FollowerFixture f;
  f.Script(200,
           RowsJson(7, RowJson("a", 5) + "," + odd_row(EncodeBase64(deep), 6) +
                           "," + RowJson("c", 7)));
  f.Script(200, RowsJson(9, odd_row("no base64 !", 8) + "," + RowJson("b", 9)));
  f.Follow();
  f.AwaitCalls(3);
  REQUIRE(f.wholes.size() == 1);
  REQUIRE(f.wholes[0].rows.size() == 3);
  CHECK(f.wholes[0].rows[2].key == "c");
  REQUIRE(f.changes.size() == 1);
  REQUIRE(f.changes[0].rows.size() == 2);
  CHECK(f.changes[0].rows[0].value.empty());
  CHECK(f.changes[0].rows[1].key == "b");
}

TEST_CASE("an answer with an unreadable era is not taken") {
  FollowerFixture f;
  f.Script(200, RowsJson(75, RowJson("a", 72)), "many");
  f.Script(200, RowsJson(75, RowJson("a", 72)), "3");
  f.Follow();
  f.AwaitCalls(2);
  f.Settle();
  REQUIRE(f.wholes.size() == 1);
  CHECK(f.wholes[0].version == MakeRowVersion(StoreEra(3), 75));
}

TEST_CASE("versions are ordered by era first, and shown with it") {
  const RowVersion old_version = MakeRowVersion(StoreEra(1), 90);
  const RowVersion new_version = MakeRowVersion(StoreEra(2), 7);
  CHECK(old_version < new_version);
  std::ostringstream text;
  text << RowVersion(12) << " " << new_version;
  CHECK(text.str() == "12 2:7");
}

TEST_CASE("a store that refuses, or whose answer is lost, is asked again") {
  FollowerFixture f;
  f.Script(503, "");
  f.Script(429, "");
  f.ScriptDrop();
  f.Script(200, "not json");
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Follow();
  f.AwaitCalls(6);
  CHECK(f.wholes.size() == 1);
  CHECK(f.available == std::vector<bool>{false, true});
  CHECK(f.results == std::vector<std::optional<RowStoreError>>{
                         RowStoreError::kUnavailable,
                         RowStoreError::kTooManyCalls, RowStoreError::kUnknown,
                         RowStoreError::kMalformed, std::nullopt});
}

TEST_CASE("a poll whose answer was lost is given up when others know more") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Follow();
  f.AwaitCalls(2);
  f.Script(200, RowsJson(9, RowJson("b", 9)));
  f.follower->ExpectVersion(RowVersion(9));
  f.AwaitCalls(4);
  REQUIRE(f.wholes.size() == 2);
  CHECK(f.wholes[1].rows[0].key == "b");
  CHECK(f.follower->Version() == RowVersion(9));
}

TEST_CASE("while others read, changes are taken from them without a call") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Script(200, RowsJson(8, RowJson("b", 8)));
  f.Follow();
  f.AwaitCalls(2);
  f.follower->SetReadByOthers(true);
  RunUntil(f.context, [&] { return f.changes.size() == 1; });
  CHECK(f.follower->GapFreeSince() == RowVersion(7));
  f.Settle();
  CHECK(f.follower->GapFreeSince() == RowVersion());
  f.follower->ApplyRelayed(RowVersion(8),
                           {{{"c", "", RowVersion(12), true}}, RowVersion(12)});
  f.Settle();
  CHECK(f.calls.size() == 2);
  REQUIRE(f.changes.size() == 2);
  CHECK(f.changes[1].rows[0].key == "c");
  CHECK(f.follower->Version() == RowVersion(12));

  f.follower->SetReadByOthers(false);
  f.AwaitCalls(3);
  CHECK(f.calls[2].target.find("after=12&") != std::string::npos);
}

TEST_CASE("changes from others that leave a gap, or are old, are not taken") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Follow();
  f.AwaitCalls(2);
  const TableRows later{{{"c", "", RowVersion(12), false}}, RowVersion(12)};
  f.follower->ApplyRelayed(RowVersion(9), later);
  CHECK(f.changes.empty());
  const TableRows before{{{"a", "", RowVersion(5), false}}, RowVersion(6)};
  f.follower->ApplyRelayed(RowVersion(4), before);
  CHECK(f.changes.empty());
  CHECK(f.follower->Version() == RowVersion(7));
  f.follower->ApplyRelayed(RowVersion(6), later);
  CHECK(f.changes.size() == 1);
}

TEST_CASE("a change that others do not pass on is read from the store") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Script(200, RowsJson(8, RowJson("b", 8)));
  f.Follow();
  f.AwaitCalls(2);
  f.follower->SetReadByOthers(true);
  f.Settle();
  REQUIRE(f.calls.size() == 2);
  // The first poll fails; the follower keeps polling until it has the change.
  f.Script(503, "");
  f.Script(200, RowsJson(9, RowJson("c", 9)));
  f.follower->ExpectVersion(RowVersion(9));
  f.AwaitCalls(4);
  RunUntil(f.context, [&] { return f.changes.size() == 2; });
  f.Settle();
  CHECK(f.calls.size() == 4);
  CHECK(f.follower->Version() == RowVersion(9));
}

TEST_CASE("fetched changes are reported with the last change before them") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Script(200, RowsJson(9, RowJson("b", 9)));
  // The version advances without rows when other tables change.
  f.Script(200, RowsJson(30, ""));
  f.Script(200, RowsJson(31, RowJson("c", 31)));
  f.Follow();
  f.AwaitCalls(5);
  CHECK(f.fetched_after ==
        std::vector<RowVersion>{RowVersion(7), RowVersion(9)});
}

TEST_CASE("what is known already is not waited for") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Follow();
  f.AwaitCalls(2);
  f.follower->ExpectVersion(RowVersion(7));
  f.context.restart();
  f.context.run_for(2 * TableFollower::kArrivalTimeout);
  CHECK(f.calls.size() == 2);
}

TEST_CASE("a row is removed only in the version that was written") {
  FollowerFixture f;
  f.Script(200, R"({"ver":12,"nowS":1})");
  f.Script(412, R"({"rows":[]})");
  const auto store = f.Store();
  const auto written =
      RunAwaitable(f.context, store->Put("t", "me", "where I am"));
  REQUIRE(written);
  CHECK(*written == RowVersion(12));
  CHECK(f.calls[0].body.find(EncodeBase64("where I am")) != std::string::npos);
  const auto removed =
      RunAwaitable(f.context, store->Remove("t", "me", *written));
  REQUIRE_FALSE(removed);
  CHECK(removed.error() == RowStoreError::kConflict);
  CHECK(f.calls[1].body.find(R"("ver":12)") != std::string::npos);
}

// Guards CONFIG: an exception while a change was applied ended the following
// without a trace; the entry stayed with what it knew.
TEST_CASE("a table is followed on after a change whose handling threw") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Script(200, RowsJson(9, RowJson("b", 9)));
  f.Script(200, RowsJson(9, RowJson("a", 5) + "," + RowJson("b", 9)));
  f.fail_on_change = true;
  f.Follow();
  f.AwaitCalls(4);
  REQUIRE(f.wholes.size() == 2);
  CHECK(f.wholes[1].rows.size() == 2);
  CHECK(f.follower->Version() == RowVersion(9));
}

// Guards FAULT: the first reading has no version that could be logged.
TEST_CASE("a store without history for the first reading is asked again") {
  FollowerFixture f;
  f.Script(410, "");
  f.Script(410, "");
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Follow();
  f.AwaitCalls(4);
  CHECK(f.wholes.size() == 1);
  CHECK(f.available == std::vector<bool>{false, true});
}

TableRows Newest(const std::string& key, std::uint64_t version) {
  return {{{key, "", RowVersion(version), false}}, RowVersion(version)};
}

// Guards CONFIG: an entry went back to an older version when the store, which
// had turned it away, answered it again.
TEST_CASE("what another entry holds replaces a reading that is missing") {
  FollowerFixture f;
  f.Script(503, "");
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Script(200, RowsJson(9, RowJson("a", 9)));
  f.Follow();
  f.AwaitCalls(1);
  CHECK(f.follower->ApplyNewest(Newest("a", 9)));
  CHECK_FALSE(f.follower->ApplyNewest(Newest("a", 9)));
  CHECK_FALSE(f.follower->ApplyNewest(Newest("a", 8)));
  REQUIRE(f.changes.size() == 1);
  CHECK(f.follower->Version() == RowVersion(9));
  f.AwaitCalls(4);
  REQUIRE(f.wholes.size() == 1);
  CHECK(f.wholes[0].version == RowVersion(9));
}

// Guards CONFIG: a reader that got a row from another entry claimed to have
// relayed it, and relayed later changes to entries that lacked it.
TEST_CASE("a reader claims no gap-free reading over what others sent it") {
  FollowerFixture f;
  f.Script(200, RowsJson(7, RowJson("a", 5)));
  f.Follow();
  f.AwaitCalls(2);
  CHECK(f.follower->GapFreeSince() == RowVersion(7));
  CHECK(f.follower->ApplyNewest(Newest("a", 12)));
  CHECK(f.follower->GapFreeSince() == RowVersion());
  f.Script(200, RowsJson(12, RowJson("a", 12)));
  f.Script(200, RowsJson(14, RowJson("b", 14)));
  f.follower->ExpectVersion(RowVersion(14));
  f.AwaitCalls(5);
  CHECK(f.fetched_after == std::vector<RowVersion>{RowVersion(12)});
}

}  // namespace
}  // namespace acacia
