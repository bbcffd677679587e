#include "test/process_fleet.h"

#include <boost/json.hpp>

namespace acacia {
namespace {

using Tcp = boost::asio::ip::tcp;

// Above the seeds of all probes, so that no two requests share a work id.
constexpr std::uint64_t kLoadSeed = 1000;
constexpr std::uint64_t kProbeSeed = 1;

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string QuotedList(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) {
    list += Quoted(text) + ", ";
  }
  return "[" + list + "]";
}

// A loopback address derived from the process id, so that test processes that
// run at the same time rarely share one.
std::string HostOfThisProcess() {
  const pid_t pid = getpid();
  return "127." + std::to_string(16 + pid / 250 % 200) + "." +
         std::to_string(pid % 250) + ".1";
}

const char* DomainOf(int index) {
  constexpr const char* kDomains[] = {"a", "b", "c"};
  return kDomains[index % 3];
}

}  // namespace

std::string FreeAddresses::Take() {
  const std::string host = HostOfThisProcess();
  boost::asio::io_context io;
  const Tcp::endpoint any(boost::asio::ip::make_address(host), 0);
  std::uint16_t port = 0;
  do {
    port = Tcp::acceptor(io, any).local_endpoint().port();
  } while (!this->ports.insert(port).second);
  return host + ":" + std::to_string(port);
}

std::string Fleet::StartProxy(const std::string& name,
                              const std::string& listen,
                              const std::string& target,
                              bool datagrams) {
  std::string faults = this->addresses.Take();
  this->Start(name, "fault-proxy",
              "{\"listen\": " + Quoted(listen) + ", \"target\": " +
                  Quoted(target) + ", \"operator_listen\": " + Quoted(faults) +
                  ", \"datagrams\": " + (datagrams ? "true" : "false") + "}");
  Await(name, [&] {
    return SendHttpRequest(faults, "GET", "/standin/faults").status;
  });
  return faults;
}

Fleet::Fleet(FleetOptions options) : options(options) {
  std::string pattern = std::filesystem::temp_directory_path() / "fleet-XXXXXX";
  this->folder = mkdtemp(pattern.data());
  this->platform = this->addresses.Take();
  this->Start(
      "platform", "platform-standin",
      "{\"listen\": " + Quoted(this->platform) + ", \"list_lag_ms\": 300}");
  const std::string proxied = this->addresses.Take();
  this->platform_faults =
      this->StartProxy("proxy-platform", proxied, this->platform, false);
  this->StartBackends();
  this->Register();
  for (int i = 0; i < options.entries; ++i) {
    this->peer_listen.push_back(this->addresses.Take());
    this->peer_advertise.push_back(this->addresses.Take());
    this->entry_links.push_back(this->addresses.Take());
    this->callers.push_back(this->addresses.Take());
    this->entry_operators.push_back(this->addresses.Take());
    this->agent_operators.push_back(this->addresses.Take());
    this->peer_faults.push_back(this->StartProxy(
        "proxy-peer-" + std::to_string(i), this->peer_advertise.back(),
        this->peer_listen.back(), true));
  }
  this->platform = proxied;
  for (int i = 0; i < options.entries; ++i) {
    this->StartAgent(i);
    this->StartEntry(i);
  }
}

void Fleet::StartBackends() {
  for (int i = 0; i < this->options.kehto + this->options.uniikki; ++i) {
    const std::string name = std::to_string(i);
    this->backends.push_back(this->addresses.Take());
    this->Start("backend-" + name, "backend-standin",
                "{\"listen\": " + Quoted(this->backends.back()) +
                    ", \"name\": \"b" + name +
                    "\", \"slots\": 5, \"load_lag_ms\": 500" +
                    ", \"service_time_ms\": " +
                    std::to_string(this->options.service_time_ms) +
                    ", \"long_service_time_ms\": " +
                    std::to_string(this->options.long_service_time_ms) + "}");
    Await("backend server", [&] {
      return SendHttpRequest(this->backends.back(), "GET", "/health").status ==
             200;
    });
    this->backend_proxies.push_back(this->addresses.Take());
    this->backend_faults.push_back(
        this->StartProxy("proxy-backend-" + name, this->backend_proxies.back(),
                         this->backends.back(), false));
  }
}

void Fleet::Register() const {
  for (int i = 0; i < this->options.kehto + this->options.uniikki; ++i) {
    const std::string service = i < this->options.kehto ? "kehto" : "uniikki";
    const std::string target =
        "/v1/instances/" + service + "/" + this->backend_proxies[i] +
        "?failure_domain=" + DomainOf(i) + "&slots=5&state=live";
    Await("registration", [&] {
      return SendHttpRequest(this->platform, "PUT", target).status == 200;
    });
  }
}

void Fleet::StartAgent(int index) {
  const std::string name = std::to_string(index);
  std::vector<std::string> seeds = this->peer_advertise;
  seeds.resize(std::min<std::size_t>(seeds.size(), 3));
  this->Start(
      "agent-" + name, "acacia-agent",
      "{\"instance\": \"entry-" + name + "\", \"failure_domain\": \"" +
          DomainOf(index) + "\", \"region\": \"test\", \"peer_listen\": " +
          Quoted(this->peer_listen[index]) +
          ", \"peer_advertise\": " + Quoted(this->peer_advertise[index]) +
          ", \"entry_listen\": " + Quoted(this->entry_links[index]) +
          ", \"caller_advertise\": " + Quoted(this->callers[index]) +
          ", \"operator_listen\": " + Quoted(this->agent_operators[index]) +
          ", \"platform_address\": " + Quoted(this->platform) +
          ", \"answer_lifetime_ms\": 1000, \"seed_peers\": " +
          QuotedList(seeds) + "}");
}

