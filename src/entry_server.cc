#include "src/entry_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <condition_variable>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "src/caller_server.h"
#include "src/entry_context.h"
#include "src/entry_link.h"
#include "src/keep_running.h"
#include "src/log_event.h"
#include "src/log_writer.h"
#include "src/operator_server.h"
#include "src/random_source.h"
#include "src/request_quarantine.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr std::chrono::milliseconds kHousekeepingInterval{250};
// Once the entry drains, connections on which no request has begun are closed
// after this many housekeeping intervals.
constexpr int kDrainRoundsBeforeIdleClose = 4;
// At most so long the process waits for its final report to reach the agent,
// and for its final answers to be written.
constexpr std::chrono::milliseconds kFinalWait{200};
constexpr std::chrono::milliseconds kFinalPoll{20};
// Between attempts to open the operators' address.
constexpr std::chrono::seconds kOperatorListenInterval{1};
constexpr std::uint32_t kFullPermille = 1000;

std::uint64_t ChooseSeed(const schema::EntrySettingsT& settings) {
  return settings.seed != 0 ? settings.seed : DrawSeed();
}

std::string AdvertisedAddress(const schema::EntrySettingsT& settings) {
  return settings.caller_advertise.empty() ? settings.caller_listen
                                           : settings.caller_advertise;
}

}  // namespace

struct EntryServer::State {
  State(const schema::EntrySettingsT& settings,
        const Clock& clock,
        EntryPolicy policy);

  EntryLinkHooks MakeLinkHooks();
  std::unique_ptr<Dispatcher> MakeDispatcher(const ServiceName& service,
                                             const ServiceView& view);
  void OnConfiguration(const schema::ConfigurationUpdateT& update);
  void InstallConfiguration(std::shared_ptr<const Configuration> next);
  void ReportSoon();
  void OnFleet(std::unique_ptr<schema::FleetUpdateT> update);
  void ExpireEjections();
  void RebuildSnapshot();
  schema::EntryReportT MakeReport();
  std::vector<schema::BackendEvidenceT> TakeEvidence();
  void ApplyEvidence(const std::string& from,
                     const std::vector<schema::BackendEvidenceT>& evidence);
  OperatorHandlers MakeOperatorHandlers();
  std::vector<std::string> Status();
  std::vector<std::string> Explain(const ServiceName& service);
  void RefreshGauges();
  std::uint32_t LoadPermille() const;
  net::awaitable<void> ListenForOperators();
  net::awaitable<void> RunHousekeeping();
  void SpawnStop();
  net::awaitable<void> Stop();
  net::awaitable<void> EndAdmission();
  net::awaitable<void> Sleep(Duration duration);
  net::awaitable<void> SleepUntil(TimePoint time);
  void Finish();

  const std::uint64_t seed;
  const Clock& clock;
  RequestQuarantine quarantine;
  net::io_context io;
  EntryContext context;
  // Serializes housekeeping and shutdown; sessions run outside it.
  net::strand<net::any_io_executor> strand;
  CallerServer callers;
  OperatorServer operators;
  // The stream to the agent; empty in an entry without an agent.
  std::optional<EntryLink> link;
  const EntryPolicy policy;
  std::function<void()> on_stop;

  // Guards changes of configuration, fleet and snapshot. Lock order: taken
  // before the service table's lock.
  std::mutex mutex;
  SeededRandom random;
  EntryMember self;
  std::shared_ptr<const Configuration> configuration;
  std::unique_ptr<schema::FleetUpdateT> fleet;
  TimePoint fleet_received;

  std::atomic<bool> stop_begun{false};
  std::atomic<bool> stopped{false};
  std::mutex finished_mutex;
  std::condition_variable finished_condition;
  bool finished = false;
  std::vector<std::thread> threads;
};

