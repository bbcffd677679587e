#include "src/configuration_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "src/configuration.h"
#include "src/lower_case.h"

namespace acacia {
namespace {

class Checker {
 public:
  explicit Checker(const ConfigurationDraft& draft)
      : draft(draft), findings(draft.findings) {}

  Findings Run() {
    for (const DraftRoute& route : this->draft.routes) {
      this->CheckTargets(route);
      this->CheckMatch(route);
      this->CheckRouteLimits(route);
    }
    this->CheckServicesAreUsed();
    for (const DraftAccount& account : this->draft.accounts) {
      this->CheckAccount(account);
    }
    this->CheckKeysAreAsked();
    for (const DraftLimits& limits : this->draft.limits) {
      this->CheckLimits(limits);
    }
    return std::move(this->findings);
  }

 private:
  void Error(const std::string& resource, std::string message) {
    this->findings.push_back(
        {FindingSeverity::kError, resource, std::move(message)});
  }
  void Warn(const std::string& resource, std::string message) {
    this->findings.push_back(
        {FindingSeverity::kWarning, resource, std::move(message)});
  }

  void UseService(const DraftRoute& route, const ServiceName& service) {
    const bool known = std::any_of(
        this->draft.services.begin(), this->draft.services.end(),
        [&service](const DraftService& each) { return each.name == service; });
    if (!known) {
      this->Error(route.resource,
                  "names the unknown service " + service.Value());
    }
  }

  void CheckTargets(const DraftRoute& route) {
    std::set<ServiceName> parts;
    for (const DraftTarget& part : route.split) {
      if (part.weight > 0) {
        parts.insert(part.service);
        this->UseService(route, part.service);
      } else {
        this->Warn(route.resource, "its part for service " +
                                       part.service.Value() +
                                       " has weight 0 and gets no requests");
      }
    }
    if (parts.empty() && route.service) {
      parts.insert(*route.service);
      this->UseService(route, *route.service);
    } else if (parts.empty()) {
      this->Error(route.resource, "names no service");
    } else if (route.service && !parts.contains(*route.service)) {
      this->Warn(route.resource, "its service " + route.service->Value() +
                                     " gets no requests beside the split");
    }
    this->used.merge(parts);
  }

  // An entry compares hosts without port and case, and prefers the longest
  // prefix that ends at a segment; of equal ones the first route.
  void CheckMatch(const DraftRoute& route) {
    if (!route.path_prefix) {
      return;
    }
    const std::string& prefix = *route.path_prefix;
    if (!prefix.starts_with('/')) {
      this->Warn(route.resource, "can never match: its prefix \"" + prefix +
                                     "\" does not begin with a slash");
      return;
    }
    if (prefix.find_first_of("?# ") != std::string::npos) {
      this->Warn(route.resource, "can never match: its prefix \"" + prefix +
                                     "\" has a character that no path has");
      return;
    }
    const std::string host =
        LowerCase(route.host.substr(0, route.host.rfind(':')));
    const auto [first, is_new] =
        this->matches.emplace(std::pair(host, prefix), &route);
    if (!is_new) {
      this->Warn(route.resource, "can never match: " + first->second->resource +
                                     " has the same host and prefix");
    }
  }

  void CheckRouteLimits(const DraftRoute& route) {
    const Duration deadline = route.deadline.value_or(Route().deadline);
    if (deadline == Duration{}) {
      this->Warn(route.resource, "its timeout is 0: no request is in time");
    } else if (route.target_latency.value_or(Duration{}) > deadline) {
      this->Warn(route.resource, "its target latency is above its timeout");
    }
    if (route.max_attempts && *route.max_attempts == 0) {
      this->Warn(route.resource,
                 "allows 0 attempts, which is read as no limit");
    }
  }

  void CheckServicesAreUsed() {
    for (const DraftService& service : this->draft.services) {
      if (!this->used.contains(service.name)) {
        this->Warn(service.resource, "no route uses it");
      }
    }
  }

  void CheckAccount(const DraftAccount& account) {
    if (account.key_count == 0) {
      this->Warn(account.resource, "has no keys: no request is its own");
    }
    const bool has_burst = account.burst.value_or(0) > 0;
    if (has_burst && !account.requests_per_second) {
      this->Warn(account.resource, "has a burst without a rate: no limit");
    } else if (has_burst && *account.requests_per_second == 0) {
      this->Warn(account.resource,
                 "has a burst and a rate of 0, which means no limit");
    }
  }

  void CheckKeysAreAsked() {
    const bool any_asks =
        std::any_of(this->draft.routes.begin(), this->draft.routes.end(),
                    [](const DraftRoute& route) { return !route.anonymous; });
    if (!this->draft.accounts.empty() && !this->draft.routes.empty() &&
        !any_asks) {
      this->Warn("", "has accounts, and all routes are anonymous");
    }
  }

  void CheckLimits(const DraftLimits& limits) {
    if (limits.max_body_bytes && *limits.max_body_bytes == 0) {
      this->Warn(limits.resource,
                 "the body limit is 0: no request may have a body");
    }
    if (limits.header_timeout && limits.idle_timeout &&
        *limits.header_timeout > *limits.idle_timeout) {
      this->Warn(limits.resource,
                 "the header timeout is above the idle timeout");
    }
  }

  const ConfigurationDraft& draft;
  Findings findings;
  std::set<ServiceName> used;
  std::map<std::pair<std::string, std::string>, const DraftRoute*> matches;
};

}  // namespace

Findings CheckConfiguration(const ConfigurationDraft& draft) {
  return Checker(draft).Run();
}

bool HasError(const Findings& findings) {
  return std::any_of(findings.begin(), findings.end(),
                     [](const Finding& finding) {
                       return finding.severity == FindingSeverity::kError;
                     });
}

}  // namespace acacia
