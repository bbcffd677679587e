// Tests that entries follow the store although all connections that were open
// to it have gone silent for good, while new ones work.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "src/store_readers.h"
#include "src/table_follower.h"
#include "test/io_fixture.h"

namespace acacia {
namespace {

namespace net = boost::asio;

using ReadResult = tl::expected<TableRows, RowStoreError>;

// A store client whose connection can go silent. A call on it then ends when it
// is aborted, or in error some time after the wait that it asks for; both close
// the connection.
class SeverableStore : public RowStore {
 public:
  // `table`: what the store holds; must outlive this object.
  SeverableStore(const net::any_io_executor& executor, const TableRows& table)
      : wake(executor), table(table) {}

  void Sever() { this->is_silent = true; }
  bool IsInCall() const { return this->is_in_call; }

  net::awaitable<ReadResult> ReadTable(std::string /*table*/) override {
    return this->AnswerOnceNewerThan(RowVersion(), std::chrono::seconds(1));
  }
  net::awaitable<ReadResult> AwaitChanges(std::string /*table*/,
                                          RowVersion after,
                                          Duration wait) override {
    return this->AnswerOnceNewerThan(after, wait);
  }
  void Abort() override {
    this->is_silent = false;
    this->is_aborted = this->is_in_call;
    this->wake.cancel();
  }
  net::awaitable<tl::expected<RowVersion, RowStoreError>>
  Put(std::string, std::string, std::string) override {
    co_return tl::unexpected(RowStoreError::kUnavailable);
  }
  net::awaitable<tl::expected<RowVersion, RowStoreError>>
  Remove(std::string, std::string, RowVersion) override {
    co_return tl::unexpected(RowStoreError::kUnavailable);
  }

 private:
  static constexpr std::chrono::milliseconds kSlack{700};
  static constexpr std::chrono::milliseconds kStep{5};

  net::awaitable<ReadResult> AnswerOnceNewerThan(RowVersion after,
                                                 Duration wait) {
    this->is_in_call = true;
    const auto end = std::chrono::steady_clock::now() + wait;
    while (!this->is_aborted &&
           (this->is_silent || this->table.version <= after)) {
      const auto limit = this->is_silent ? end + kSlack : end;
      if (std::chrono::steady_clock::now() >= limit) {
        break;
      }
      this->wake.expires_after(kStep);
      co_await this->wake.async_wait(net::as_tuple(net::use_awaitable));
    }
    this->is_in_call = false;
    if (std::exchange(this->is_aborted, false) ||
        std::exchange(this->is_silent, false)) {
      co_return tl::unexpected(RowStoreError::kUnknown);
    }
    co_return this->table.version <= after ? TableRows{{}, this->table.version}
                                           : this->table;
  }

  net::steady_timer wake;
  const TableRows& table;
  bool is_silent = false;
  bool is_in_call = false;
  bool is_aborted = false;
};

struct Entry {
  Entry(net::io_context& context, const TableRows& table, RandomSource& random)
      : context(context),
        store(new SeverableStore(context.get_executor(), table)),
        follower(
            context.get_executor(),
            "t",
            std::unique_ptr<RowStore>(this->store),
            {[](const TableRows&) {}, [](const TableRows&) {}, [](bool) {}},
            this->clock,
            random) {
    this->follower.Start();
  }

  // Tells of a version, as the heartbeats of other entries do, until this one
  // has it.
  void AwaitVersion(RowVersion version) {
    RunUntil(this->context, [this, version] {
      this->follower.ExpectVersion(version);
      return this->follower.Version() == version;
    });
  }