EntryServer::State::State(const schema::EntrySettingsT& settings,
                          const Clock& clock,
                          EntryPolicy policy)
    : seed(ChooseSeed(settings)),
      clock(clock),
      quarantine(std::make_unique<SeededRandom>(seed)),
      io(static_cast<int>(settings.worker_threads)),
      context(
          settings,
          clock,
          io.get_executor(),
          [this](const ServiceName& service, const ServiceView& view) {
            return this->MakeDispatcher(service, view);
          },
          seed,
          policy.dialect),
      strand(net::make_strand(net::any_io_executor(io.get_executor()))),
      callers(io.get_executor(), context),
      operators(io.get_executor(),
                settings.operator_token,
                this->MakeOperatorHandlers(),
                context.connection_limits.per_listener),
      policy(std::move(policy)),
      random(seed) {
  if (!settings.agent_address.empty()) {
    this->link.emplace(io.get_executor(), settings.agent_address, seed,
                       this->MakeLinkHooks());
  }
  this->context.close_while_leaving = this->policy.close_while_leaving;
  this->context.deadline_bounds_uploads = this->policy.deadline_bounds_uploads;
  this->self.instance = InstanceId(settings.instance);
  this->self.caller_address = AdvertisedAddress(settings);
  this->self.failure_domain = FailureDomain(settings.failure_domain);
  this->self.region = settings.region;
  this->self.alive = true;
  this->context.claim_key = [this](schema::KeyClaimT claim, KeyClaimDone done) {
    if (this->link) {
      this->link->ClaimKey(std::move(claim), std::move(done));
    } else {
      done({});
    }
  };
}

EntryLinkHooks EntryServer::State::MakeLinkHooks() {
  return {[this](std::unique_ptr<schema::ConfigurationUpdateT> update) {
            this->OnConfiguration(*update);
          },
          [this](std::unique_ptr<schema::FleetUpdateT> update) {
            this->OnFleet(std::move(update));
          },
          [this](bool connected) {
            this->context.metrics.agent_connected->Set(connected ? 1 : 0);
            LogEvent("agent_link").With("connected", connected);
          },
          [this] { return this->MakeReport(); }};
}

void EntryServer::State::ReportSoon() {
  if (this->link) {
    this->link->ReportSoon();
  }
}

// Called from RebuildSnapshot, with `mutex` held.
std::unique_ptr<Dispatcher> EntryServer::State::MakeDispatcher(
    const ServiceName& service,
    const ServiceView& view) {
  return std::make_unique<Dispatcher>(
      service, this->self.instance,
      std::make_unique<SeededRandom>(this->random.Next()), view,
      this->clock.Now(), this->policy.make_chooser, &this->quarantine,
      [&metrics = this->context.metrics.ForService(service)](HedgeEvent event) {
        metrics.hedges[static_cast<std::size_t>(event)]->Increment();
      });
}

void EntryServer::State::OnConfiguration(
    const schema::ConfigurationUpdateT& update) {
  const Generation generation(update.generation);
  if (!update.file_set) {
    LogEvent("configuration_refused", LogSeverity::kWarning)
        .With("generation", generation)
        .With("reason", "empty");
    return;
  }
  this->InstallConfiguration(std::make_shared<const Configuration>(
      BuildConfiguration(*update.file_set, generation)));
}

void EntryServer::State::InstallConfiguration(
    std::shared_ptr<const Configuration> next) {
  const std::lock_guard lock(this->mutex);
  const Generation generation = next->generation;
  const Generation current =
      this->configuration ? this->configuration->generation : Generation();
  if (generation < current) {
    LogEvent("configuration_refused", LogSeverity::kWarning)
        .With("generation", generation)
        .With("in_force", current)
        .With("reason", "older");
    return;
  }
  if (this->configuration && generation == current) {
    return;
  }
  this->configuration = std::move(next);
  this->context.quotas.SetAccounts(this->configuration->keyed_accounts.get());
  this->RebuildSnapshot();
  this->context.metrics.generation->Set(
      static_cast<double>(generation.Value()));
  LogEvent("configuration_applied").With("generation", generation);
  this->ReportSoon();
}

void EntryServer::State::ExpireEjections() {
  const std::lock_guard lock(this->mutex);
  const Duration age = this->clock.Now() - this->fleet_received;
  if (this->fleet != nullptr && DropLapsedEjections(*this->fleet, age)) {
    LogEvent("ejections_lapsed", LogSeverity::kWarning)
        .With("instance", this->context.settings.instance);
    this->RebuildSnapshot();
  }
}

void EntryServer::State::OnFleet(std::unique_ptr<schema::FleetUpdateT> update) {
  const bool stop = update->stop;
  {
    const std::lock_guard lock(this->mutex);
    this->fleet = std::move(update);
    this->fleet_received = this->clock.Now();
    this->RebuildSnapshot();
  }
  if (stop) {
    this->SpawnStop();
  }
}

