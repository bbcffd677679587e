#include "src/check_config.h"

#include <ostream>
#include <vector>

#include "src/configuration_check.h"
#include "src/configuration_diff.h"
#include "src/ctl_exit_code.h"
#include "src/json_schema.h"

namespace acacia {
namespace {

// Longer values of fields are cut in the output.
constexpr std::size_t kMaxShownValue = 200;

std::string Shown(const std::string& value) {
  return value.empty() ? "(none)"
         : value.size() <= kMaxShownValue
             ? value
             : value.substr(0, kMaxShownValue) + "...";
}

void Print(const Findings& findings, std::ostream& out) {
  for (const Finding& finding : findings) {
    out << (finding.severity == FindingSeverity::kError ? "error: "
                                                        : "warning: ")
        << (finding.resource.empty() ? "the configuration" : finding.resource)
        << ": " << finding.message << "\n";
  }
}

void Print(const std::vector<ConfigurationChange>& changes, std::ostream& out) {
  for (const ConfigurationChange& change : changes) {
    switch (change.kind) {
      case ChangeKind::kAdded:
        out << "added: " << change.resource << "\n";
        break;
      case ChangeKind::kRemoved:
        out << "removed: " << change.resource << "\n";
        break;
      case ChangeKind::kChanged:
        out << "changed: " << change.resource << ": " << change.field << ": "
            << Shown(change.before) << " -> " << Shown(change.after) << "\n";
        break;
    }
  }
}

}  // namespace

int CheckConfig(const CheckConfigOptions& options,
                const DraftReader& read,
                std::ostream& out,
                std::ostream& err) {
  const auto text = ReadTextFile(options.file);
  if (!text) {
    err << DescribeAll(text.error());
    return kCtlMistake;
  }
  const ConfigurationDraft draft = read(*text);
  Findings findings = CheckConfiguration(draft);
  std::vector<ConfigurationChange> changes;
  if (!options.in_force_file.empty()) {
    const auto in_force_text = ReadTextFile(options.in_force_file);
    if (!in_force_text) {
      err << DescribeAll(in_force_text.error());
      return kCtlMistake;
    }
    const ConfigurationDraft in_force = read(*in_force_text);
    if (in_force.resources.empty() && HasError(in_force.findings)) {
      err << options.in_force_file << " cannot be read as a configuration\n";
      return kCtlMistake;
    }
    const Findings newer = CheckIsNewer(in_force, draft);
    findings.insert(findings.end(), newer.begin(), newer.end());
    changes = DiffConfigurations(in_force, draft);
  }
  Print(findings, out);
  Print(changes, out);
  out << (HasError(findings) ? "errors were found" : "no errors") << ": "
      << draft.services.size() << " services, " << draft.routes.size()
      << " routes, " << draft.accounts.size() << " accounts\n";
  return HasError(findings) ? kCtlRefused : kCtlAccepted;
}

}  // namespace acacia
