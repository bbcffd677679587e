#include "src/host_control.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <utility>

#include "src/configuration_exchange.h"
#include "src/entry_metrics.h"
#include "src/entry_peers.h"
#include "src/fleet_quota.h"
#include "src/fleet_state.h"
#include "src/host_metrics.h"
#include "src/host_policy.h"
#include "src/keep_running.h"
#include "src/log_event.h"
#include "src/member_directory.h"
#include "src/operator_server.h"
#include "src/peer_messages.h"
#include "src/random_source.h"
#include "src/request_quarantine.h"
#include "src/table_follower.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
// Request outcomes are sent to the other entries in batches of this interval:
// short compared with the seconds that a fault lasts, long compared with the
// cost of a wake-up.
constexpr std::chrono::milliseconds kShareInterval{40};
// Longest retry pause of the followers that need not detect by themselves that
// the store is back. Polling one table often is enough for that; the other
// followers then retry at once.
constexpr Duration kMaxSecondaryRetryPause = std::chrono::milliseconds(1200);
// Changes of members are applied in batches of this interval: long compared
// with the start of one entry, short compared with the seconds for which a
// lookup answer is used.
constexpr std::chrono::milliseconds kMemberBatchPause{150};
// Listeners ask other entries for a configuration that is not relayed before
// they ask the store, so that a large one is read from the store by few.
constexpr Duration kConfigurationRelayTimeout = std::chrono::milliseconds(1200);
// Pause before a failed write of this entry's row is retried.
constexpr std::chrono::milliseconds kRowRetryPause{500};
// While stopping, how often this entry checks whether the write of its row has
// ended.
constexpr std::chrono::milliseconds kRegistrationPoll{20};
// Pause before a failed removal of this entry's row is retried.
constexpr std::chrono::milliseconds kRemovalRetryPause{200};
// Fleet size assumed for this entry's share of fleet-wide limits until the
// members table has been read.
constexpr std::uint32_t kAssumedFleetSize = 64;

}  // namespace

struct HostControl::State : std::enable_shared_from_this<State> {
  State(const schema::EntrySettingsT& settings,
        HostAdapter adapter,
        EntryServer& entry,
        const Clock& clock);

  tl::expected<void, std::string> Start();
  void Reload(const schema::HostPlatformSettingsT& next);
  void Follow(FollowedTable table, const std::string& name, TableEvents events);
  void OnConfigurationRow(const TableRow& row);
  void OnRegistrations(const TableRows& rows, bool whole);
  void OnRegistrationsAvailable(bool available);
  void OnMembers(const TableRows& rows, bool whole);
  std::optional<RegisteredBackend> ReadRegistration(const TableRow& row);
  void UpdateFleet();
  void UpdateFleetSoon();
  void ArmTimer();
  net::awaitable<void> ShareOutcomes();
  void OnEvidence(const std::string& from,
                  const std::vector<schema::BackendEvidenceT>& evidence);
  TableFollower& Follower(FollowedTable table) const {
    return *this->followers[TableIndex(table)];
  }
  TableVersions NewestKnownRows() const;
  TableVersions GapFreeSince() const;
  void OnPeerVersions(const TableVersions& rows);
  void UpdateConfigurationAge();
  void OnConfigurationHolder(const InstanceId& from, RowVersion version);
  void OnRowRequest(const InstanceId& from, RowVersion after);
  void OnRowReply(const TableRows& newest);
  void RequestConfiguration();
  void ApplyRole();
  // Writes this entry's row again if a restored store lost it. `members` is the
  // whole table.
  void RestoreOwnRow(const TableRows& members);
  void StartRegistration();
  net::awaitable<void> Register();
  net::awaitable<void> Unregister();
  // Reads which version this entry's row has. Returns false if it is not there,
  // or another process of this instance has written it.
  net::awaitable<bool> FindOwnRowVersion();
  void OnStop();
  HttpReply AnswerLookup(const TargetParts& target);
  bool IsReady() const;

