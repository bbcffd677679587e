#include "standin/entry_directory.h"

#include <algorithm>
#include <boost/json.hpp>
#include <exception>
#include <utility>

#include "src/http_client.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr std::chrono::milliseconds kLookupTimeout{1000};
constexpr std::chrono::milliseconds kLookupRetry{200};
constexpr std::chrono::seconds kFailedEntryTimeout{1};

}  // namespace

LookupReply ParseLookupReply(const std::string& text) {
  LookupReply reply;
  try {
    const boost::json::value value = boost::json::parse(text);
    const boost::json::object& top = value.as_object();
    reply.lifetime = std::chrono::milliseconds(
        top.at("lifetime_ms").to_number<std::uint64_t>());
    for (const auto& entry : top.at("entries").as_array()) {
      const boost::json::object& fields = entry.as_object();
      reply.entries.push_back({fields.at("address").as_string().c_str(),
                               fields.at("weight").to_number<std::uint64_t>()});
    }
  } catch (const std::exception&) {
    reply.entries.clear();
  }
  return reply;
}

EntryDirectory::EntryDirectory(std::vector<std::string> seeds,
                               bool lookup,
                               std::uint64_t random_seed)
    : seeds(std::move(seeds)), lookup(lookup), random(random_seed) {}

std::string EntryDirectory::DrawByWeight(
    const std::vector<WeightedEntry>& entries) {
  const TimePoint now = SystemClock().Now();
  std::vector<WeightedEntry> usable;
  std::uint64_t total = 0;
  for (const WeightedEntry& entry : entries) {
    if (this->failed_until[entry.address] <= now) {
      usable.push_back(entry);
      total += entry.weight;
    }
  }
  if (total == 0) {
    return {};
  }
  std::uint64_t drawn = this->random.Below(total);
  for (const WeightedEntry& entry : usable) {
    if (drawn < entry.weight) {
      return entry.address;
    }
    drawn -= entry.weight;
  }
  return {};
}

net::awaitable<std::string> EntryDirectory::Choose(std::string service) {
  if (!this->lookup) {
    std::vector<WeightedEntry> all;
    for (const std::string& seed : this->seeds) {
      all.push_back({seed, 1});
    }
    co_return this->DrawByWeight(all);
  }
  ServiceEntries& service_entries = this->services[service];
  const bool expired = SystemClock().Now() >= service_entries.expires;
  if (expired && !service_entries.refreshing) {
    co_await this->Refresh(service);
  }
  std::string chosen = this->DrawByWeight(service_entries.entries);
  if (chosen.empty()) {
    co_await this->Refresh(service);
    chosen = this->DrawByWeight(service_entries.entries);
  }
  co_return chosen;
}

// Asks the seeds in turn, from a random one on, until one answers with entries.
net::awaitable<void> EntryDirectory::Refresh(std::string service) {
  ServiceEntries& service_entries = this->services[service];
  service_entries.refreshing = true;
  const std::size_t first = this->random.Below(this->seeds.size());
  for (std::size_t i = 0; i < this->seeds.size(); ++i) {
    const std::string seed = this->seeds[(first + i) % this->seeds.size()];
    HttpClient client(seed);
    HttpRequest request;
    request.target = "/.acacia/lookup?service=" + service;
    const auto reply = co_await client.Send(std::move(request), kLookupTimeout);
    if (!reply || reply->status != 200) {
      continue;
    }
    LookupReply parsed = ParseLookupReply(reply->body);
    if (parsed.entries.empty()) {
      continue;
    }
    service_entries.entries = std::move(parsed.entries);
    service_entries.expires = SystemClock().Now() + parsed.lifetime;
    service_entries.refreshing = false;
    co_return;
  }
  service_entries.expires = SystemClock().Now() + kLookupRetry;
  service_entries.refreshing = false;
}

void EntryDirectory::MarkFailed(const std::string& address) {
  this->failed_until[address] = SystemClock().Now() + kFailedEntryTimeout;
}

}  // namespace acacia