void EntryServer::State::RebuildSnapshot() {
  this->self.load_permille = this->LoadPermille();
  this->self.leaving = this->stop_begun.load();
  auto snapshot = std::make_shared<const EntrySnapshot>(
      BuildSnapshot(this->configuration, this->fleet.get(), this->self));
  this->context.services.Apply(snapshot->views);
  this->context.snapshot.Set(std::move(snapshot));
}

// The entry's load: its open caller connections in relation to the most that it
// accepts, capped at kFullPermille.
std::uint32_t EntryServer::State::LoadPermille() const {
  const std::uint64_t limit =
      std::max<std::uint64_t>(this->context.connection_limits.callers, 1);
  const std::uint64_t load =
      this->context.connections.load() * std::uint64_t{kFullPermille} / limit;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(load, kFullPermille));
}

schema::EntryReportT EntryServer::State::MakeReport() {
  schema::EntryReportT report;
  const auto snapshot = this->context.snapshot.Get();
  report.generation =
      snapshot->IsReady() ? snapshot->configuration->generation.Value() : 0;
  report.fleet_sequence = snapshot->fleet_sequence;
  report.load_permille = this->LoadPermille();
  report.in_flight = this->context.active_requests.load();
  report.stopping = this->stop_begun.load();
  report.stopped = this->stopped.load();
  for (schema::BackendEvidenceT& evidence : this->TakeEvidence()) {
    report.evidence.push_back(
        std::make_unique<schema::BackendEvidenceT>(std::move(evidence)));
  }
  return report;
}

std::vector<schema::BackendEvidenceT> EntryServer::State::TakeEvidence() {
  std::vector<schema::BackendEvidenceT> all;
  for (const auto& [name, service] : this->context.services.All()) {
    for (schema::BackendEvidenceT& evidence : service->TakeEvidence()) {
      evidence.service = name.Value();
      all.push_back(std::move(evidence));
    }
  }
  return all;
}

void EntryServer::State::ApplyEvidence(
    const std::string& from,
    const std::vector<schema::BackendEvidenceT>& evidence) {
  std::map<ServiceName, std::vector<schema::BackendEvidenceT>> by_service;
  for (const schema::BackendEvidenceT& each : evidence) {
    by_service[ServiceName(each.service)].push_back(each);
  }
  for (const auto& [name, items] : by_service) {
    if (const auto service = this->context.services.Find(name)) {
      service->HandleEvent(
          [&from, &items = items](Dispatcher& dispatcher, TimePoint now) {
            return dispatcher.OnFleetEvidence(from, items, now);
          },
          nullptr);
    }
  }
}

OperatorHandlers EntryServer::State::MakeOperatorHandlers() {
  OperatorHandlers handlers;
  handlers["/ready"] = [this](const TargetParts&) {
    return ReadyReply(this->context.snapshot.Get()->IsReady() &&
                      !this->stop_begun.load());
  };
  handlers["/metrics"] = [this](const TargetParts&) {
    this->RefreshGauges();
    return MetricsReply(this->context.metrics.Registry());
  };
  handlers["/status"] = [this](const TargetParts&) {
    return StringArrayReply(this->Status());
  };
  handlers["/explain"] = [this](const TargetParts& target) {
    return StringArrayReply(
        this->Explain(ServiceName(target.Parameter("service"))));
  };
  return handlers;
}

void EntryServer::State::RefreshGauges() {
  EntryMetrics& metrics = this->context.metrics;
  metrics.caller_connections->Set(this->context.connections.load());
  metrics.backend_connections->Set(this->context.pool.ConnectionCount());
  metrics.in_flight->Set(this->context.active_requests.load());
  metrics.stopping->Set(this->stop_begun.load() ? 1 : 0);
  metrics.buffered_bytes->Set(
      static_cast<double>(this->context.buffers.HeldBytes()));
  metrics.limited_accounts->Set(static_cast<double>(
      this->context.quotas.LimitedCount(this->clock.Now())));
  metrics.quota_refusals->Set(
      static_cast<double>(this->context.quotas.RefusedCount()));
  metrics.quota_fractions->Set(
      static_cast<double>(this->context.quotas.FractionCount()));
  metrics.quarantined_requests->Set(static_cast<double>(
      this->quarantine.QuarantinedCount(this->clock.Now())));
}