  schema::HostPlatformSettingsT host;
  HostAdapter adapter;
  EntryServer& entry;
  const Clock& clock;
  HostMetrics metrics;
  // Serializes all work of this object.
  net::strand<net::any_io_executor> strand;
  net::steady_timer timer;
  SeededRandom random;
  BackendRegistry registry;
  MemberDirectory directory;
  schema::MemberUpdateT self;
  bool registry_read = false;
  // The store's version when the registrations were last read whole.
  RowVersion registrations_version;
  bool members_read = false;
  bool update_pending = false;
  bool stopping = false;
  std::uint64_t sequence = 0;
  Generation generation;
  ConfigurationExchange configurations;
  std::unique_ptr<RowStore> own_rows;
  // Version of this entry's row in the members table; 0 while it is not known
  // to be written.
  RowVersion own_row;
  bool is_registering = false;
  std::array<std::unique_ptr<TableFollower>, std::tuple_size_v<TableVersions>>
      followers;
  EntryPeers peers;
  FleetQuota quotas;
  OperatorServer lookups;
  OperatorServer readiness;
};

HostControl::State::State(const schema::EntrySettingsT& settings,
                          HostAdapter adapter,
                          EntryServer& entry,
                          const Clock& clock)
    : host(*settings.host_platform),
      adapter(std::move(adapter)),
      entry(entry),
      clock(clock),
      metrics(entry.Metrics().Registry()),
      strand(net::make_strand(entry.Executor())),
      timer(strand),
      random(settings.seed != 0 ? settings.seed : DrawSeed()),
      directory(DescribeSelf(settings, clock)),
      self(DescribeSelf(settings, clock)),
      configurations(this->adapter.configuration_key, random),
      own_rows(this->adapter.make_store()),
      peers(strand,
            self,
            directory,
            clock,
            {[this](const TableVersions& rows) { this->OnPeerVersions(rows); },
             [this](FollowedTable table,
                    RowVersion after,
                    const TableRows& changes) {
               this->metrics.OnRelayed(table, this->clock.UnixNow());
               this->Follower(table).ApplyRelayed(after, changes);
             },
             [this](const std::string& from, const auto& evidence) {
               this->OnEvidence(from, evidence);
             },
             [this](const auto& reports) {
               this->entry.Quarantine().OnPeerReports(reports,
                                                      this->clock.Now());
             },
             [this](const auto& quarantines) {
               this->entry.Quarantine().OnPeerQuarantines(quarantines,
                                                          this->clock.Now());
             },
             [this](const schema::QuotaReportT& report) {
               this->quotas.OnReport(report, this->clock.Now());
             },
             [this](const schema::QuotaReplyT& reply) {
               this->quotas.OnReply(reply, this->clock.Now());
             },
             [this](const InstanceId& from, RowVersion version) {
               this->OnConfigurationHolder(from, version);
             },
             [this](const InstanceId& from, RowVersion after) {
               this->OnRowRequest(from, after);
             },
             [this](const TableRows& newest) { this->OnRowReply(newest); }}),
      quotas(entry.Quotas(),
             InstanceId(settings.instance),
             static_cast<std::uint32_t>(random.Next())),
      lookups(strand,
              "",
              {{this->adapter.lookup_path,
                [this](const TargetParts& target) {
                  return this->AnswerLookup(target);
                }}},
              entry.Limits().per_listener),
      readiness(strand,
                "",
                {{this->adapter.ready_path,
                  [this](const TargetParts&) {
                    return ReadyReply(this->IsReady());
                  }}},
                entry.Limits().per_listener) {}

bool HostControl::State::IsReady() const {
  return this->registry_read && this->generation > Generation() &&
         !this->stopping;
}

HttpReply HostControl::State::AnswerLookup(const TargetParts& target) {
  const FailureDomain domain(
      target.Parameter(this->adapter.lookup_zone_parameter));
  const auto lifetime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->host.lookup_lifetime_s));
  HttpReply reply;
  reply.headers["content-type"] = "application/json";
  reply.body = this->adapter.write_lookup(
      this->directory.AddressesFor(domain, this->random, this->clock.Now()),
      lifetime);
  return reply;
}

