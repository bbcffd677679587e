// Reads the settings of the programs. Each program has one settings file, JSON
// with comments, whose fields are those of a table in schema/settings.fbs.
#ifndef SRC_SETTINGS_H_
#define SRC_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/generated/settings_generated.h"
#include "src/user_error.h"

namespace acacia {

// Each function returns the settings in the file, or a list of all mistakes in
// it: unknown fields, wrong types, values out of range, and listen or peer
// addresses that are not of the form "ip:port".
//
// Given `sleep`, which pauses, a file that ends too early is read again for a
// while, as its writer may not have finished.
tl::expected<schema::EntrySettingsT, UserErrors> ReadEntrySettings(
    const std::string& file,
    const std::function<void(Duration)>& sleep = {});
// Fills in the limits of the machine that the settings leave open from the
// environment: ACACIA_MEMORY_MB and ACACIA_MAX_DESCRIPTORS, whole numbers above
// 0. Where these are unset or empty, `memory_mb` is kDefaultMemoryMb and
// `max_descriptors` stays 0. `get` returns the value of a variable, or null.
inline constexpr std::uint32_t kDefaultMemoryMb = 256;
tl::expected<void, UserErrors> ApplyEnvironment(
    const std::function<const char*(const char* name)>& get,
    schema::EntrySettingsT& settings);
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
