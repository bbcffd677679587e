#include "src/configuration_diff.h"

#include <algorithm>
#include <set>

namespace acacia {
namespace {

constexpr char kKeysField[] = "keys";

std::string FieldOf(const DraftResource& resource, const std::string& field) {
  const auto found = resource.fields.find(field);
  return found == resource.fields.end() ? "" : found->second;
}

void CompareFields(const std::string& name,
                   const DraftResource& before,
                   const DraftResource& after,
                   std::vector<ConfigurationChange>& changes) {
  std::set<std::string> fields;
  for (const DraftResource* each : {&before, &after}) {
    for (const auto& [field, value] : each->fields) {
      fields.insert(field);
    }
  }
  for (const std::string& field : fields) {
    const std::string old_value = FieldOf(before, field);
    const std::string new_value = FieldOf(after, field);
    if (old_value != new_value) {
      changes.push_back(
          {ChangeKind::kChanged, name, field, old_value, new_value});
    }
  }
}

std::size_t CountMissing(const std::set<std::string>& from,
                         const std::set<std::string>& in) {
  return static_cast<std::size_t>(std::count_if(
      from.begin(), from.end(),
      [&in](const std::string& each) { return !in.contains(each); }));
}

void CompareKeys(const std::string& name,
                 const DraftResource& before,
                 const DraftResource& after,
                 std::vector<ConfigurationChange>& changes) {
  const std::size_t removed =
      CountMissing(before.key_digests, after.key_digests);
  const std::size_t added = CountMissing(after.key_digests, before.key_digests);
  if (removed + added > 0) {
    changes.push_back({ChangeKind::kChanged, name, kKeysField,
                       std::to_string(before.key_digests.size()),
                       std::to_string(after.key_digests.size()) + " (" +
                           std::to_string(added) + " added, " +
                           std::to_string(removed) + " removed)"});
  }
}

}  // namespace

std::vector<ConfigurationChange> DiffConfigurations(
    const ConfigurationDraft& in_force,
    const ConfigurationDraft& next) {
  std::vector<ConfigurationChange> changes;
  for (const auto& [name, before] : in_force.resources) {
    const auto found = next.resources.find(name);
    if (found == next.resources.end()) {
      changes.push_back({ChangeKind::kRemoved, name});
      continue;
    }
    CompareFields(name, before, found->second, changes);
    CompareKeys(name, before, found->second, changes);
  }
  for (const auto& [name, after] : next.resources) {
    if (!in_force.resources.contains(name)) {
      changes.push_back({ChangeKind::kAdded, name});
    }
  }
  return changes;
}

Findings CheckIsNewer(const ConfigurationDraft& in_force,
                      const ConfigurationDraft& next) {
  if (in_force.generation < next.generation) {
    return {};
  }
  return {{FindingSeverity::kError, "",
           "its version " + std::to_string(next.generation.Value()) +
               " is not newer than version " +
               std::to_string(in_force.generation.Value()) + " in force"}};
}

}  // namespace acacia