void HostControl::State::Follow(FollowedTable table,
                                const std::string& name,
                                TableEvents events) {
  events.on_fetched = [this, table](RowVersion after,
                                    const TableRows& changes) {
    this->peers.RelayChanges(table, after, changes);
    this->peers.ShareSoon();
  };
  events.on_call = [this, table](std::optional<RowStoreError> error) {
    this->metrics.OnCall(table, error, this->clock.UnixNow());
  };
  this->followers[TableIndex(table)] = std::make_unique<TableFollower>(
      this->strand, name, this->adapter.make_store(), std::move(events),
      this->clock, this->random);
}

tl::expected<void, std::string> HostControl::State::Start() {
  const auto each_configuration = [this](const TableRows& rows) {
    for (const TableRow& row : rows.rows) {
      this->OnConfigurationRow(row);
    }
  };
  this->Follow(FollowedTable::Configuration, this->adapter.configuration_table,
               {each_configuration, each_configuration, [](bool) {}});
  this->Follower(FollowedTable::Configuration)
      .SetRelayTimeout(kConfigurationRelayTimeout);
  this->Follow(
      FollowedTable::Registrations, this->adapter.registrations_table,
      {[this](const TableRows& rows) { this->OnRegistrations(rows, true); },
       [this](const TableRows& rows) { this->OnRegistrations(rows, false); },
       [this](bool available) { this->OnRegistrationsAvailable(available); }});
  this->Follow(FollowedTable::Members, this->adapter.members_table,
               {[this](const TableRows& rows) { this->OnMembers(rows, true); },
                [this](const TableRows& rows) { this->OnMembers(rows, false); },
                [](bool) {}});
  // What other entries send, and what callers ask, uses the followers.
  for (const auto& [server, address] :
       {std::pair(&this->lookups, &this->host.lookup_listen),
        std::pair(&this->readiness, &this->host.ready_listen)}) {
    if (auto listening = server->Listen(*address); !listening) {
      return listening;
    }
  }
  if (auto listening = this->peers.Listen(this->host.peer_listen); !listening) {
    return listening;
  }
  for (const auto& follower : this->followers) {
    follower->Start();
  }
  this->StartRegistration();
  SpawnLoop(this->strand, "share_outcomes", [state = this->shared_from_this()] {
    return state->ShareOutcomes();
  });
  return {};
}

void HostControl::State::OnRegistrationsAvailable(bool available) {
  this->registry.OnStoreAvailable(available, this->clock.Now());
  if (available) {
    this->Follower(FollowedTable::Configuration).RetryNow();
    this->Follower(FollowedTable::Members).RetryNow();
  }
  this->ArmTimer();
}

void HostControl::State::Reload(const schema::HostPlatformSettingsT& next) {
  schema::HostPlatformSettingsT merged = next;
  const bool moved = next.store_address != this->host.store_address ||
                     next.lookup_listen != this->host.lookup_listen ||
                     next.ready_listen != this->host.ready_listen ||
                     next.peer_listen != this->host.peer_listen;
  if (moved) {
    LogEvent("settings_need_restart", LogSeverity::kWarning)
        .With("reason", "an address has changed");
    merged.store_address = this->host.store_address;
    merged.lookup_listen = this->host.lookup_listen;
    merged.ready_listen = this->host.ready_listen;
    merged.peer_listen = this->host.peer_listen;
  }
  if (merged.hedge_percent != this->host.hedge_percent) {
    LogEvent("hedge_limit_changed")
        .With("before_percent", this->host.hedge_percent)
        .With("percent", merged.hedge_percent);
    this->entry.SetHedgePercent(merged.hedge_percent);
  }
  this->host = merged;
  LogEvent("settings_in_force")
      .With("retry_budget_ratio", this->host.retry_budget_ratio)
      .With("retry_budget_extra", this->host.retry_budget_extra)
      .With("floor_share", this->host.floor_share)
      .With("hedge_percent", this->host.hedge_percent);
}

