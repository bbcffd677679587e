#include "standin/work_ledger.h"

#include <boost/json.hpp>
#include <utility>

namespace acacia {
namespace {

namespace json = boost::json;

json::object TotalsJson(const LedgerTotals& totals) {
  return {{"runs", totals.runs},
          {"shed", totals.shed},
          {"expired", totals.expired},
          {"cancelled_before_start", totals.cancelled_before_start},
          {"cancelled_running", totals.cancelled_running},
          {"refused_leaving", totals.refused_leaving},
          {"arrived_leaving", totals.arrived_leaving},
          {"last_arrival_leaving_ms", totals.last_arrival_leaving_ms},
          {"max_connections", totals.max_connections},
          {"max_running", totals.max_running}};
}

}  // namespace

void WorkLedger::AddRun(const std::string& work_id,
                        std::uint64_t body_bytes,
                        std::uint64_t body_hash) {
  ++this->totals.runs;
  if (work_id.empty()) {
    return;
  }
  WorkRecord& record = this->works[work_id];
  ++record.runs;
  record.body_bytes = body_bytes;
  record.body_hash = body_hash;
}

std::string WorkLedger::Json(bool with_works) const {
  json::object out;
  out["totals"] = TotalsJson(this->totals);
  if (with_works) {
    json::object works;
    works.reserve(this->works.size());
    for (const auto& [id, record] : this->works) {
      works[id] = json::array{record.runs, record.body_bytes,
                              std::to_string(record.body_hash)};
    }
    out["works"] = std::move(works);
  }
  return json::serialize(out);
}

bool AddLedgerJson(const std::string& text, WorkRecords& records) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  const json::object* top = error ? nullptr : value.if_object();
  const json::value* works = top ? top->if_contains("works") : nullptr;
  if (!works || !works->is_object()) {
    return false;
  }
  for (const auto& [id, value] : works->as_object()) {
    const json::array& fields = value.as_array();
    WorkRecord& record = records[std::string(id)];
    record.runs += fields.at(0).to_number<std::uint32_t>();
    record.body_bytes = fields.at(1).to_number<std::uint64_t>();
    record.body_hash = std::stoull(fields.at(2).as_string().c_str());
  }
  return true;
}

}  // namespace acacia
