// The server of one entry process. It owns the worker threads, the shared
// tables, the listeners and the stream to the agent, and carries out the
// graceful shutdown.
#ifndef SRC_ENTRY_SERVER_H_
#define SRC_ENTRY_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/caller_authentication.h"
#include "src/clock.h"
#include "src/configuration.h"
#include "src/connection_limits.h"
#include "src/dialect.h"
#include "src/dispatcher.h"
#include "src/generated/entry_link_generated.h"
#include "src/generated/settings_generated.h"

namespace acacia {

// Options that differ between an entry that has an agent and one that runs on a
// host platform.
struct EntryPolicy {
  Dialect dialect = DefaultDialect();
  ChooserFactory make_chooser;
  // Answers carry "Connection: close" as soon as the shutdown begins, not only
  // once the entry accepts no more connections.
  bool close_while_leaving = false;
  // The deadline also ends requests of the short class whose body is still
  // being sent. Otherwise these go on while they make progress.
  bool deadline_bounds_uploads = false;
  // The shutdown ends after this time even if connections are still open; zero:
  // no limit.
  Duration max_stop_duration{};
};

class EntryMetrics;
class QuotaLimiter;
class RequestQuarantine;

class EntryServer {
 public:
  EntryServer(const schema::EntrySettingsT& settings,
              const Clock& clock,
              EntryPolicy policy = {});
  ~EntryServer();

  // The executor of the entry's sockets; valid for the lifetime of this object.
  boost::asio::any_io_executor Executor() const;
  // The metrics that the operators' address serves.
  EntryMetrics& Metrics();

  // Replace the agent's updates in an entry without an agent. A configuration
  // of an older generation than the one in force is refused. Thread-safe.
  void ApplyConfiguration(std::shared_ptr<const Configuration> configuration);
  // Sets whether a newer configuration than the one in force is known to exist.
  // Thread-safe.
  void SetConfigurationAge(ConfigurationAge age);
  void ApplyFleet(std::unique_ptr<schema::FleetUpdateT> fleet);
  // Changes the limit of hedges (ServicePolicy::hedge_percent) of all services
  // in the configuration in force. Thread-safe.
  void SetHedgePercent(double percent);
  // Applies evidence about backend servers that the entry `from` has gathered.
  // Thread-safe.
  void ApplyEvidence(const std::string& from,
                     const std::vector<schema::BackendEvidenceT>& evidence);
  // Returns the evidence that this entry has gathered since the last call.
  // Thread-safe.
  std::vector<schema::BackendEvidenceT> TakeEvidence();
  // How many connections the listeners of this process may keep open.
  const ConnectionLimits& Limits() const;
  // The requests that are kept from backend servers because they crash them.
  RequestQuarantine& Quarantine();
  // Admits the requests of client accounts.
  QuotaLimiter& Quotas();
  // Sets a hook that is called once, on any thread, when the graceful shutdown
  // begins. Must be set before Start.
  void OnStop(std::function<void()> hook);

  // Opens the listener for callers. The error names the address that could not
  // be opened.
  tl::expected<void, std::string> Listen();
  // Starts the worker threads, after Listen. The listener for operators opens
  // when its address is available.
  void Start();

  std::uint16_t CallerPort() const;

  // Starts the graceful shutdown: the entry leaves the lookup answers, waits
  // until all answers that name it have expired, stops accepting connections
  // and finishes every open request, however long that takes (unless
  // EntryPolicy limits it). Thread-safe; further calls have no effect.
  void BeginStop();

  // Blocks until the shutdown is complete.
  void Wait();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_ENTRY_SERVER_H_