void HostControl::State::OnConfigurationRow(const TableRow& row) {
  if (row.key != this->adapter.configuration_key || row.removed) {
    return;
  }
  auto configuration = this->adapter.read_configuration(
      row.value, MakeServicePolicy(this->host));
  if (!configuration) {
    LogEvent("configuration_unreadable", LogSeverity::kError)
        .With("row_version", row.version)
        .With("kept_generation", this->generation)
        .With("reason", configuration.error());
    return;
  }
  const bool is_newer = configuration->generation > this->generation;
  std::optional<std::string> shared_text;
  if (is_newer) {
    shared_text = configuration->keyed_accounts
                      ? this->adapter.hide_keys(row.value)
                      : row.value;
  }
  this->configurations.OnRowRead(row.version, std::move(shared_text));
  LogEvent(is_newer ? "configuration_read" : "configuration_not_newer")
      .With("generation", configuration->generation)
      .With("in_force", this->generation)
      .With("row_version", row.version);
  if (!is_newer) {
    return;
  }
  this->generation = configuration->generation;
  this->metrics.SetClientAccounts(
      configuration->keyed_accounts
          ? configuration->keyed_accounts->Accounts().size()
          : 0);
  this->entry.ApplyConfiguration(
      std::make_shared<const Configuration>(std::move(*configuration)));
}

std::optional<RegisteredBackend> HostControl::State::ReadRegistration(
    const TableRow& row) {
  auto backend = this->adapter.read_registration(row.key, row.value);
  if (!backend) {
    LogEvent("registration_unreadable", LogSeverity::kWarning)
        .With("name", row.key)
        .With("row_version", row.version)
        .With("reason", backend.error());
    return std::nullopt;
  }
  return std::move(*backend);
}

void HostControl::State::OnRegistrations(const TableRows& rows, bool whole) {
  const TimePoint now = this->clock.Now();
  if (whole) {
    Registrations registrations;
    for (const TableRow& row : rows.rows) {
      registrations[row.key] = this->ReadRegistration(row);
    }
    if (this->registry_read &&
        EraOf(this->registrations_version) < EraOf(rows.version)) {
      this->registry.OnStoreRestored(now);
    }
    this->registrations_version = rows.version;
    this->registry.Replace(registrations, now);
    LogEvent("registrations_read")
        .With("count", rows.rows.size())
        .With("version", rows.version);
  } else {
    for (const TableRow& row : rows.rows) {
      if (row.removed) {
        this->registry.Remove(row.key, now);
        LogEvent("registration_removed")
            .With("name", row.key)
            .With("row_version", row.version);
        continue;
      }
      const auto backend = this->ReadRegistration(row);
      const RegistrationUse use = this->registry.Put(row.key, backend, now);
      if (backend) {
        LogEvent("registration_changed")
            .With("backend_server", backend->id)
            .With("row_version", row.version)
            .With("sequence", backend->report.sequence)
            .With("leaving", backend->leaving)
            .With("use", RegistrationUseName(use));
      }
    }
  }
  this->registry_read = true;
  this->UpdateFleet();
}

void HostControl::State::OnMembers(const TableRows& rows, bool whole) {
  if (whole) {
    this->directory.Clear();
    LogEvent("members_read")
        .With("count", rows.rows.size())
        .With("version", rows.version);
  }
  for (const TableRow& row : rows.rows) {
    if (row.removed) {
      this->directory.Remove(InstanceId(row.key));
      LogEvent("member_left")
          .With("instance", row.key)
          .With("row_version", row.version);
      continue;
    }
    if (const auto member = ParseMember(row.value)) {
      this->directory.Put(*member);
      // A read of the whole table logs only the count, above.
      if (!whole) {
        LogEvent("member_joined")
            .With("instance", row.key)
            .With("row_version", row.version);
      }
    }
  }
  if (whole) {
    this->RestoreOwnRow(rows);
  }
  this->members_read = true;
  this->UpdateFleetSoon();
}

// Members can change by the hundred at once, and each update rebuilds all
// views, so updates are batched.
void HostControl::State::UpdateFleetSoon() {
  if (std::exchange(this->update_pending, true)) {
    return;
  }
  auto pause = std::make_shared<net::steady_timer>(this->strand);
  pause->expires_after(kMemberBatchPause);
  pause->async_wait([weak = this->weak_from_this(),
                     pause](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (self && !error) {
      self->UpdateFleet();
    }
  });
}

