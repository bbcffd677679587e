// An entry with client accounts, between callers and a scripted backend server.
#include <mutex>

#include "platform/host_dialect.h"
#include "src/fleet_pool.h"
#include "test/proxy_fixture.h"

namespace acacia {
namespace {

// Records on which account, and with which rank, requests are run.
class RecordingPool : public FleetPool {
 public:
  RecordingPool(const ServiceName& service,
                RandomSource& random,
                std::vector<std::string>& started)
      : FleetPool(service, FailureDomain("a"), random), started(started) {}
  void OnStart(PooledBackend& backend,
               const Work& work,
               TimePoint now) override {
    this->started.push_back(work.account.Value() + ":" +
                            std::to_string(work.rank));
    FleetPool::OnStart(backend, work, now);
  }

 private:
  std::vector<std::string>& started;
};

// Records the requests that reach the backend server and answers each.
class AccountFixture : public ProxyFixture {
 public:
  AccountFixture()
      : ProxyFixture([this](TextStream& stream, const std::string& request) {
          {
            const std::lock_guard lock(this->mutex);
            this->seen.push_back(request);
          }
          return stream.Send(
              "HTTP/1.1 200 OK\r\nX-Acaciaswitch-Request-Id: r\r\n"
              "X-Acaciaswitch-Response-Signature: s\r\n"
              "Content-Length: 0\r\n\r\n");
        }) {
    EntryPolicy policy;
    policy.dialect = platform::HostDialect();
    policy.make_chooser = [this](const ServiceName& service, const InstanceId&,
                                 RandomSource& random) {
      return std::make_unique<RecordingPool>(service, random, this->started);
    };
    this->settings.agent_address.clear();
    this->entry = std::make_unique<EntryServer>(this->settings, this->clock,
                                                std::move(policy));
    REQUIRE(this->entry->Listen());
    this->entry->Start();
    this->Apply({"k1"});
  }

  // Applies a configuration with one account that has these keys; without
  // accounts if there are none.
  void Apply(const std::vector<std::string_view>& keys,
             std::optional<std::uint32_t> priority = std::nullopt) {
    auto configuration = std::make_shared<Configuration>();
    this->generation = this->generation.Next();
    configuration->generation = this->generation;
    acacia::Service service;
    service.name = ServiceName("core");
    service.backend_servers.push_back({BackendId("i-1"), FailureDomain("a"), 4,
                                       this->backend.Address(), "i-1"});
    configuration->services.emplace(service.name, service);
    for (const bool anonymous : {false, true}) {
      Route route;
      route.name = anonymous ? "open" : "pay";
      route.path_prefix = anonymous ? "/open/" : "/pay/";
      route.service = service.name;
      route.max_body_bytes = 1000;
      route.anonymous = anonymous;
      route.priority = 2;
      configuration->routes.push_back(route);
    }
    if (!keys.empty()) {
      auto table = std::make_shared<AccountTable>();
      table->Add({AccountId("anna"), priority}, keys);
      configuration->keyed_accounts = table;
    }
    this->entry->ApplyConfiguration(configuration);
  }

  static std::string Request(const std::string& path,
                             const std::string& headers) {
    return "GET " + path +
           " HTTP/1.1\r\nHost: h\r\nX-Acaciaswitch-Request-Id: r\r\n" +
           headers + "\r\n";
  }
  std::size_t Seen() {
    const std::lock_guard lock(this->mutex);
    return this->seen.size();
  }
  // Sends a request that must be answered, and returns what the backend server
  // got.
  std::string Forwarded(const std::string& path, const std::string& headers) {
    CHECK(StatusOf(this->RoundTrip(Request(path, headers))) == 200);
    const std::lock_guard lock(this->mutex);
    REQUIRE_FALSE(this->seen.empty());
    return this->seen.back();
  }

