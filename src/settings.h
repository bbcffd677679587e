// Reads the settings of the programs. Each program has one settings file, JSON
// with comments, whose fields are those of a table in schema/settings.fbs.
#ifndef SRC_SETTINGS_H_
#define SRC_SETTINGS_H_

#include <string>
#include <tl/expected.hpp>

#include "src/generated/settings_generated.h"
#include "src/user_error.h"

namespace acacia {

// Each function returns the settings in the file, or a list of all mistakes in
// it: unknown fields, wrong types, values out of range, and listen or peer
// addresses that are not of the form "ip:port".
tl::expected<schema::EntrySettingsT, UserErrors> ReadEntrySettings(
    const std::string& file);
tl::expected<schema::AgentSettingsT, UserErrors> ReadAgentSettings(
    const std::string& file);
tl::expected<schema::PlatformStandinSettingsT, UserErrors>
ReadPlatformStandinSettings(const std::string& file);
tl::expected<schema::BackendStandinSettingsT, UserErrors>
ReadBackendStandinSettings(const std::string& file);
tl::expected<schema::FaultProxySettingsT, UserErrors> ReadFaultProxySettings(
    const std::string& file);
tl::expected<schema::LoadSettingsT, UserErrors> ReadLoadSettings(
    const std::string& file);

}  // namespace acacia

#endif  // SRC_SETTINGS_H_