// Builds the complete state of the fleet and applies it to the entry.
void HostControl::State::UpdateFleet() {
  const TimePoint now = this->clock.Now();
  this->update_pending = false;
  this->registry.OnTimer(now);
  const std::uint32_t fleet_size =
      this->members_read
          ? static_cast<std::uint32_t>(this->directory.Members().size())
          : kAssumedFleetSize;
  Cells cells = BuildCells(this->registry, this->directory);
  auto fleet =
      BuildFleetUpdate(this->registry, this->directory, cells, fleet_size, now);
  if (cells.IsUndivided()) {
    this->directory.SetCellPeers({});
  } else {
    this->directory.SetCellPeers(cells.EntriesInCellOf(this->directory.Self()));
  }
  this->peers.SetCells(std::move(cells));
  fleet->sequence = ++this->sequence;
  this->quotas.SetMembers(this->directory.Members(), fleet_size);
  this->metrics.SetMembers(this->directory.Members().size());
  this->metrics.SetRegistered(this->registry.Backends().size());
  this->metrics.SetWithheld(this->registry.WithheldCount());
  this->entry.ApplyFleet(std::move(fleet));
  this->ArmTimer();
}

void HostControl::State::ArmTimer() {
  const auto next = this->registry.NextTimer();
  if (!next) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_at(*next);
  this->timer.async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) {
          self->UpdateFleet();
        }
      });
}

net::awaitable<void> HostControl::State::ShareOutcomes() {
  net::steady_timer pause(this->strand);
  for (;;) {
    pause.expires_after(kShareInterval);
    co_await pause.async_wait(kAwait);
    RequestQuarantine& quarantine = this->entry.Quarantine();
    const TimePoint now = this->clock.Now();
    const OutcomeReports reports{this->entry.TakeEvidence(),
                                 quarantine.TakeReports(now)};
    this->peers.UpdateRole();
    this->ApplyRole();
    this->UpdateConfigurationAge();
    this->RequestConfiguration();
    // An entry that is not ready yet reports so: lookups then leave it out, and
    // it need not read the store in addition to the readers. An entry that
    // stops sends nothing, so that the others drop it even while the store, and
    // with it the members table, is unavailable.
    if (!this->stopping) {
      this->peers.SetServing(this->IsReady());
      if (quarantine.TakeChanged()) {
        this->peers.ShareSoon();
      }
      this->peers.Share(reports, this->NewestKnownRows(), this->GapFreeSince(),
                        quarantine.Quarantines(now));
    }
    // An entry that stops still serves callers for a while.
    this->peers.SendQuotas(this->quotas.OnTick(now));
    this->metrics.SetQuotas(this->quotas.Counts());
  }
}

void HostControl::State::OnEvidence(
    const std::string& from,
    const std::vector<schema::BackendEvidenceT>& evidence) {
  const TimePoint now = this->clock.Now();
  for (const schema::BackendEvidenceT& each : evidence) {
    if (each.good > 0) {
      this->entry.Quarantine().OnBackendReportedGood(BackendId(each.id), now);
    }
  }
  this->entry.ApplyEvidence(from, evidence);
}

TableVersions HostControl::State::NewestKnownRows() const {
  TableVersions known;
  std::transform(this->followers.begin(), this->followers.end(), known.begin(),
                 [](const auto& each) { return each->NewestKnownRow(); });
  return known;
}

// The versions since which this entry reads the tables for others; all 0 for
// a listener and while stopping.
TableVersions HostControl::State::GapFreeSince() const {
  TableVersions since;
  if (this->peers.Role() != ReaderRole::kListener && !this->stopping) {
    std::transform(this->followers.begin(), this->followers.end(),
                   since.begin(),
                   [](const auto& each) { return each->GapFreeSince(); });
  }
  return since;
}

void HostControl::State::OnPeerVersions(const TableVersions& rows) {
  const TableVersions before = this->NewestKnownRows();
  const RowVersion newest = rows[TableIndex(FollowedTable::Registrations)];
  const RowVersion held =
      this->Follower(FollowedTable::Registrations).Version();
  // A newer era shows that the store was away for others too.
  if (newest > held && EraOf(newest) == EraOf(held)) {
    this->registry.OnPeerHasNewerRegistration(this->clock.Now());
  }
  for (std::size_t i = 0; i < rows.size(); ++i) {
    this->followers[i]->ExpectVersion(rows[i]);
  }
  this->UpdateConfigurationAge();
  // Only readers pass newer versions on at once: from every listener they would
  // multiply the messages and add nothing.
  if (this->NewestKnownRows() != before &&
      this->peers.Role() != ReaderRole::kListener) {
    this->peers.ShareSoon();
  }
}

