#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "src/file_set.h"
#include "src/lower_case.h"
#include "src/name.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

constexpr std::size_t kMaxErrors = 2000;
constexpr std::uint32_t kMaxSlots = 100000;
constexpr std::uint32_t kMaxConnections = 1000000;
constexpr std::uint32_t kMaxQueueLength = 1000000;
constexpr std::uint32_t kMaxPercent = 100;
constexpr std::uint32_t kMaxDurationMs = 7 * 24 * 3600 * 1000;

// True for a path of the characters that RFC 3986 allows, without query and
// fragment.
bool IsPathPrefix(const std::string& text) {
  return text.starts_with('/') &&
         HasOnlyAlphanumericsOr(text, "/-._~!$&'()*+,;=:@%");
}

bool IsMethod(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
  });
}

bool IsServerAddress(const std::string& text) {
  const auto address = ParseSocketAddress(text);
  return address && address->port != 0;
}

std::string WithoutTrailingSlash(std::string path) {
  while (path.size() > 1 && path.back() == '/') {
    path.pop_back();
  }
  return path;
}

std::string ItemPath(const std::string& list, std::size_t position) {
  return list + "[" + std::to_string(position) + "]";
}

std::string Quoted(const std::string& text) {
  if (text.size() > kMaxNameBytes) {
    return "\"" + text.substr(0, kMaxNameBytes) + "...\"";
  }
  return "\"" + text + "\"";
}

// An item of one of the file set's lists, and its location in the files.
template <typename T>
struct LocatedItem {
  const T* item;
  const JsonLines* lines;
  std::string path;

  std::string Location() const {
    return this->lines->File() + ":" +
           std::to_string(this->lines->LineOf(this->path));
  }
};

class FileSetChecker {
 public:
  FileSetChecker(const std::vector<FileSetPart>& parts, bool complete)
      : parts(parts), references_known(complete) {}

  UserErrors Check() {
    this->CheckServices();
    this->CheckRoutes();
    this->CheckAccounts();
    this->CheckDrainRules();
    this->CheckStopPlans();
    if (this->parts.empty() || !this->references_known ||
        !this->services.empty()) {
      return this->errors;
    }
    this->errors.push_back({this->parts.front().lines.File(), 0, "services",
                            "the set holds no service",
                            "an empty file set would remove every route"});
    return this->errors;
  }

 private:
  using ServiceItem = LocatedItem<schema::ServiceT>;
  using RouteItem = LocatedItem<schema::RouteT>;

  // The items of one list of all parts, in order. `list_of` returns the list of
  // a part; `name` is the list's field name.
  template <typename T, typename List>
  std::vector<LocatedItem<T>> LocateItems(const List& list_of,
                                          const std::string& name) {
    std::vector<LocatedItem<T>> located;
    for (const FileSetPart& part : this->parts) {
      std::size_t position = 0;
      for (const auto& item : list_of(part.content)) {
        located.push_back({item.get(), &part.lines, ItemPath(name, position)});
        ++position;
      }
    }
    return located;
  }

  template <typename T>
  void Report(const LocatedItem<T>& at,
              const std::string& field,
              const std::string& message,
              std::string hint) {
    if (this->errors.size() < kMaxErrors) {
      this->errors.push_back(
          at.lines->MakeError(at.path + "." + field, message, std::move(hint)));
    }
  }

  template <typename T>
  void CheckRange(const LocatedItem<T>& at,
                  const std::string& field,
                  std::uint32_t value,
                  std::uint32_t min,
                  std::uint32_t max) {
    if (value < min || value > max) {
      this->Report(at, field, std::to_string(value) + " is out of range",
                   "write a number from " + std::to_string(min) + " to " +
                       std::to_string(max));
    }
  }

  template <typename T>
  void CheckName(const LocatedItem<T>& at,
                 const std::string& field,
                 const std::string& name) {
    if (!IsValidName(name)) {
      this->Report(at, field, Quoted(name) + " is not a name", kNameHint);
    }
  }

  template <typename T>
  void CheckFailureDomain(const LocatedItem<T>& at,
                          const std::string& field,
                          const std::string& name) {
    if (!name.empty()) {
      this->CheckName(at, field, name);
    }
  }

  // Reports names that occur more than once.
  template <typename T>
  void CheckUnique(const std::vector<LocatedItem<T>>& items) {
    std::unordered_map<std::string, const LocatedItem<T>*> first;
    for (const LocatedItem<T>& at : items) {
      const auto [found, is_new] = first.try_emplace(at.item->name, &at);
      if (!is_new) {
        this->Report(at, "name", Quoted(at.item->name) + " stands twice",
                     "the first is at " + found->second->Location());
      }
    }
  }