void Fleet::StartEntry(int index) {
  const std::string name = std::to_string(index);
  this->Start(
      "entry-" + name, "acacia-entry",
      "{\"instance\": \"entry-" + name + "\", \"failure_domain\": \"" +
          DomainOf(index) + "\", \"region\": \"test\", \"caller_listen\": " +
          Quoted(this->callers[index]) +
          ", \"operator_listen\": " + Quoted(this->entry_operators[index]) +
          ", \"agent_address\": " + Quoted(this->entry_links[index]) +
          ", \"answer_lifetime_ms\": 1000}");
}

void Fleet::Serve() {
  REQUIRE(this->Apply(kFileSet) == 0);
  for (int i = 0; i < this->options.entries; ++i) {
    this->AwaitReady(i);
  }
  // Entries learn of the instance list last, which only answered requests show.
  auto probe = this->Load(1, 20);
  probe.seed = kProbeSeed;
  Await("all work to be answered", [&] {
    ++probe.seed;
    const auto results = this->Send(probe);
    return CountWithOutcome(results, CallOutcome::kAnswered) == results.size();
  });
}

std::uint64_t Fleet::Total(int backend, const std::string& name) const {
  const auto reply =
      SendHttpRequest(this->backends.at(backend), "GET", "/standin/totals");
  REQUIRE(reply.status == 200);
  const auto value = boost::json::parse(reply.body);
  return value.at("totals").at(name).to_number<std::uint64_t>();
}

std::uint64_t Fleet::Generation(int index) const {
  const auto reply =
      SendHttpRequest(this->agent_operators[index], "GET", "/metrics");
  const std::string key = "\nacacia_agent_generation ";
  const std::size_t found = reply.body.find(key);
  return found == std::string::npos
             ? 0
             : std::stoull(reply.body.substr(found + key.size()));
}

bool Fleet::IsReady(int index) const {
  return SendHttpRequest(this->entry_operators[index], "GET", "/ready")
             .status == 200;
}

void Fleet::AwaitReady(int index) const {
  std::string last_seen;
  Await("entry-" + std::to_string(index) + " to be ready", last_seen, [&] {
    last_seen =
        SendHttpRequest(this->agent_operators[index], "GET", "/status").body;
    return this->IsReady(index);
  });
}

int Fleet::Apply(const std::string& file_set, const std::string& write_id) {
  const std::string number = std::to_string(this->applied++);
  const std::string directory = this->folder + "/file-set-" + number;
  std::filesystem::create_directory(directory);
  std::ofstream(directory + "/set.json") << file_set;
  std::vector<std::string> words{ACACIA_BINARY_DIR "/acaciactl", "apply",
                                 directory, "--platform", this->platform};
  if (!write_id.empty()) {
    words.insert(words.end(), {"--write-id", write_id});
  }
  Process apply(words, this->folder + "/apply-" + number + ".log");
  return apply.Wait();
}

schema::LoadSettingsT Fleet::Load(int seconds, int rate) const {
  schema::LoadSettingsT settings;
  settings.entries = this->callers;
  settings.seed = kLoadSeed;
  settings.duration_ms = seconds * 1000;
  settings.rate.emplace_back(std::make_unique<schema::RatePointT>());
  settings.rate.back()->requests_per_second = rate;
  struct Class {
    const char* name;
    const char* service;
    const char* method;
    const char* path;
    std::uint32_t share;
    bool idempotent;
    std::uint64_t body_bytes;
  };
  const Class classes[] = {
      {"page", "kehto", "GET", "/catalogue", 80, true, 0},
      {"booking", "kehto", "POST", "/bookings", 18, false, 200},
      {"take", "uniikki", "POST", "/takes", 2, false, 500000}};
  for (const Class& each : classes) {
    auto& load_class =
        settings.classes.emplace_back(std::make_unique<schema::LoadClassT>());
    load_class->name = each.name;
    load_class->service = each.service;
    load_class->method = each.method;
    load_class->path = each.path;
    load_class->share = each.share;
    load_class->idempotent = each.idempotent;
    load_class->body_bytes = each.body_bytes;
    load_class->answer_bytes = 3000;
    load_class->chunked_answer = each.idempotent;
  }
  return settings;
}

std::vector<CallResult> Fleet::Send(
    const schema::LoadSettingsT& settings,
    const std::function<void()>& disturb) const {
  auto sending = std::async(std::launch::async, [&settings] {
    boost::asio::io_context io;
    std::vector<CallResult> results;
    const auto run = [&]() -> boost::asio::awaitable<void> {
      results = co_await RunLoad(settings);
    };
    boost::asio::co_spawn(io, run, boost::asio::detached);
    io.run();
    return results;
  });
  if (disturb) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    disturb();
  }
  return sending.get();
}

void Fleet::CheckPromisesOf(const std::vector<CallResult>& results) const {
  // Cancelled work may be recorded in a ledger late.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  WorkRecords ledger;
  for (const std::string& backend : this->backends) {
    Await("a ledger", [&] {
      const HttpReply reply =
          SendHttpRequest(backend, "GET", "/standin/ledger");
      return reply.status == 200 && AddLedgerJson(reply.body, ledger);
    });
  }
  const BrokenPromises broken = CheckPromises(results, &ledger);
  for (const std::string& example : broken.examples) {
    UNSCOPED_INFO(example);
  }
  CHECK(broken.wrong_answers == 0);
  CHECK(broken.not_run_but_ran == 0);
  CHECK(broken.non_idempotent_doubled == 0);
  CHECK(broken.answered_but_lost == 0);
  CHECK(broken.upload_altered == 0);
}

}  // namespace acacia