std::vector<std::string> EntryServer::State::Status() {
  const auto snapshot = this->context.snapshot.Get();
  const std::uint64_t generation =
      snapshot->IsReady() ? snapshot->configuration->generation.Value() : 0;
  std::vector<std::string> lines{
      "instance " + this->context.settings.instance,
      "generation " + std::to_string(generation),
      "fleet_sequence " + std::to_string(snapshot->fleet_sequence),
      "members " + std::to_string(snapshot->members.size()),
      "in_flight " + std::to_string(this->context.active_requests.load()),
      "caller_connections " + std::to_string(this->context.connections.load()),
      std::string("stopping ") + (this->stop_begun.load() ? "true" : "false")};
  for (std::string& line : this->quarantine.Explain(this->clock.Now())) {
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<std::string> EntryServer::State::Explain(
    const ServiceName& service) {
  const auto found = this->context.services.Find(service);
  return found ? found->Explain()
               : std::vector<std::string>{"no service " + service.Value()};
}

net::awaitable<void> EntryServer::State::Sleep(Duration duration) {
  co_await this->SleepUntil(this->clock.Now() + duration);
}

net::awaitable<void> EntryServer::State::SleepUntil(TimePoint time) {
  net::steady_timer timer(this->strand, time);
  co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

// Refuses the requests that wait to be passed on at the end of the admission.
net::awaitable<void> EntryServer::State::EndAdmission() {
  co_await this->SleepUntil(this->context.stop_window.admission_end);
  this->callers.EndAdmission();
}

// Serving callers does not need the operators' address, so the entry does not
// wait for it or end without it.
net::awaitable<void> EntryServer::State::ListenForOperators() {
  do {
    co_await this->Sleep(kOperatorListenInterval);
  } while (!this->operators.Listen(this->context.settings.operator_listen,
                                   Availability::kRequired));
  LogEvent("operators_served")
      .With("address", this->context.settings.operator_listen);
}

net::awaitable<void> EntryServer::State::RunHousekeeping() {
  while (!this->stopped.load()) {
    co_await this->Sleep(kHousekeepingInterval);
    this->context.pool.CloseIdle(this->clock.Now());
    StandardLog().Flush();
    this->ExpireEjections();
  }
}

void EntryServer::State::SpawnStop() {
  if (this->stop_begun.exchange(true)) {
    return;
  }
  net::co_spawn(this->strand, this->Stop(),
                [this](const std::exception_ptr& error) {
                  LogFailureOf("stop")(error);
                  this->Finish();
                });
}

net::awaitable<void> EntryServer::State::Stop() {
  LogEvent("stopping").With("in_flight", this->context.active_requests.load());
  const TimePoint began = this->clock.Now();
  if (this->on_stop) {
    this->on_stop();
  }
  const StopWindow window =
      MakeStopWindow(began, this->policy.max_stop_duration);
  this->context.stop_window = window;
  this->context.phase = EntryPhase::kLeaving;
  {
    const std::lock_guard lock(this->mutex);
    this->RebuildSnapshot();
  }
  this->ReportSoon();
  const std::chrono::milliseconds lifetime(
      this->context.settings.answer_lifetime_ms);
  if (window.admission_end < TimePoint::max()) {
    net::co_spawn(this->strand, this->EndAdmission(),
                  LogFailureOf("end_admission"));
  }
  co_await this->SleepUntil(std::min<TimePoint>(began + lifetime, window.end));
  this->context.phase = EntryPhase::kDraining;
  this->callers.StopAccepting();
  // Connections whose accepting has not ended yet are counted after a pause.
  int round = 0;
  do {
    if (round++ >= kDrainRoundsBeforeIdleClose) {
      this->callers.CloseIdle();
    }
    co_await this->SleepUntil(std::min<TimePoint>(
        this->clock.Now() + kHousekeepingInterval, window.end));
  } while (this->context.connections.load() > 0 &&
           this->clock.Now() < window.end);
  if (this->context.connections.load() > 0) {
    this->callers.EndRequests();
  }
  this->stopped = true;
  LogEvent("stopped").With("instance", this->context.settings.instance);
  this->ReportSoon();
  const TimePoint finish = this->clock.Now() + kFinalWait;
  while (this->clock.Now() < finish &&
         (this->link || this->context.connections.load() > 0)) {
    co_await this->Sleep(kFinalPoll);
  }
}

void EntryServer::State::Finish() {
  const std::lock_guard lock(this->finished_mutex);
  this->finished = true;
  this->finished_condition.notify_all();
}

EntryServer::EntryServer(const schema::EntrySettingsT& settings,
                         const Clock& clock,
                         EntryPolicy policy)
    : state(std::make_unique<State>(settings, clock, std::move(policy))) {}

EntryMetrics& EntryServer::Metrics() {
  return this->state->context.metrics;
}

net::any_io_executor EntryServer::Executor() const {
  return this->state->io.get_executor();
}

void EntryServer::ApplyConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  this->state->InstallConfiguration(std::move(configuration));
}

void EntryServer::SetConfigurationAge(ConfigurationAge age) {
  this->state->context.configuration_age = age;
}

void EntryServer::SetHedgePercent(double percent) {
  const std::lock_guard lock(this->state->mutex);
  if (!this->state->configuration) {
    return;
  }
  auto changed = std::make_shared<Configuration>(*this->state->configuration);
  for (auto& [name, service] : changed->services) {
    service.policy.hedge_percent = percent;
  }
  this->state->configuration = std::move(changed);
  this->state->RebuildSnapshot();
}

void EntryServer::ApplyFleet(std::unique_ptr<schema::FleetUpdateT> fleet) {
  this->state->OnFleet(std::move(fleet));
}

void EntryServer::ApplyEvidence(
    const std::string& from,
    const std::vector<schema::BackendEvidenceT>& evidence) {
  this->state->ApplyEvidence(from, evidence);
}

std::vector<schema::BackendEvidenceT> EntryServer::TakeEvidence() {
  return this->state->TakeEvidence();
}

const ConnectionLimits& EntryServer::Limits() const {
  return this->state->context.connection_limits;
}

RequestQuarantine& EntryServer::Quarantine() {
  return this->state->quarantine;
}

QuotaLimiter& EntryServer::Quotas() {
  return this->state->context.quotas;
}

void EntryServer::OnStop(std::function<void()> hook) {
  this->state->on_stop = std::move(hook);
}

EntryServer::~EntryServer() {
  State& state = *this->state;
  state.io.stop();
  for (std::thread& thread : state.threads) {
    thread.join();
  }
  // Sessions use the tables in State, so they must end before State is
  // destroyed.
  state.io.restart();
  if (state.link) {
    state.link->Stop();
  }
  state.callers.StopAccepting();
  do {
    state.callers.CloseAll();
    state.io.run_one_for(kFinalWait);
  } while (state.context.connections.load() > 0);
}

tl::expected<void, std::string> EntryServer::Listen() {
  return this->state->callers.Listen(
      this->state->context.settings.caller_listen);
}

void EntryServer::Start() {
  State& state = *this->state;
  const schema::EntrySettingsT& settings = state.context.settings;
  const auto operators =
      state.operators.Listen(settings.operator_listen, Availability::kRequired);
  if (!operators) {
    LogEvent("operators_not_served", LogSeverity::kWarning)
        .With("reason", operators.error());
    net::co_spawn(state.strand, state.ListenForOperators(),
                  LogFailureOf("operators"));
  }
  {
    const std::lock_guard lock(state.mutex);
    state.RebuildSnapshot();
  }
  if (state.link) {
    state.link->Start();
  }
  SpawnLoop(state.strand, "housekeeping",
            [&state] { return state.RunHousekeeping(); });
  const std::uint32_t count = std::max(settings.worker_threads, 1U);
  for (std::uint32_t i = 0; i < count; ++i) {
    state.threads.emplace_back([&state] { RunHandlers(state.io); });
  }
  LogEvent("serving")
      .With("instance", settings.instance)
      .With("callers", settings.caller_listen)
      .With("operators", settings.operator_listen)
      .With("threads", count);
}

std::uint16_t EntryServer::CallerPort() const {
  return this->state->callers.Port();
}

void EntryServer::BeginStop() {
  this->state->SpawnStop();
}

void EntryServer::Wait() {
  std::unique_lock lock(this->state->finished_mutex);
  this->state->finished_condition.wait(
      lock, [this] { return this->state->finished; });
}

}  // namespace acacia