  net::io_context& context;
  const SystemClock clock;
  // Owned by the follower.
  SeverableStore* store;
  TableFollower follower;
};

// Guards CONFIG and DRAIN: a call on a silent connection must be given up when
// others know of a change, at readers and listeners.
TEST_CASE(
    "a change reaches readers and listeners whose connections are silent") {
  net::io_context context;
  SeededRandom random(1);
  TableRows table{{{"a", "", RowVersion(7)}}, RowVersion(7)};
  Entry reader(context, table, random);
  Entry listener(context, table, random);
  RunUntil(context,
           [&] { return listener.follower.Version() == RowVersion(7); });
  listener.follower.SetReadByOthers(true);
  RunUntil(context, [&] {
    const bool awaits_relay = listener.follower.GapFreeSince() == RowVersion();
    return awaits_relay && reader.store->IsInCall();
  });

  reader.store->Sever();
  listener.store->Sever();
  table = {{{"a", "", RowVersion(9)}}, RowVersion(9)};
  reader.AwaitVersion(RowVersion(9));

  // The reader relays nothing of what it has read whole, so it must not count
  // as a reader for entries that lack it.
  schema::MemberUpdateT member;
  member.failure_domain = "a";
  member.instance = "listener";
  MemberDirectory directory(member);
  member.instance = "a reader";
  directory.Put(member);
  const ManualClock clock;
  StoreReaders readers{InstanceId("listener")};
  TableVersions since;
  since.fill(reader.follower.GapFreeSince());
  readers.OnReadClaim(InstanceId("a reader"), since, clock.Now());
  CHECK_FALSE(readers.HasReader(FollowedTable::Configuration,
                                listener.follower.Version(), directory,
                                clock.Now()));

  listener.AwaitVersion(RowVersion(9));
}

// How long an entry may be unaware of a change after a failure.
constexpr std::chrono::seconds kUnaware{3};

TableRows Table(std::uint64_t version) {
  return {{{"a", "", RowVersion(version)}}, RowVersion(version)};
}

// Guards CONFIG and DRAIN: a change ended the polls of all readers at once, so
// that none ended for seconds after it.
TEST_CASE("soon after all connections have gone silent a reader calls anew") {
  constexpr std::size_t kReaders = 6;
  net::io_context context;
  SeededRandom random(1);
  TableRows table = Table(7);
  std::vector<std::unique_ptr<Entry>> readers;
  for (std::size_t i = 0; i < kReaders; ++i) {
    readers.push_back(std::make_unique<Entry>(context, table, random));
    readers.back()->follower.SetPollTurn(PollTurn{i, kReaders});
  }
  const auto all_poll_from = [&](RowVersion version) {
    return std::all_of(readers.begin(), readers.end(), [&](const auto& each) {
      return each->follower.Version() == version && each->store->IsInCall();
    });
  };
  RunUntil(context, [&] { return all_poll_from(RowVersion(7)); });
  table = Table(9);
  RunUntil(context, [&] { return all_poll_from(RowVersion(9)); });

  for (const auto& each : readers) {
    each->store->Sever();
  }
  table = Table(11);
  const auto severed_at = std::chrono::steady_clock::now();
  RunUntil(context, [&] {
    return std::any_of(readers.begin(), readers.end(), [](const auto& each) {
      return each->follower.Version() == RowVersion(11);
    });
  });
  CHECK(std::chrono::steady_clock::now() - severed_at < kUnaware);
}

// Guards CONFIG and DRAIN: a listener whose relay was lost polled on the
// connection that had gone silent while it was not used.
TEST_CASE(
    "a listener that misses a change asks the store on a new connection") {
  net::io_context context;
  SeededRandom random(1);
  TableRows table = Table(7);
  Entry listener(context, table, random);
  listener.follower.SetReadByOthers(true);
  RunUntil(context, [&] {
    return listener.follower.Version() == RowVersion(7) &&
           !listener.store->IsInCall();
  });
  context.restart();
  context.run_for(std::chrono::seconds(1));
  REQUIRE_FALSE(listener.store->IsInCall());

  listener.store->Sever();
  table = Table(9);
  const auto severed_at = std::chrono::steady_clock::now();
  listener.follower.ExpectVersion(RowVersion(9));
  RunUntil(context,
           [&] { return listener.follower.Version() == RowVersion(9); });
  CHECK(std::chrono::steady_clock::now() - severed_at < kUnaware);
}

}  // namespace
}  // namespace acacia
