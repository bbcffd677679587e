#include "src/host_metrics.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <string_view>

namespace acacia {
namespace {

std::string TableName(FollowedTable table) {
  return boost::algorithm::to_lower_copy(
      std::string(schema::EnumNameFollowedTable(table)));
}

prometheus::Family<prometheus::Gauge>& GaugeFamily(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

}  // namespace

HostMetrics::HostMetrics(prometheus::Registry& registry)
    : calls(prometheus::BuildCounter()
                .Name("acacia_store_calls_total")
                .Help("Reads of the store, by table and result.")
                .Register(registry)),
      reads_store(&GaugeFamily(registry,
                               "acacia_reads_store",
                               "1 while this entry reads the store for others.")
                       .Add({})),
      members(&GaugeFamily(registry, "acacia_members", "Entries of the fleet.")
                   .Add({})),
      registered(&GaugeFamily(registry,
                              "acacia_registered_backend_servers",
                              "Backend servers that are registered.")
                      .Add({})),
      withheld(&GaugeFamily(registry,
                            "acacia_withheld_registrations",
                            "Registrations not used: from before a removal.")
                    .Add({})),
      rows_from_peers(
          &prometheus::BuildCounter()
               .Name("acacia_configurations_from_peers_total")
               .Help("Configurations that another entry sent on request.")
               .Register(registry)
               .Add({})),
      client_accounts(&GaugeFamily(registry,
                                   "acacia_client_accounts",
                                   "Client accounts in force.")
                           .Add({})) {
  this->kept_accounts =
      &GaugeFamily(registry, "acacia_quota_accounts_kept",
                   "Client accounts whose requests this entry counts.")
           .Add({});
  this->limited_accounts =
      &GaugeFamily(registry, "acacia_quota_accounts_limited",
                   "Client accounts over their limit, at their keeper.")
           .Add({});
  this->keeper_changes =
      &GaugeFamily(registry, "acacia_quota_keeper_changes",
                   "How often the keeper of an account changed for this entry.")
           .Add({});
  auto& relayed = prometheus::BuildCounter()
                      .Name("acacia_relayed_changes_total")
                      .Help("Changes that came from another entry, by table.")
                      .Register(registry);
  auto& version = GaugeFamily(registry, "acacia_table_version",
                              "Version of the store that is held.");
  auto& era = GaugeFamily(registry, "acacia_table_era",
                          "Era of the store whose version is held.");
  auto& confirmed =
      GaugeFamily(registry, "acacia_table_confirmed_timestamp_seconds",
                  "When the store or another entry last told of the table.");
  for (const FollowedTable table : schema::EnumValuesFollowedTable()) {
    const prometheus::Labels labels{{"table", TableName(table)}};
    this->MetricsFor(table) = {&relayed.Add(labels), &version.Add(labels),
                               &era.Add(labels), &confirmed.Add(labels)};
  }
}

void HostMetrics::OnCall(FollowedTable table,
                         std::optional<RowStoreError> error,
                         UnixTime now) {
  const std::string_view result = error ? RowStoreErrorName(*error) : "ok";
  this->calls
      .Add({{"table", TableName(table)}, {"result", std::string(result)}})
      .Increment();
  if (!error) {
    this->MetricsFor(table).confirmed->Set(
        std::chrono::duration<double>(now).count());
  }
}

void HostMetrics::OnRelayed(FollowedTable table, UnixTime now) {
  this->MetricsFor(table).relayed->Increment();
  this->MetricsFor(table).confirmed->Set(
      std::chrono::duration<double>(now).count());
}

void HostMetrics::SetVersion(FollowedTable table, RowVersion version) {
  this->MetricsFor(table).version->Set(static_cast<double>(NumberOf(version)));
  this->MetricsFor(table).era->Set(EraOf(version).Value());
}

void HostMetrics::SetClientAccounts(std::size_t count) {
  this->client_accounts->Set(static_cast<double>(count));
}

void HostMetrics::SetMembers(std::size_t count) {
  this->members->Set(static_cast<double>(count));
}

void HostMetrics::SetQuotas(const FleetQuotaCounts& counts) {
  this->kept_accounts->Set(static_cast<double>(counts.kept));
  this->limited_accounts->Set(static_cast<double>(counts.limited));
  this->keeper_changes->Set(static_cast<double>(counts.keeper_changes));
}

void HostMetrics::SetRegistered(std::size_t count) {
  this->registered->Set(static_cast<double>(count));
}

void HostMetrics::SetWithheld(std::size_t count) {
  this->withheld->Set(static_cast<double>(count));
}

}  // namespace acacia
