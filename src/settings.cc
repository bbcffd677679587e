#include "src/settings.h"

#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "src/generated/settings_bfbs_generated.h"
#include "src/json_lines.h"
#include "src/json_schema.h"
#include "src/log_event.h"
#include "src/name.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

constexpr std::chrono::milliseconds kFilePause{50};
constexpr int kMaxFilePauses = 40;

// A mistake in the value of one field. `hint` says how to correct it.
struct Mistake {
  std::string field;
  std::string message;
  std::string hint;
};

// Checks the values of one settings table and collects the mistakes. `field` is
// the path of the field.
class SettingsChecker {
 public:
  SettingsChecker& Address(const std::string& field, const std::string& value) {
    if (!ParseSocketAddress(value)) {
      this->Report(field, "\"" + value + "\" is not an address",
                   "write ip:port, for example 127.0.0.1:8080");
    }
    return *this;
  }

  SettingsChecker& Addresses(const std::string& field,
                             const std::vector<std::string>& values) {
    std::size_t position = 0;
    for (const std::string& value : values) {
      this->Address(field + "[" + std::to_string(position++) + "]", value);
    }
    return *this;
  }

  SettingsChecker& OptionalAddress(const std::string& field,
                                   const std::string& value) {
    return value.empty() ? *this : this->Address(field, value);
  }

  // For the stream between agent and entry, which must not leave the instance.
  SettingsChecker& LoopbackAddress(const std::string& field,
                                   const std::string& value) {
    const auto address = ParseSocketAddress(value);
    if (address && !address->address.is_loopback()) {
      this->Report(field, "\"" + value + "\" is not a loopback address",
                   "agent and entry of one instance connect on 127.0.0.1");
    }
    return this->Address(field, value);
  }

  SettingsChecker& Name(const std::string& field, const std::string& value) {
    if (!IsValidName(value)) {
      this->Report(field, "\"" + value + "\" is not a name", kNameHint);
    }
    return *this;
  }

  SettingsChecker& Positive(const std::string& field, double value) {
    if (!(value > 0)) {
      this->Report(field, std::to_string(value) + " is out of range",
                   "write a number above 0");
    }
    return *this;
  }

  SettingsChecker& Share(const std::string& field, double value) {
    if (!(value >= 0 && value <= 1)) {
      this->Report(field, std::to_string(value) + " is out of range",
                   "write a share from 0 to 1");
    }
    return *this;
  }

  SettingsChecker& Percent(const std::string& field, double value) {
    if (!(value >= 0 && value <= 100)) {
      this->Report(field, std::to_string(value) + " is out of range",
                   "write a number from 0 to 100");
    }
    return *this;
  }

  // Exactly one of the two fields must be set.
  SettingsChecker& OneOf(const std::string& field,
                         bool has_field,
                         const std::string& other,
                         bool has_other) {
    if (has_field == has_other) {
      this->Report(field, has_field ? "excludes " + other : "is missing",
                   "give either " + field + " or " + other);
    }
    return *this;
  }

  SettingsChecker& AtLeast(const std::string& field,
                           std::uint64_t value,
                           std::uint64_t min) {
    if (value < min) {
      this->Report(field, std::to_string(value) + " is out of range",
                   "write at least " + std::to_string(min));
    }
    return *this;
  }

  const std::vector<Mistake>& Mistakes() const { return this->mistakes; }

 private:
  void Report(const std::string& field, std::string message, std::string hint) {
    this->mistakes.push_back({field, std::move(message), std::move(hint)});
  }

  std::vector<Mistake> mistakes;
};

void CheckHostPlatform(const schema::HostPlatformSettingsT& settings,
                       SettingsChecker* check) {
  check->Address("host_platform.store_address", settings.store_address)
      .Address("host_platform.lookup_listen", settings.lookup_listen)
      .Address("host_platform.ready_listen", settings.ready_listen)
      .Address("host_platform.peer_listen", settings.peer_listen)
      .Positive("host_platform.grace_s", settings.grace_s)
      .Share("host_platform.retry_budget_ratio", settings.retry_budget_ratio)
      .Positive("host_platform.retry_budget_window_s",
                settings.retry_budget_window_s)
      .Share("host_platform.floor_share", settings.floor_share)
      .Percent("host_platform.hedge_percent", settings.hedge_percent)
      .Positive("host_platform.lookup_lifetime_s", settings.lookup_lifetime_s);
}

// Given `sleep`, reads the file again, after pauses, while it ends too early.
tl::expected<std::string, UserErrors> ReadFinishedFile(
    const std::string& file,
    const std::function<void(Duration)>& sleep) {
  auto text = ReadTextFile(file);
  for (int pause = 0; sleep && text && pause < kMaxFilePauses &&
                      JsonLines(file, *text).IsIncomplete();
       ++pause) {
    if (pause == 0) {
      LogEvent("settings_incomplete", LogSeverity::kWarning).With("file", file);
    }
    sleep(kFilePause);
    text = ReadTextFile(file);
  }
  return text;
}