  void CheckServices();
  void CheckService(const ServiceItem& at);
  void CheckServiceNumbers(const ServiceItem& at);
  void CheckBackendServers(const ServiceItem& at);
  void CheckLongSlots();
  void CheckRoutes();
  void CheckRoute(const RouteItem& at);
  void CheckMethods(const RouteItem& at);
  void CheckRouteOverlap(const std::vector<RouteItem>& routes);
  void CheckAccounts();
  void CheckDrainRules();
  void CheckDrainRule(const LocatedItem<schema::DrainRuleT>& at);
  void CheckDrainTargets(const LocatedItem<schema::DrainRuleT>& at,
                         const schema::ServiceT& service);
  void CheckStopPlans();
  void CheckStopPlan(const LocatedItem<schema::StopPlanT>& at);

  template <typename T>
  const schema::ServiceT* FindService(const LocatedItem<T>& at,
                                      const std::string& name);

  const std::vector<FileSetPart>& parts;
  // False when a part or a service's name could not be read, which a reference
  // may refer to.
  bool references_known;
  std::map<std::string, ServiceItem> services;
  std::set<std::string> services_with_short_routes;
  UserErrors errors;
};

void FileSetChecker::CheckServices() {
  const auto items = this->LocateItems<schema::ServiceT>(
      [](const schema::FileSetT& set) -> const auto& { return set.services; },
      "services");
  this->CheckUnique(items);
  for (const ServiceItem& at : items) {
    // The name is empty when it could not be read.
    this->references_known = this->references_known && !at.item->name.empty();
    this->services.try_emplace(at.item->name, at);
    this->CheckService(at);
  }
}

void FileSetChecker::CheckService(const ServiceItem& at) {
  const schema::ServiceT& service = *at.item;
  this->CheckName(at, "name", service.name);
  this->CheckServiceNumbers(at);
  const bool has_list = !service.backend_servers.empty();
  const bool has_discovery = !service.discovery.empty();
  if (has_list == has_discovery) {
    this->Report(at, "backend_servers",
                 has_list ? "both backend_servers and discovery are given"
                          : "neither backend_servers nor discovery is given",
                 "give a fixed list, or the service's name in the platform's "
                 "instance list");
  }
  if (has_discovery) {
    this->CheckName(at, "discovery", service.discovery);
  }
  this->CheckBackendServers(at);
}

void FileSetChecker::CheckServiceNumbers(const ServiceItem& at) {
  const schema::ServiceT& service = *at.item;
  this->CheckRange(at, "slots_per_backend_server",
                   service.slots_per_backend_server, 1, kMaxSlots);
  this->CheckRange(at, "max_connections_per_backend_server",
                   service.max_connections_per_backend_server, 1,
                   kMaxConnections);
  this->CheckRange(at, "floor_percent", service.floor_percent, 0, kMaxPercent);
  this->CheckRange(at, "long_slots_percent", service.long_slots_percent, 0,
                   kMaxPercent);
  this->CheckRange(at, "queue_length", service.queue_length, 0,
                   kMaxQueueLength);
  this->CheckRange(at, "retry_budget_percent", service.retry_budget_percent, 0,
                   kMaxPercent);
  this->CheckRange(at, "progress_timeout_ms", service.progress_timeout_ms, 1,
                   kMaxDurationMs);
}

void FileSetChecker::CheckBackendServers(const ServiceItem& at) {
  std::set<std::string> seen;
  std::size_t position = 0;
  for (const auto& backend : at.item->backend_servers) {
    const std::string field = ItemPath("backend_servers", position++);
    if (!IsServerAddress(backend->address)) {
      this->Report(at, field + ".address",
                   Quoted(backend->address) + " is not an address",
                   "write ip:port, for example 10.0.0.1:8080");
    } else if (!seen.insert(backend->address).second) {
      this->Report(at, field + ".address",
                   Quoted(backend->address) + " stands twice", "remove one");
    }
    this->CheckFailureDomain(at, field + ".failure_domain",
                             backend->failure_domain);
    this->CheckRange(at, field + ".slots", backend->slots, 0, kMaxSlots);
  }
}

