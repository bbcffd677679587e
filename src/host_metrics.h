// Metrics of an entry on a host platform about the store and the other entries.
// docs/OPERATIONS.md lists their names.
//
// Update from one strand; any thread may collect the values.
#ifndef SRC_HOST_METRICS_H_
#define SRC_HOST_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <optional>
#include <string>

#include "src/clock.h"
#include "src/fleet_quota.h"
#include "src/peer_messages.h"
#include "src/row_store.h"

namespace acacia {

class HostMetrics {
 public:
  // The registry must outlive this object.
  explicit HostMetrics(prometheus::Registry& registry);

  // Counts a finished read of the table; no error means that the store answered
  // it.
  void OnCall(FollowedTable table,
              std::optional<RowStoreError> error,
              UnixTime now);
  // Counts changes received from an entry that reads the store for this one.
  void OnRelayed(FollowedTable table, UnixTime now);
  // Counts a configuration that another entry sent on request.
  void OnRowFromPeer() { this->rows_from_peers->Increment(); }
  void SetClientAccounts(std::size_t count);
  void SetVersion(FollowedTable table, RowVersion version);
  void SetReadsStore(bool reads) { this->reads_store->Set(reads ? 1 : 0); }
  void SetMembers(std::size_t count);
  void SetRegistered(std::size_t count);
  void SetWithheld(std::size_t count);
  void SetQuotas(const FleetQuotaCounts& counts);

 private:
  struct TableMetrics {
    prometheus::Counter* relayed = nullptr;
    prometheus::Gauge* version = nullptr;
    prometheus::Gauge* era = nullptr;
    prometheus::Gauge* confirmed = nullptr;
  };

  TableMetrics& MetricsFor(FollowedTable table) {
    return this->tables[TableIndex(table)];
  }

  prometheus::Family<prometheus::Counter>& calls;
  std::array<TableMetrics, std::tuple_size_v<TableVersions>> tables;
  prometheus::Gauge* reads_store;
  prometheus::Gauge* members;
  prometheus::Gauge* registered;
  prometheus::Gauge* withheld;
  prometheus::Gauge* kept_accounts;
  prometheus::Gauge* limited_accounts;
  prometheus::Gauge* keeper_changes;
  prometheus::Counter* rows_from_peers;
  prometheus::Gauge* client_accounts;
};

}  // namespace acacia

#endif  // SRC_HOST_METRICS_H_
