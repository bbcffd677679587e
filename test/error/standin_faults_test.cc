#include <catch2/catch.hpp>

#include "standin/gray_faults.h"
#include "standin/path_faults.h"

namespace acacia {
namespace {

TEST_CASE("Invalid fault settings are rejected with the name of the field") {
  CHECK(ParseGrayFaults(R"({"slow": 2})").error() == "unknown field: slow");
  CHECK(ParseGrayFaults(R"({"error_permille": "x"})").error() ==
        "wrong type: error_permille");
  CHECK_FALSE(ParseGrayFaults("[]"));
  CHECK(ParsePathFaults(R"({"cut": true})").error() == "unknown field: cut");
  CHECK(ParsePathFaults(R"({"delay_ms": true})").error() ==
        "wrong type: delay_ms");
  CHECK(ParsePathFaults(R"({"cut_to_target": true})")->cut_to_target);
}

TEST_CASE("Faults can be limited to some callers, connections and times") {
  const TimePoint since{std::chrono::seconds(10)};
  const auto later = since + std::chrono::milliseconds(1500);
  const RequestOrigin origin{"127.0.0.2", 4000, "a-1"};
  const auto applies = [&](const std::string& json) {
    return FaultsApply(*ParseGrayFaults(json), origin, since, later);
  };
  CHECK(applies("{}"));
  CHECK(applies(R"({"caller_addresses": ["127.0.0.2"]})"));
  CHECK_FALSE(applies(R"({"caller_addresses": ["127.0.0.3"]})"));
  CHECK(applies(R"({"request_id_prefixes": ["b-", "a-"]})"));
  CHECK_FALSE(applies(R"({"request_id_prefixes": ["b-"]})"));
  CHECK_FALSE(applies(R"({"connections_permille": 0})"));
  CHECK_FALSE(applies(R"({"flap_period_ms": 1000})"));
  CHECK(applies(R"({"flap_period_ms": 700})"));
}

}  // namespace
}  // namespace acacia