void FileSetChecker::CheckLongSlots() {
  for (const auto& [name, at] : this->services) {
    const schema::ServiceT& service = *at.item;
    const bool takes_all = service.long_slots_percent == kMaxPercent;
    if (takes_all && service.slots_per_backend_server > 1 &&
        this->services_with_short_routes.contains(name)) {
      this->Report(at, "long_slots_percent",
                   "long work may hold every slot, and the service has short "
                   "routes",
                   "leave short work a slot: write less than 100");
    }
  }
}

// Returns nullptr, and reports the reference unless it may be to a part that
// could not be read, when there is no such service.
template <typename T>
const schema::ServiceT* FileSetChecker::FindService(const LocatedItem<T>& at,
                                                    const std::string& name) {
  const auto found = this->services.find(name);
  if (found != this->services.end()) {
    return found->second.item;
  }
  if (this->references_known) {
    std::string known;
    for (const auto& service : this->services) {
      known += (known.empty() ? "" : ", ") + service.first;
      if (known.size() > kMaxNameBytes) {
        known += ", ...";
        break;
      }
    }
    this->Report(at, "service", "no service is named " + Quoted(name),
                 "services of this set: " + (known.empty() ? "none" : known));
  }
  return nullptr;
}

void FileSetChecker::CheckRoutes() {
  const auto items = this->LocateItems<schema::RouteT>(
      [](const schema::FileSetT& set) -> const auto& { return set.routes; },
      "routes");
  this->CheckUnique(items);
  for (const RouteItem& at : items) {
    this->CheckRoute(at);
    if (at.item->work_class == schema::WorkClass::Short) {
      this->services_with_short_routes.insert(at.item->service);
    }
  }
  this->CheckRouteOverlap(items);
  this->CheckLongSlots();
}

void FileSetChecker::CheckRoute(const RouteItem& at) {
  const schema::RouteT& route = *at.item;
  this->CheckName(at, "name", route.name);
  this->FindService(at, route.service);
  if (!IsPathPrefix(route.path_prefix)) {
    this->Report(at, "path_prefix",
                 Quoted(route.path_prefix) + " is not a path",
                 "begin with '/'; no query, spaces or odd characters");
  }
  if (!route.host.empty() && !IsValidName(route.host)) {
    this->Report(at, "host", Quoted(route.host) + " is not a host name",
                 "write it without scheme and port; leave it out for any host");
  }
  this->CheckRange(at, "deadline_ms", route.deadline_ms, 1, kMaxDurationMs);
  this->CheckMethods(at);
}

void FileSetChecker::CheckMethods(const RouteItem& at) {
  std::set<std::string> seen;
  std::size_t position = 0;
  for (const std::string& method : at.item->methods) {
    const std::string field = ItemPath("methods", position++);
    if (!IsMethod(method)) {
      this->Report(at, field, Quoted(method) + " is not a method",
                   "write it in capitals, for example \"GET\"");
    } else if (!seen.insert(method).second) {
      this->Report(at, field, Quoted(method) + " stands twice", "remove one");
    }
  }
}

void FileSetChecker::CheckRouteOverlap(const std::vector<RouteItem>& routes) {
  using Key = std::pair<std::string, std::string>;
  // For each host and path, the first route of each method; "" means any
  // method.
  std::map<Key, std::map<std::string, const RouteItem*>> routes_by_target;
  for (const RouteItem& at : routes) {
    auto& by_method = routes_by_target[{
        LowerCase(at.item->host), WithoutTrailingSlash(at.item->path_prefix)}];
    std::vector<std::string> methods = at.item->methods;
    if (methods.empty()) {
      methods.emplace_back();
    }
    const RouteItem* other = nullptr;
    for (const std::string& method : methods) {
      const auto same = by_method.find(method);
      const auto any = by_method.find("");
      if (same != by_method.end()) {
        other = same->second;
      } else if (any != by_method.end()) {
        other = any->second;
      } else if (method.empty() && !by_method.empty()) {
        other = by_method.begin()->second;
      }
      by_method.try_emplace(method, &at);
    }
    if (other != nullptr && other != &at) {
      this->Report(at, "path_prefix",
                   "route " + Quoted(other->item->name) +
                       " takes the same host, path and methods",
                   "it is at " + other->Location());
    }
  }
}