// Reads a table from the file and passes it to `check`. Returns the mistakes of
// both steps together.
template <typename Table, typename Check>
tl::expected<typename Table::NativeTableType, UserErrors> ReadChecked(
    const std::string& file,
    Check check,
    const std::function<void(Duration)>& sleep = {}) {
  const auto text = ReadFinishedFile(file, sleep);
  if (!text) {
    return tl::unexpected(text.error());
  }
  const BinarySchema schema{schema::EntrySettingsBinarySchema::data(),
                            schema::EntrySettingsBinarySchema::size()};
  JsonTable table =
      ReadJsonTable(schema, Table::GetFullyQualifiedName(), file, *text);
  if (table.bytes.empty()) {
    return tl::unexpected(std::move(table.errors));
  }
  typename Table::NativeTableType settings;
  flatbuffers::GetRoot<Table>(table.bytes.data())->UnPackTo(&settings);
  SettingsChecker checker;
  check(settings, &checker);
  for (const Mistake& mistake : checker.Mistakes()) {
    table.errors.push_back(
        table.lines.MakeError(mistake.field, mistake.message, mistake.hint));
  }
  if (!table.errors.empty()) {
    return tl::unexpected(OnePerField(table.errors));
  }
  return settings;
}

}  // namespace

tl::expected<schema::EntrySettingsT, UserErrors> ReadEntrySettings(
    const std::string& file,
    const std::function<void(Duration)>& sleep) {
  return ReadChecked<schema::EntrySettings>(
      file,
      [](const schema::EntrySettingsT& settings, SettingsChecker* check) {
        check->Name("instance", settings.instance)
            .Name("failure_domain", settings.failure_domain)
            .Address("caller_listen", settings.caller_listen)
            .OptionalAddress("caller_advertise", settings.caller_advertise)
            .Address("operator_listen", settings.operator_listen)
            .OneOf("agent_address", !settings.agent_address.empty(),
                   "host_platform", settings.host_platform != nullptr)
            .AtLeast("worker_threads", settings.worker_threads, 1)
            .AtLeast("answer_lifetime_ms", settings.answer_lifetime_ms, 1)
            .AtLeast("max_header_bytes", settings.max_header_bytes, 1024)
            .AtLeast("max_caller_connections", settings.max_caller_connections,
                     1)
            .AtLeast("idle_caller_timeout_ms", settings.idle_caller_timeout_ms,
                     1);
        if (!settings.agent_address.empty()) {
          check->LoopbackAddress("agent_address", settings.agent_address);
        }
        if (settings.host_platform) {
          CheckHostPlatform(*settings.host_platform, check);
        }
      },
      sleep);
}

tl::expected<void, UserErrors> ApplyEnvironment(
    const std::function<const char*(const char* name)>& get,
    schema::EntrySettingsT& settings) {
  UserErrors mistakes;
  const auto apply = [&](const char* name, std::uint32_t& setting) {
    const char* value = get(name);
    if (setting != 0 || value == nullptr || *value == '\0') {
      return;
    }
    const std::string_view text(value);
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, setting);
    if (parsed.ec != std::errc() || parsed.ptr != end || setting == 0) {
      mistakes.push_back({"environment", 0, name,
                          "\"" + std::string(text) + "\" is out of range",
                          "write a whole number above 0"});
    }
  };
  apply("ACACIA_MEMORY_MB", settings.memory_mb);
  apply("ACACIA_MAX_DESCRIPTORS", settings.max_descriptors);
  if (!mistakes.empty()) {
    return tl::unexpected(std::move(mistakes));
  }
  if (settings.memory_mb == 0) {
    settings.memory_mb = kDefaultMemoryMb;
  }
  return {};
}

tl::expected<schema::AgentSettingsT, UserErrors> ReadAgentSettings(
    const std::string& file) {
  return ReadChecked<schema::AgentSettings>(
      file, [](const schema::AgentSettingsT& settings, SettingsChecker* check) {
        check->Name("instance", settings.instance)
            .Name("failure_domain", settings.failure_domain)
            .Address("peer_listen", settings.peer_listen)
            .OptionalAddress("peer_advertise", settings.peer_advertise)
            .LoopbackAddress("entry_listen", settings.entry_listen)
            .Address("caller_advertise", settings.caller_advertise)
            .Address("operator_listen", settings.operator_listen)
            .Address("platform_address", settings.platform_address)
            .AtLeast("tick_ms", settings.tick_ms, 1)
            .AtLeast("answer_lifetime_ms", settings.answer_lifetime_ms, 1)
            .Addresses("seed_peers", settings.seed_peers);
      });
}

tl::expected<schema::PlatformStandinSettingsT, UserErrors>
ReadPlatformStandinSettings(const std::string& file) {
  return ReadChecked<schema::PlatformStandinSettings>(
      file, [](const schema::PlatformStandinSettingsT& settings,
               SettingsChecker* check) {
        check->Address("listen", settings.listen);
      });
}

tl::expected<schema::BackendStandinSettingsT, UserErrors>
ReadBackendStandinSettings(const std::string& file) {
  return ReadChecked<schema::BackendStandinSettings>(
      file, [](const schema::BackendStandinSettingsT& settings,
               SettingsChecker* check) {
        check->Address("listen", settings.listen);
      });
}

tl::expected<schema::FaultProxySettingsT, UserErrors> ReadFaultProxySettings(
    const std::string& file) {
  return ReadChecked<schema::FaultProxySettings>(
      file,
      [](const schema::FaultProxySettingsT& settings, SettingsChecker* check) {
        check->Address("listen", settings.listen)
            .Address("target", settings.target)
            .Address("operator_listen", settings.operator_listen);
      });
}

tl::expected<schema::LoadSettingsT, UserErrors> ReadLoadSettings(
    const std::string& file) {
  return ReadChecked<schema::LoadSettings>(
      file, [](const schema::LoadSettingsT& settings, SettingsChecker* check) {
        check->Addresses("entries", settings.entries)
            .Addresses("ledgers", settings.ledgers);
      });
}

}  // namespace acacia