  Generation generation{3};
  std::mutex mutex;
  std::vector<std::string> seen;
  // Written while the service is locked, before the request is sent.
  std::vector<std::string> started;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

constexpr char kAccount[] = "X-Acaciaswitch-Tenant";

// Guards KEYS: the key reached a backend server, or a caller named itself.
TEST_CASE("backend servers are told the account and never the key") {
  AccountFixture f;
  const std::string spoofed =
      "x-acaciaswitch-tenant: bert\r\nX-Acaciaswitch-Tenant: carl\r\n"
      "Acacia-Account: dora\r\n";
  for (const std::string& more :
       {std::string(), spoofed,
        std::string("Connection: Authorization, X-Acaciaswitch-Tenant\r\n")}) {
    const std::string seen =
        f.Forwarded("/pay/x", more + "authorization: bEaReR k1\r\n");
    CHECK(Field(seen, kAccount) == "anna");
    CHECK_FALSE(Contains(seen, "k1"));
    CHECK_FALSE(Contains(seen, "bert"));
    CHECK_FALSE(Contains(seen, "carl"));
  }
}

// Guards KEYS: an anonymous route forwarded a key, or an account that was not
// authenticated.
TEST_CASE("anonymous routes forward neither key nor account") {
  AccountFixture f;
  for (const std::string& headers :
       {std::string(), std::string("Authorization: Bearer k1\r\n"),
        std::string("X-Acaciaswitch-Tenant: anna\r\n"
                    "Authorization: Bearer wrong\r\n")}) {
    const std::string seen = f.Forwarded("/open/x", headers);
    CHECK_FALSE(Contains(seen, "Bearer"));
    CHECK_FALSE(Contains(seen, kAccount));
  }
  const std::string basic =
      f.Forwarded("/open/x", "Authorization: Basic dTpw\r\n");
  CHECK(Field(basic, "Authorization") == "Basic dTpw");
}

// Guards the deployments without accounts.
TEST_CASE("without accounts both headers pass through") {
  AccountFixture f;
  f.Apply({});
  const std::string seen = f.Forwarded(
      "/pay/x", "Authorization: Bearer k1\r\nX-Acaciaswitch-Tenant: anna\r\n");
  CHECK(Field(seen, "Authorization") == "Bearer k1");
  CHECK(Field(seen, kAccount) == "anna");
}

// Guards the order under overload: a request ran on the account that the caller
// named, or with the route's priority instead of the account's.
TEST_CASE("a request runs on its key's account and with that one's priority") {
  AccountFixture f;
  const std::string headers =
      "Acacia-Account: bert\r\nAuthorization: Bearer k1\r\n";
  f.Forwarded("/pay/x", headers);
  f.Apply({"k1"}, 0);
  f.Forwarded("/pay/x", headers);
  f.Forwarded("/open/x", headers);
  f.Apply({});
  f.Forwarded("/pay/x", headers);
  CHECK(f.started ==
        std::vector<std::string>{"anna:2", "anna:0", ":2", "bert:2"});
}

// Guards KEYS: a request without a known key was run, wholly or in part.
TEST_CASE("a request without a known key gets a 401 and is not run") {
  AccountFixture f;
  for (const std::string& headers :
       {std::string(), std::string("Authorization: Bearer wrong\r\n"),
        std::string("Authorization: Basic k1\r\n"),
        std::string("Authorization: Bearer wrong\r\nExpect: 100-continue\r\n"
                    "Content-Length: 900\r\n"),
        std::string("Authorization: Bearer wrong\r\n"
                    "Transfer-Encoding: chunked\r\n"),
        // Too large for the route, which strangers are not told.
        std::string("Content-Length: 5000000\r\n")}) {
    INFO(headers);
    const std::string answer = f.RoundTrip(f.Request("/pay/x", headers));
    CHECK(StatusOf(answer) == 401);
    CHECK(Field(answer, "WWW-Authenticate") == "Bearer");
    CHECK(Field(answer, "Acacia-Outcome") == "not-run");
    CHECK(Field(answer, "Retry-After").empty());
  }
  const std::string twice = "Authorization: Bearer k1\r\n";
  CHECK(StatusOf(f.RoundTrip(f.Request("/pay/x", twice + twice))) == 400);
  CHECK(f.Seen() == 0);
}

// Guards KEYS: open connections went on with the keys that were in force when
// they were opened.
TEST_CASE("a withdrawn key ends with the configuration on open connections") {
  AccountFixture f;
  TextStream caller = f.Connect();
  const auto status = [&](const std::string& key) {
    caller.Send(f.Request("/pay/x", "Authorization: Bearer " + key + "\r\n"));
    return StatusOf(caller.ReadMessage());
  };
  CHECK(status("k1") == 200);
  f.Apply({"k2"});
  CHECK(status("k1") == 401);
  CHECK(status("k2") == 200);
  CHECK(f.Seen() == 2);
}

// Guards KEYS: a caller was told that a key is unknown that a newer
// configuration, which this entry had not read, contains.
TEST_CASE("an outdated entry refuses unknown keys for a moment only") {
  AccountFixture f;
  f.entry->SetConfigurationAge(ConfigurationAge::kOutdated);
  const std::string request =
      f.Request("/pay/x", "Authorization: Bearer k2\r\n");
  const std::string answer = f.RoundTrip(request);
  CHECK(StatusOf(answer) == 503);
  CHECK(Field(answer, "Acacia-Outcome") == "not-run");
  const double wait = std::stod(Field(answer, "Retry-After"));
  CHECK(wait > 0);
  CHECK(wait <= 0.6);
  f.Forwarded("/pay/x", "Authorization: Bearer k1\r\n");
  f.entry->SetConfigurationAge(ConfigurationAge::kNewestKnown);
  CHECK(StatusOf(f.RoundTrip(request)) == 401);
}

}  // namespace
}  // namespace acacia