void FileSetChecker::CheckAccounts() {
  const auto items = this->LocateItems<schema::AccountT>(
      [](const schema::FileSetT& set) -> const auto& { return set.accounts; },
      "accounts");
  this->CheckUnique(items);
  for (const auto& at : items) {
    const std::string& name = at.item->name;
    if (name.size() > kMaxNameBytes ||
        !HasOnlyAlphanumericsOr(name, "._-@:+/")) {
      this->Report(at, "name", Quoted(name) + " is not an account name",
                   "use at most 128 letters, digits and . _ - @ : + /; empty "
                   "stands for callers that name no account");
    }
  }
}

void FileSetChecker::CheckDrainRules() {
  const auto items = this->LocateItems<schema::DrainRuleT>(
      [](const schema::FileSetT& set) -> const auto& {
        return set.drain_rules;
      },
      "drain_rules");
  this->CheckUnique(items);
  for (const auto& at : items) {
    this->CheckDrainRule(at);
  }
}

void FileSetChecker::CheckDrainRule(const LocatedItem<schema::DrainRuleT>& at) {
  const schema::DrainRuleT& rule = *at.item;
  this->CheckName(at, "name", rule.name);
  this->CheckFailureDomain(at, "failure_domain", rule.failure_domain);
  if (rule.addresses.empty() && rule.failure_domain.empty()) {
    this->Report(at, "addresses", "the rule drains nothing",
                 "give addresses, a failure_domain, or both");
  }
  std::size_t position = 0;
  for (const std::string& address : rule.addresses) {
    const std::string field = ItemPath("addresses", position++);
    if (!IsServerAddress(address)) {
      this->Report(at, field, Quoted(address) + " is not an address",
                   "write ip:port, for example 10.0.0.1:8080");
    }
  }
  const schema::ServiceT* service = this->FindService(at, rule.service);
  if (service != nullptr && service->discovery.empty()) {
    this->CheckDrainTargets(at, *service);
  }
}

// When the service has a fixed list of backend servers, a rule may name only
// addresses and failure domains of that list.
void FileSetChecker::CheckDrainTargets(
    const LocatedItem<schema::DrainRuleT>& at,
    const schema::ServiceT& service) {
  std::set<std::string> addresses;
  std::set<std::string> domains;
  for (const auto& backend : service.backend_servers) {
    addresses.insert(backend->address);
    domains.insert(backend->failure_domain);
  }
  std::size_t position = 0;
  for (const std::string& address : at.item->addresses) {
    const std::string field = ItemPath("addresses", position++);
    if (IsServerAddress(address) && !addresses.contains(address)) {
      this->Report(
          at, field,
          Quoted(address) + " is no backend server of " + Quoted(service.name),
          "see its backend_servers");
    }
  }
  const std::string& domain = at.item->failure_domain;
  if (!domain.empty() && !domains.contains(domain)) {
    this->Report(at, "failure_domain",
                 "no backend server of " + Quoted(service.name) + " is in " +
                     Quoted(domain),
                 "see the failure_domain of its backend_servers");
  }
}

void FileSetChecker::CheckStopPlans() {
  const auto items = this->LocateItems<schema::StopPlanT>(
      [](const schema::FileSetT& set) -> const auto& { return set.stop_plans; },
      "stop_plans");
  this->CheckUnique(items);
  for (const auto& at : items) {
    this->CheckStopPlan(at);
  }
}

void FileSetChecker::CheckStopPlan(const LocatedItem<schema::StopPlanT>& at) {
  const schema::StopPlanT& plan = *at.item;
  this->CheckName(at, "name", plan.name);
  this->CheckFailureDomain(at, "failure_domain", plan.failure_domain);
  if (plan.instances.empty() && plan.failure_domain.empty()) {
    this->Report(at, "instances", "the plan stops nothing",
                 "give instances, a failure_domain, or both");
  }
  std::set<std::string> seen;
  std::size_t position = 0;
  for (const std::string& instance : plan.instances) {
    const std::string field = ItemPath("instances", position++);
    this->CheckName(at, field, instance);
    if (!seen.insert(instance).second) {
      this->Report(at, field, Quoted(instance) + " stands twice", "remove one");
    }
  }
  this->CheckRange(at, "max_stopping_per_failure_domain",
                   plan.max_stopping_per_failure_domain, 1, kMaxSlots);
  this->CheckRange(at, "max_stopping_percent", plan.max_stopping_percent, 1,
                   kMaxPercent);
  this->CheckRange(at, "finish_within_ms", plan.finish_within_ms, 1,
                   kMaxDurationMs);
}

}  // namespace

UserErrors CheckFileSet(const std::vector<FileSetPart>& parts, bool complete) {
  return FileSetChecker(parts, complete).Check();
}

}  // namespace acacia
