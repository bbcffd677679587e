// Compares a configuration with the version in force.
#ifndef SRC_CONFIGURATION_DIFF_H_
#define SRC_CONFIGURATION_DIFF_H_

#include <string>
#include <vector>

#include "src/configuration_draft.h"

namespace acacia {

enum class ChangeKind { kAdded, kRemoved, kChanged };

struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kChanged;
  // For example "route book".
  std::string resource;
  // Only for changed resources: the field and its values, which are empty where
  // the field is missing.
  std::string field{};
  std::string before{};
  std::string after{};
  bool operator==(const ConfigurationChange&) const = default;
};

// Returns the changes by resource and field. Keys are counted.
std::vector<ConfigurationChange> DiffConfigurations(
    const ConfigurationDraft& in_force,
    const ConfigurationDraft& next);

// Finds that entries would not take `next`, because it is not newer.
Findings CheckIsNewer(const ConfigurationDraft& in_force,
                      const ConfigurationDraft& next);

}  // namespace acacia

#endif  // SRC_CONFIGURATION_DIFF_H_