void HostControl::State::UpdateConfigurationAge() {
  const TableFollower& follower = this->Follower(FollowedTable::Configuration);
  const ConfigurationAge age = follower.NewestKnownRow() > follower.Version()
                                   ? ConfigurationAge::kOutdated
                                   : ConfigurationAge::kNewestKnown;
  this->entry.SetConfigurationAge(age);
  this->peers.SetConfigurationAge(age);
}

void HostControl::State::OnConfigurationHolder(const InstanceId& from,
                                               RowVersion version) {
  if (version > this->Follower(FollowedTable::Configuration).Version()) {
    this->configurations.Requester().OnHolder(
        from,
        this->directory.IsDomainPeer(from) ? HolderDistance::kSameDomain
                                           : HolderDistance::kOtherDomain,
        version);
  }
}

// Asks another entry for the configuration if this entry has been behind for
// some time, whether or not the store answers.
void HostControl::State::RequestConfiguration() {
  const TableFollower& follower = this->Follower(FollowedTable::Configuration);
  const auto holder = this->configurations.Requester().Poll(
      follower.Version(), follower.NewestKnownRow(), this->clock.Now());
  if (holder && !this->stopping) {
    LogEvent("configuration_requested")
        .With("from", *holder)
        .With("version", follower.Version())
        .With("others_know", follower.NewestKnownRow());
    this->peers.RequestRow(*holder, follower.Version());
  }
}

void HostControl::State::OnRowRequest(const InstanceId& from,
                                      RowVersion after) {
  const auto newest = this->configurations.ReplyTo(
      after, this->Follower(FollowedTable::Configuration).Version(),
      this->clock.Now());
  if (newest && !this->stopping) {
    this->peers.SendRow(from, *newest);
  }
}

// What cannot be read is ignored: the store, or another entry, may have better.
void HostControl::State::OnRowReply(const TableRows& newest) {
  TableFollower& follower = this->Follower(FollowedTable::Configuration);
  const bool is_readable =
      newest.version > follower.Version() &&
      this->configurations.IsReply(newest) &&
      this->adapter.read_configuration(newest.rows.front().value,
                                       MakeServicePolicy(this->host));
  const Generation before = this->generation;
  if (!is_readable || !follower.ApplyNewest(newest)) {
    return;
  }
  LogEvent("configuration_from_peer")
      .With("version", newest.version)
      .With("generation", this->generation);
  if (this->generation > before) {
    this->metrics.OnRowFromPeer();
  }
  this->UpdateConfigurationAge();
  // The others of the failure domain may now ask this entry.
  this->peers.ShareSoon();
}

// Listeners retry an unavailable store less often, since readers tell them when
// it is back.
void HostControl::State::ApplyRole() {
  const bool listens = this->peers.Role() == ReaderRole::kListener;
  const std::optional<PollTurn> turn = this->peers.Turn();
  this->metrics.SetReadsStore(!listens);
  for (const FollowedTable table : schema::EnumValuesFollowedTable()) {
    TableFollower& follower = this->Follower(table);
    this->metrics.SetVersion(table, follower.Version());
    follower.SetReadByOthers(
        this->peers.IsReadByOthers(table, follower.Version()));
    // No bound depends on how soon entries learn of members.
    if (table != FollowedTable::Members) {
      follower.SetPollTurn(turn);
    }
    const bool is_prompt = table == FollowedTable::Registrations && !listens;
    follower.SetMaxRetryPause(is_prompt ? TableFollower::kMaxRetryPause
                                        : kMaxSecondaryRetryPause);
  }
}

