#include "standin/load_report.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <boost/json.hpp>
#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

namespace acacia {
namespace {

namespace bh = boost::histogram;
namespace json = boost::json;

constexpr unsigned kHistogramBins = 600;
constexpr double kMinLatencyMs = 0.01;
constexpr double kMaxLatencyMs = 200000;
constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};
constexpr std::array<const char*, 4> kQuantileNames = {"p50", "p90", "p99",
                                                       "p999"};
constexpr std::array<const char*, kCallOutcomeCount> kOutcomeNames = {
    "answered", "server_error", "not_run", "unknown"};

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(Axis(1, 1, 2)));

// Latencies of answered requests, and counts of all outcomes and errors.
struct Summary {
  std::string name;
  LatencyHistogram latency_ms =
      bh::make_histogram(Axis(kHistogramBins, kMinLatencyMs, kMaxLatencyMs));
  std::array<std::uint64_t, kCallOutcomeCount> outcomes{};
  std::map<std::string, std::uint64_t> errors;
  double max_ms = 0;

  void Add(const CallResult& result) {
    ++this->outcomes[static_cast<std::size_t>(result.outcome)];
    if (!result.error.empty()) {
      ++this->errors[result.error];
    }
    if (result.outcome != CallOutcome::kAnswered) {
      return;
    }
    const double ms =
        std::chrono::duration<double, std::milli>(result.latency).count();
    this->latency_ms(ms);
    this->max_ms = std::max(this->max_ms, ms);
  }

  std::uint64_t Total() const {
    std::uint64_t total = 0;
    for (const std::uint64_t count : this->outcomes) {
      total += count;
    }
    return total;
  }

  // The upper edge of the bin that holds the quantile.
  double Quantile(double share) const {
    const double answered = bh::algorithm::sum(this->latency_ms);
    double below = 0;
    for (const auto& bin : bh::indexed(this->latency_ms)) {
      below += *bin;
      if (*bin > 0 && below >= share * answered) {
        return std::min(bin.bin().upper(), this->max_ms);
      }
    }
    return 0;
  }
};

std::vector<Summary> SummariesByClass(const LoadReport& report) {
  std::vector<Summary> summaries;
  for (const auto& load_class : report.settings.classes) {
    summaries.emplace_back();
    summaries.back().name = load_class->name;
  }
  for (const CallResult& result : report.results) {
    summaries[result.load_class].Add(result);
  }
  return summaries;
}

// One summary for each class and interval.
std::vector<Summary> SummariesByInterval(const LoadReport& report) {
  std::map<std::pair<std::int64_t, std::size_t>, Summary> by_interval;
  const std::chrono::milliseconds interval(report.settings.interval_ms);
  if (interval.count() == 0) {
    return {};
  }
  for (const CallResult& result : report.results) {
    const std::int64_t index = result.intended / interval;
    Summary& summary = by_interval[{index, result.load_class}];
    summary.name = std::to_string(index * interval.count()) + " ms " +
                   report.settings.classes[result.load_class]->name;
    summary.Add(result);
  }
  std::vector<Summary> summaries;
  for (auto& [key, summary] : by_interval) {
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

void PrintTable(std::ostream& out, const std::vector<Summary>& summaries) {
  out << std::left << std::setw(22) << "class" << std::right;
  out << std::setw(8) << "sent";
  for (const char* name : kOutcomeNames) {
    out << std::setw(13) << name;
  }
  for (const char* name : kQuantileNames) {
    out << std::setw(10) << (std::string(name) + " ms");
  }
  out << std::setw(10) << "max ms"
      << "\n";
  for (const Summary& summary : summaries) {
    out << std::left << std::setw(22) << summary.name << std::right;
    out << std::setw(8) << summary.Total();
    for (const std::uint64_t count : summary.outcomes) {
      out << std::setw(13) << count;
    }
    out << std::fixed << std::setprecision(1);
    for (const double share : kQuantiles) {
      out << std::setw(10) << summary.Quantile(share);
    }
    out << std::setw(10) << summary.max_ms << "\n";
  }
}

json::object SummaryJson(const Summary& summary) {
  json::object out{{"name", summary.name}, {"sent", summary.Total()}};
  for (std::size_t i = 0; i < kCallOutcomeCount; ++i) {
    out[kOutcomeNames[i]] = summary.outcomes[i];
  }
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    out[std::string(kQuantileNames[i]) + "_ms"] =
        summary.Quantile(kQuantiles[i]);
  }
  out["max_ms"] = summary.max_ms;
  json::object errors;
  for (const auto& [name, count] : summary.errors) {
    errors[name] = count;
  }
  out["errors"] = std::move(errors);
  return out;
}

json::array SummariesJson(const std::vector<Summary>& summaries) {
  json::array out;
  for (const Summary& summary : summaries) {
    out.push_back(SummaryJson(summary));
  }
  return out;
}

// How often backend servers ran this run's requests.
std::uint64_t TotalRuns(const LoadReport& report) {
  std::uint64_t runs = 0;
  for (const CallResult& result : report.results) {
    const auto found = report.ledger->find(result.work_id);
    runs += found == report.ledger->end() ? 0 : found->second.runs;
  }
  return runs;
}

void PrintPromises(std::ostream& out, const LoadReport& report) {
  const BrokenPromises& broken = report.broken;
  out << "\npromises broken: " << broken.Total() << "  (wrong answers "
      << broken.wrong_answers;
  if (report.ledger) {
    out << ", told not-run but ran " << broken.not_run_but_ran
        << ", non-idempotent run twice " << broken.non_idempotent_doubled
        << ", answered but lost " << broken.answered_but_lost
        << ", uploads altered " << broken.upload_altered << ")\n";
    out << "runs at backend servers: " << TotalRuns(report) << " for "
        << report.results.size() << " requests\n";
  } else {
    out << "; ledgers not asked)\n";
  }
  for (const std::string& example : broken.examples) {
    out << "  " << example << "\n";
  }
}

}  // namespace

std::string LoadReportText(const LoadReport& report) {
  std::ostringstream out;
  const std::vector<Summary> by_interval = SummariesByInterval(report);
  if (!by_interval.empty()) {
    PrintTable(out, by_interval);
    out << "\n";
  }
  const std::vector<Summary> by_class = SummariesByClass(report);
  PrintTable(out, by_class);
  for (const Summary& summary : by_class) {
    for (const auto& [name, count] : summary.errors) {
      out << "  " << summary.name << " " << name << ": " << count << "\n";
    }
  }
  PrintPromises(out, report);
  return out.str();
}

std::string LoadReportJson(const LoadReport& report) {
  const BrokenPromises& broken = report.broken;
  json::object out{{"classes", SummariesJson(SummariesByClass(report))},
                   {"intervals", SummariesJson(SummariesByInterval(report))},
                   {"broken",
                    {{"total", broken.Total()},
                     {"wrong_answers", broken.wrong_answers},
                     {"not_run_but_ran", broken.not_run_but_ran},
                     {"non_idempotent_doubled", broken.non_idempotent_doubled},
                     {"answered_but_lost", broken.answered_but_lost},
                     {"upload_altered", broken.upload_altered}}},
                   {"ledgers_checked", report.ledger != nullptr}};
  if (report.ledger) {
    out["runs"] = TotalRuns(report);
  }
  return json::serialize(out) + "\n";
}

}  // namespace acacia
