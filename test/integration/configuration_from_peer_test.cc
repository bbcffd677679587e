// Tests that entries get configurations from one another, with entries in this
// process and a stand-in of the store.
#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <list>

#include "platform/host_adapter.h"
#include "src/entry_server.h"
#include "src/host_control.h"
#include "test/host_store.h"
#include "test/process_fleet.h"

namespace acacia {
namespace {

namespace net = boost::asio;

// What the store does with the calls of one entry.
struct StoreGate {
  std::atomic<bool> turns_away{false};
  std::atomic<bool> is_slow{false};
  // Answered readings of the configuration that contained rows.
  std::atomic<int> configurations_read{0};
};

class GatedStore : public RowStore {
 public:
  GatedStore(std::unique_ptr<RowStore> store, StoreGate& gate)
      : store(std::move(store)), gate(gate) {}

  net::awaitable<tl::expected<TableRows, RowStoreError>> ReadTable(
      std::string table) override {
    if (co_await this->IsRefused()) {
      co_return tl::unexpected(RowStoreError::kUnavailable);
    }
    auto rows = co_await this->store->ReadTable(table);
    co_return this->Pass(table, std::move(rows));
  }
  net::awaitable<tl::expected<TableRows, RowStoreError>>
  AwaitChanges(std::string table, RowVersion after, Duration wait) override {
    if (co_await this->IsRefused()) {
      co_return tl::unexpected(RowStoreError::kUnavailable);
    }
    auto rows = co_await this->store->AwaitChanges(table, after, wait);
    co_return this->Pass(table, std::move(rows));
  }
  void Abort() override { this->store->Abort(); }
  net::awaitable<tl::expected<RowVersion, RowStoreError>>
  Put(std::string table, std::string key, std::string value) override {
    co_return co_await this->store->Put(table, key, value);
  }
  net::awaitable<tl::expected<RowVersion, RowStoreError>>
  Remove(std::string table, std::string key, RowVersion expected) override {
    co_return co_await this->store->Remove(table, key, expected);
  }

 private:
  net::awaitable<bool> IsRefused() {
    if (this->gate.is_slow) {
      net::steady_timer pause(co_await net::this_coro::executor,
                              std::chrono::seconds(4));
      co_await pause.async_wait(net::use_awaitable);
    }
    co_return this->gate.turns_away.load();
  }
  tl::expected<TableRows, RowStoreError> Pass(
      const std::string& table,
      tl::expected<TableRows, RowStoreError> rows) {
    if (this->gate.turns_away) {
      return tl::unexpected(RowStoreError::kUnavailable);
    }
    if (rows && table == "op" && !rows->rows.empty()) {
      ++this->gate.configurations_read;
    }
    return rows;
  }

  std::unique_ptr<RowStore> store;
  StoreGate& gate;
};

class LocalEntry {
 public:
  LocalEntry(const std::string& name,
             const std::string& store,
             FreeAddresses& addresses,
             const Clock& clock) {
    schema::EntrySettingsT settings;
    settings.instance = name;
    settings.failure_domain = "a";
    settings.caller_listen = addresses.Take();
    settings.operator_listen = addresses.Take();
    settings.answer_lifetime_ms = 1;
    settings.worker_threads = 1;
    settings.host_platform = std::make_unique<schema::HostPlatformSettingsT>();
    settings.host_platform->store_address = store;
    settings.host_platform->lookup_listen = addresses.Take();
    settings.host_platform->ready_listen = addresses.Take();
    settings.host_platform->peer_listen = addresses.Take();
    HostAdapter adapter = platform::MakeHostAdapter(*settings.host_platform);
    adapter.make_store = [this, make = adapter.make_store] {
      return std::make_unique<GatedStore>(make(), this->gate);
    };
    EntryPolicy policy;
    policy.dialect = adapter.dialect;
    this->callers = settings.caller_listen;
    this->operators = settings.operator_listen;
    this->server =
        std::make_unique<EntryServer>(settings, clock, std::move(policy));
    this->control =
        std::make_unique<HostControl>(settings, adapter, *this->server, clock);
    REQUIRE(this->control->Start());
    REQUIRE(this->server->Listen());
    this->server->Start();
  }

  int StatusFor(const std::string& key) const {
    net::io_context io;
    HttpClient client(this->callers);
    int status = 0;
    const auto exchange = [&]() -> net::awaitable<void> {
      HttpRequest request{
          "GET", "/x", {{"authorization", "Bearer " + key}}, ""};
      const auto answer =
          co_await client.Send(std::move(request), std::chrono::seconds(5));
      status = answer ? answer->status : 0;
    };
    net::co_spawn(io, exchange(), net::detached);
    io.run();
    return status;
  }
  std::string Metrics() const {
    return SendHttpRequest(this->operators, "GET", "/metrics").body;
  }

