// Control plane of an entry on a platform that keeps the configuration, the
// registry of backend servers and the entries' own rows in one store. Follows
// the three tables, applies their contents to the entry, registers this entry,
// and answers lookups and readiness checks. No agent is needed.
#ifndef SRC_HOST_CONTROL_H_
#define SRC_HOST_CONTROL_H_

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/backend_registry.h"
#include "src/clock.h"
#include "src/configuration.h"
#include "src/dialect.h"
#include "src/entry_server.h"
#include "src/generated/settings_generated.h"
#include "src/row_store.h"

namespace acacia {

// The platform-specific names, formats and calls.
struct HostAdapter {
  Dialect dialect;
  RowStoreFactory make_store;
  std::string configuration_table;
  std::string configuration_key;
  std::string registrations_table;
  // Holds one row per entry of the fleet.
  std::string members_table;
  std::function<tl::expected<Configuration, std::string>(
      const std::string& text,
      const ServicePolicy& policy)>
      read_configuration;
  // Returns the text of a configuration without the keys of its accounts, which
  // read_configuration reads like the original. Entries store and send this
  // form.
  std::function<std::string(const std::string& text)> hide_keys;
  std::function<tl::expected<RegisteredBackend, std::string>(
      const std::string& name,
      const std::string& text)>
      read_registration;
  std::string lookup_path;
  std::string ready_path;
  // Query parameter of a lookup that names the caller's failure domain.
  std::string lookup_zone_parameter;
  std::function<std::string(const std::vector<std::string>& addresses,
                            Duration lifetime)>
      write_lookup;
};

class HostControl {
 public:
  // The entry and the clock must outlive this object.
  HostControl(const schema::EntrySettingsT& settings,
              HostAdapter adapter,
              EntryServer& entry,
              const Clock& clock);
  ~HostControl();

  // Opens the listeners and prepares to follow the store. Must be called before
  // EntryServer::Start, whose threads run this object's work. The error names
  // the listener's failure.
  tl::expected<void, std::string> Start();

  // Applies newer settings, except for addresses, which only change at the
  // next start. Thread-safe.
  void Reload(const schema::EntrySettingsT& settings);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_HOST_CONTROL_H_