void HostControl::State::RestoreOwnRow(const TableRows& members) {
  if (this->is_registering || this->stopping) {
    return;
  }
  if (FindOwnRow(members, this->self, this->own_row) == OwnRow::kLost) {
    LogEvent("registration_lost", LogSeverity::kWarning)
        .With("row_version", this->own_row)
        .With("version", members.version);
    this->StartRegistration();
  }
}

void HostControl::State::StartRegistration() {
  this->is_registering = true;
  SpawnLoop(this->strand, "register",
            [state = this->shared_from_this()] { return state->Register(); });
}

net::awaitable<void> HostControl::State::Register() {
  while (!this->stopping) {
    const auto written = co_await this->own_rows->Put(
        this->adapter.members_table, this->self.instance,
        SerializeMember(this->self));
    if (written) {
      LogEvent("registered").With("row_version", *written);
      this->own_row = *written;
      break;
    }
    LogEvent("registration_failed", LogSeverity::kWarning)
        .With("reason", RowStoreErrorName(written.error()));
    if (this->stopping) {
      break;
    }
    net::steady_timer pause(this->strand, kRowRetryPause);
    co_await pause.async_wait(kAwait);
  }
  this->is_registering = false;
}

net::awaitable<void> HostControl::State::Unregister() {
  // own_rows serves one call at a time.
  net::steady_timer pause(this->strand);
  while (this->is_registering) {
    pause.expires_after(kRegistrationPoll);
    co_await pause.async_wait(kAwait);
  }
  for (;;) {
    // The connection of the call before may have been closed or gone silent.
    this->own_rows = this->adapter.make_store();
    const auto removed = co_await this->own_rows->Remove(
        this->adapter.members_table, this->self.instance, this->own_row);
    if (removed) {
      break;
    }
    LogEvent("unregistration_failed", LogSeverity::kWarning)
        .With("reason", RowStoreErrorName(removed.error()));
    if (removed.error() == RowStoreError::kConflict) {
      const bool is_there = co_await this->FindOwnRowVersion();
      if (!is_there) {
        break;
      }
    }
    pause.expires_after(kRemovalRetryPause);
    co_await pause.async_wait(kAwait);
  }
  LogEvent("unregistered").With("instance", this->self.instance);
}

net::awaitable<bool> HostControl::State::FindOwnRowVersion() {
  const auto members =
      co_await this->own_rows->ReadTable(this->adapter.members_table);
  if (!members) {
    co_return true;
  }
  for (const TableRow& row : members->rows) {
    const auto member = ParseMember(row.value);
    if (member && member->instance == this->self.instance &&
        member->started == this->self.started) {
      this->own_row = row.version;
      co_return true;
    }
  }
  co_return false;
}

void HostControl::State::OnStop() {
  this->stopping = true;
  this->directory.Leave();
  // The last share withdraws this entry's claim to read the store, so that
  // listeners switch to another reader at once.
  this->peers.SetServing(false);
  this->peers.ShareSoon();
  this->peers.Share({}, this->NewestKnownRows(), this->GapFreeSince());
  if (this->is_registering) {
    this->own_rows->Abort();
  }
  net::co_spawn(
      this->strand,
      [](std::shared_ptr<State> state) -> net::awaitable<void> {
        co_await state->Unregister();
      }(this->shared_from_this()),
      LogFailureOf("unregister"));
}

HostControl::HostControl(const schema::EntrySettingsT& settings,
                         HostAdapter adapter,
                         EntryServer& entry,
                         const Clock& clock)
    : state(
          std::make_shared<State>(settings, std::move(adapter), entry, clock)) {
  entry.OnStop([weak = std::weak_ptr<State>(this->state)] {
    if (const auto self = weak.lock()) {
      net::post(self->strand, [self] { self->OnStop(); });
    }
  });
}

HostControl::~HostControl() = default;

tl::expected<void, std::string> HostControl::Start() {
  return this->state->Start();
}

void HostControl::Reload(const schema::EntrySettingsT& settings) {
  if (!settings.host_platform) {
    LogEvent("settings_need_restart", LogSeverity::kWarning)
        .With("reason", "the new settings lack host_platform");
    return;
  }
  net::post(this->state->strand,
            [state = this->state, next = *settings.host_platform] {
              state->Reload(next);
            });
}

}  // namespace acacia
