#include "src/settings.h"

#include <vector>

#include "src/generated/settings_bfbs_generated.h"
#include "src/json_schema.h"
#include "src/socket_address.h"

namespace acacia {
namespace {

// A field that must hold an address, and whether it may be empty.
struct AddressField {
  std::string name;
  const std::string& value;
  bool optional = false;
};

UserErrors CheckAddresses(const std::string& file,
                          const std::vector<AddressField>& fields) {
  UserErrors errors;
  for (const AddressField& field : fields) {
    if (field.optional && field.value.empty()) {
      continue;
    }
    if (!ParseSocketAddress(field.value)) {
      errors.push_back({file, 0, field.name,
                        "\"" + field.value + "\" is not an address",
                        "write ip:port, for example 127.0.0.1:8080"});
    }
  }
  return errors;
}

template <typename Table>
tl::expected<typename Table::NativeTableType, UserErrors> ReadTable(
    const std::string& file) {
  const auto text = ReadTextFile(file);
  if (!text) {
    return tl::unexpected(text.error());
  }
  const BinarySchema schema{schema::EntrySettingsBinarySchema::data(),
                            schema::EntrySettingsBinarySchema::size()};
  const auto bytes =
      ParseJsonTable(schema, Table::GetFullyQualifiedName(), file, *text);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  typename Table::NativeTableType settings;
  flatbuffers::GetRoot<Table>(bytes->data())->UnPackTo(&settings);
  return settings;
}

// Reads a table, then checks the address fields that `fields_of` names.
template <typename Table, typename FieldsOf>
tl::expected<typename Table::NativeTableType, UserErrors> ReadChecked(
    const std::string& file,
    FieldsOf fields_of) {
  auto settings = ReadTable<Table>(file);
  if (!settings) {
    return settings;
  }
  const UserErrors errors = CheckAddresses(file, fields_of(*settings));
  if (!errors.empty()) {
    return tl::unexpected(errors);
  }
  return settings;
}

}  // namespace

tl::expected<schema::EntrySettingsT, UserErrors> ReadEntrySettings(
    const std::string& file) {
  return ReadChecked<schema::EntrySettings>(
      file, [](const schema::EntrySettingsT& settings) {
        return std::vector<AddressField>{
            {"caller_listen", settings.caller_listen},
            {"caller_advertise", settings.caller_advertise, true},
            {"operator_listen", settings.operator_listen},
            {"agent_address", settings.agent_address}};
      });
}

tl::expected<schema::AgentSettingsT, UserErrors> ReadAgentSettings(
    const std::string& file) {
  return ReadChecked<schema::AgentSettings>(
      file, [](const schema::AgentSettingsT& settings) {
        std::vector<AddressField> fields{
            {"peer_listen", settings.peer_listen},
            {"peer_advertise", settings.peer_advertise, true},
            {"entry_listen", settings.entry_listen},
            {"caller_advertise", settings.caller_advertise},
            {"operator_listen", settings.operator_listen},
            {"platform_address", settings.platform_address}};
        for (std::size_t i = 0; i < settings.seed_peers.size(); ++i) {
          fields.push_back({"seed_peers[" + std::to_string(i) + "]",
                            settings.seed_peers[i]});
        }
        return fields;
      });
}

tl::expected<schema::PlatformStandinSettingsT, UserErrors>
ReadPlatformStandinSettings(const std::string& file) {
  return ReadChecked<schema::PlatformStandinSettings>(
      file, [](const schema::PlatformStandinSettingsT& settings) {
        return std::vector<AddressField>{{"listen", settings.listen}};
      });
}

tl::expected<schema::BackendStandinSettingsT, UserErrors>
ReadBackendStandinSettings(const std::string& file) {
  return ReadChecked<schema::BackendStandinSettings>(
      file, [](const schema::BackendStandinSettingsT& settings) {
        return std::vector<AddressField>{{"listen", settings.listen}};
      });
}

tl::expected<schema::FaultProxySettingsT, UserErrors> ReadFaultProxySettings(
    const std::string& file) {
  return ReadChecked<schema::FaultProxySettings>(
      file, [](const schema::FaultProxySettingsT& settings) {
        return std::vector<AddressField>{
            {"listen", settings.listen},
            {"target", settings.target},
            {"operator_listen", settings.operator_listen}};
      });
}

tl::expected<schema::LoadSettingsT, UserErrors> ReadLoadSettings(
    const std::string& file) {
  return ReadChecked<schema::LoadSettings>(
      file, [](const schema::LoadSettingsT& settings) {
        std::vector<AddressField> fields;
        for (const std::string& entry : settings.entries) {
          fields.push_back({"entries", entry});
        }
        for (const std::string& ledger : settings.ledgers) {
          fields.push_back({"ledgers", ledger});
        }
        return fields;
      });
}

}  // namespace acacia
