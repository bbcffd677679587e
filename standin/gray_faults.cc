#include "standin/gray_faults.h"

#include <algorithm>
#include <boost/json.hpp>
#include <exception>
#include <functional>
#include <map>
#include <utility>

namespace acacia {
namespace {

namespace json = boost::json;

constexpr std::uint32_t kPermille = 1000;
constexpr std::uint32_t kPortHashFactor = 2654435761U;

std::vector<std::string> ReadStrings(const json::value& value) {
  std::vector<std::string> strings;
  for (const json::value& item : value.as_array()) {
    strings.emplace_back(item.as_string().c_str());
  }
  return strings;
}

using FieldReader = std::function<void(GrayFaults&, const json::value&)>;

FieldReader NumberField(std::uint32_t GrayFaults::*field) {
  return [field](GrayFaults& faults, const json::value& value) {
    faults.*field = value.to_number<std::uint32_t>();
  };
}

FieldReader StringListField(std::vector<std::string> GrayFaults::*field) {
  return [field](GrayFaults& faults, const json::value& value) {
    faults.*field = ReadStrings(value);
  };
}

const std::map<std::string, FieldReader, std::less<>>& FieldReaders() {
  static const std::map<std::string, FieldReader, std::less<>> readers = {
      {"slow_factor",
       [](GrayFaults& faults, const json::value& value) {
         faults.slow_factor = value.to_number<double>();
       }},
      {"error_permille", NumberField(&GrayFaults::error_permille)},
      {"silence_permille", NumberField(&GrayFaults::silence_permille)},
      {"truncate_permille", NumberField(&GrayFaults::truncate_permille)},
      {"wrong_permille", NumberField(&GrayFaults::wrong_permille)},
      {"reset_permille", NumberField(&GrayFaults::reset_permille)},
      {"connections_permille", NumberField(&GrayFaults::connections_permille)},
      {"flap_period_ms", NumberField(&GrayFaults::flap_period_ms)},
      {"caller_addresses", StringListField(&GrayFaults::caller_addresses)},
      {"request_id_prefixes",
       StringListField(&GrayFaults::request_id_prefixes)},
      {"health_lies", [](GrayFaults& faults, const json::value& value) {
         faults.health_lies = value.as_bool();
       }}};
  return readers;
}

// Chooses by a hash of the caller's port, so that a connection is affected
// during its whole life.
bool IsConnectionAffected(const GrayFaults& faults, std::uint16_t port) {
  const std::uint32_t hash = (port * kPortHashFactor) >> 16;
  return hash % kPermille < faults.connections_permille;
}

bool HasPrefix(const std::vector<std::string>& prefixes,
               const std::string& text) {
  return std::any_of(
      prefixes.begin(), prefixes.end(),
      [&](const std::string& prefix) { return text.starts_with(prefix); });
}

}  // namespace

tl::expected<GrayFaults, std::string> ParseGrayFaults(const std::string& text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return tl::unexpected<std::string>("not a JSON object");
  }
  GrayFaults faults;
  for (const auto& [key, field] : value.as_object()) {
    const auto reader = FieldReaders().find(std::string(key));
    if (reader == FieldReaders().end()) {
      return tl::unexpected("unknown field: " + std::string(key));
    }
    try {
      reader->second(faults, field);
    } catch (const std::exception&) {
      return tl::unexpected("wrong type: " + std::string(key));
    }
  }
  return faults;
}

bool FaultsApply(const GrayFaults& faults,
                 const RequestOrigin& origin,
                 TimePoint since,
                 TimePoint now) {
  if (faults.flap_period_ms > 0) {
    const auto period = std::chrono::milliseconds(faults.flap_period_ms);
    if ((now - since) / period % 2 == 1) {
      return false;
    }
  }
  const auto& addresses = faults.caller_addresses;
  if (!addresses.empty() && !HasPrefix(addresses, origin.caller_address)) {
    return false;
  }
  const auto& prefixes = faults.request_id_prefixes;
  if (!prefixes.empty() && !HasPrefix(prefixes, origin.request_id)) {
    return false;
  }
  return IsConnectionAffected(faults, origin.caller_port);
}

FaultKind DrawFault(const GrayFaults& faults, RandomSource& random) {
  const std::pair<std::uint32_t, FaultKind> shares[] = {
      {faults.error_permille, FaultKind::kError},
      {faults.silence_permille, FaultKind::kSilence},
      {faults.truncate_permille, FaultKind::kTruncate},
      {faults.wrong_permille, FaultKind::kWrong},
      {faults.reset_permille, FaultKind::kReset}};
  std::uint64_t drawn = random.Below(kPermille);
  for (const auto& [share, kind] : shares) {
    if (drawn < share) {
      return kind;
    }
    drawn -= share;
  }
  return FaultKind::kNone;
}

}  // namespace acacia
