#include "src/host_metrics.h"

#include <prometheus/text_serializer.h>

#include <catch2/catch.hpp>

namespace acacia {
namespace {

TEST_CASE("reads of the store are counted by table and result") {
  prometheus::Registry registry;
  HostMetrics metrics(registry);
  const UnixTime now = std::chrono::seconds(50);
  metrics.OnCall(FollowedTable::Registrations, std::nullopt, now);
  metrics.OnCall(FollowedTable::Registrations, RowStoreError::kTooManyCalls,
                 2 * now);
  metrics.OnRelayed(FollowedTable::Members, now);
  metrics.SetVersion(FollowedTable::Configuration, RowVersion(7));
  metrics.SetReadsStore(true);
  metrics.SetRegistered(27);
  const std::string text =
      prometheus::TextSerializer().Serialize(registry.Collect());
  for (const std::string& line : std::vector<std::string>{
           "acacia_store_calls_total{result=\"ok\",table=\"registrations\"} 1",
           "acacia_table_confirmed_timestamp_seconds{table=\"registrations\"} "
           "50",
           "acacia_relayed_changes_total{table=\"members\"} 1",
           "acacia_table_version{table=\"configuration\"} 7",
           "acacia_reads_store 1", "acacia_registered_backend_servers 27"}) {
    INFO(text);
    CHECK(text.find(line) != std::string::npos);
  }
  CHECK(text.find(std::string("result=\"") +
                  std::string(RowStoreErrorName(
                      RowStoreError::kTooManyCalls))) != std::string::npos);
}

}  // namespace
}  // namespace acacia
