// Reads a program's settings: one JSON file with comments, of one table of
// schema/settings.fbs.
#ifndef SRC_SETTINGS_H_
#define SRC_SETTINGS_H_

#include <string>
#include <tl/expected.hpp>

#include "src/generated/settings_generated.h"
#include "src/user_error.h"

namespace acacia {

// Every mistake is listed: unknown fields, wrong types, and listen or peer
// addresses ("ip:port") that are not addresses.
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