  int TakenFromPeers() const {
    const std::string name = "\nacacia_configurations_from_peers_total ";
    const std::string metrics = this->Metrics();
    const std::size_t at = metrics.find(name);
    REQUIRE(at != std::string::npos);
    return std::stoi(metrics.substr(at + name.size()));
  }

  StoreGate gate;
  std::string callers;
  std::string operators;
  std::unique_ptr<EntryServer> server;
  std::unique_ptr<HostControl> control;
};

// Three entries of one failure domain: e1 and e2 read the store, e3 listens.
struct PeerConfigurationFixture {
  PeerConfigurationFixture() {
    this->Write(1, "k1");
    for (const char* name : {"e1", "e2", "e3"}) {
      this->entries.emplace_back(name, this->store.Address(), this->addresses,
                                 this->clock);
    }
    for (const LocalEntry& each : this->entries) {
      Await("the first configuration", [&each] {
        return each.Metrics().find("acacia_client_accounts 1") !=
               std::string::npos;
      });
    }
    Await("the listener to rely on the readers", [this] {
      return this->Last().Metrics().find("acacia_reads_store 0") !=
             std::string::npos;
    });
    // A change ends the listener's last poll; it then relies on the readers.
    this->Write(2, "k2");
    this->SecondsUntilRevoked("k1");
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }

  // Writes a configuration, larger than what readers relay, in which one
  // account has this key. Its service has no backend server, so that a known
  // key gets a 503 of another kind than kConfigurationOutdated.
  void Write(int version, const std::string& key) {
    this->store.Put(
        "op", "config",
        R"({"version":"r)" + std::to_string(version) + R"(","note":")" +
            std::string(30000, 'x') +
            R"(","resources":[{"resourceKind":"services","metadata":)"
            R"({"name":"core"},"spec":{}},{"resourceKind":"routes","metadata":)"
            R"({"name":"pay"},"spec":{"host":"","prefix":"/","kind":"safe",)"
            R"("service":"core"}},{"resourceKind":"tenants","metadata":)"
            R"({"name":"anna"},"spec":{"apiKeys":[")" +
            key + R"("]}}]})");
  }
  LocalEntry& Last() { return this->entries.back(); }
  // Seconds until all entries refuse the key `old_key`.
  double SecondsUntilRevoked(const std::string& old_key) {
    const auto start = this->clock.Now();
    for (const LocalEntry& each : this->entries) {
      Await("the key to be refused",
            [&] { return each.StatusFor(old_key) == 401; });
    }
    return std::chrono::duration<double>(this->clock.Now() - start).count();
  }

  SystemClock clock;
  FreeAddresses addresses;
  HostStore store;
  std::list<LocalEntry> entries;
};

// Guards the cost at the store: all entries read a configuration that is too
// large to be relayed.
TEST_CASE("A large configuration is read from the store by the readers only") {
  PeerConfigurationFixture f;
  const int before = f.Last().gate.configurations_read;
  const int taken = f.Last().TakenFromPeers();
  f.Write(3, "k3");
  CHECK(f.SecondsUntilRevoked("k2") <= 2.5);
  CHECK(f.Last().StatusFor("k3") == 503);
  CHECK(f.Last().gate.configurations_read == before);
  CHECK(f.Last().TakenFromPeers() == taken + 1);
}

// Guards CONFIG: an entry that the store turned away, or answered slowly,
// accepted withdrawn keys until the store answered again.
TEST_CASE("An entry without the store gets a large configuration in time") {
  for (const bool is_slow : {false, true}) {
    INFO(is_slow);
    PeerConfigurationFixture f;
    (is_slow ? f.Last().gate.is_slow : f.Last().gate.turns_away) = true;
    f.Write(3, "k3");
    CHECK(f.SecondsUntilRevoked("k2") <= 2.5);
    f.Write(4, "k4");
    CHECK(f.SecondsUntilRevoked("k3") <= 2.5);
    (is_slow ? f.Last().gate.is_slow : f.Last().gate.turns_away) = false;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    CHECK(f.Last().StatusFor("k3") == 401);
    CHECK(f.Last().StatusFor("k4") == 503);
  }
}

// Guards CONFIG: a reader that the store turned away did not get it either.
TEST_CASE("A reader without the store gets a large configuration in time") {
  PeerConfigurationFixture f;
  f.entries.front().gate.turns_away = true;
  f.Write(3, "k3");
  CHECK(f.SecondsUntilRevoked("k2") <= 2.5);
  f.entries.front().gate.turns_away = false;
  f.Write(4, "k4");
  CHECK(f.SecondsUntilRevoked("k3") <= 2.5);
}

}  // namespace
}  // namespace acacia
