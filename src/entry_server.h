// One entry process: the worker threads, the shared tables, the listeners, the
// stream to the agent, and the graceful shutdown.
#ifndef SRC_ENTRY_SERVER_H_
#define SRC_ENTRY_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/clock.h"
#include "src/configuration.h"
#include "src/dialect.h"
#include "src/dispatcher.h"
#include "src/generated/entry_link_generated.h"
#include "src/generated/settings_generated.h"

namespace acacia {

// What differs between an entry beside an agent and one on a host platform.
struct EntryPolicy {
  Dialect dialect = ProductDialect();
  ChooserFactory make_chooser;
  // Answers carry "Connection: close" from the beginning of the shutdown on.
  bool close_while_leaving = false;
  // The shutdown ends after this time, whatever is still open; zero: never.
  Duration longest_stop{};
};

class EntryMetrics;

class EntryServer {
 public:
  EntryServer(const schema::EntrySettingsT& settings,
              const Clock& clock,
              EntryPolicy policy = {});
  ~EntryServer();

  // Runs the entry's sockets; stays valid as long as this object.
  boost::asio::any_io_executor Executor() const;
  // Served on the operators' address.
  EntryMetrics& Metrics();

  // For an entry without an agent: what an agent would send. An older
  // configuration than the one in force is refused. Thread-safe.
  void ApplyConfiguration(std::shared_ptr<const Configuration> configuration);
  void ApplyFleet(std::unique_ptr<schema::FleetUpdateT> fleet);
  // Evidence about backend servers from other entries, and this entry's own
  // since the last call. Thread-safe.
  void ApplyEvidence(const std::string& from,
                     const std::vector<schema::BackendEvidenceT>& evidence);
  std::vector<schema::BackendEvidenceT> TakeEvidence();
  // Called once, on any thread, when the graceful shutdown begins. Set before
  // Start.
  void OnStop(std::function<void()> hook);

  // Opens the listeners and starts the worker threads. The error names the
  // address that could not be opened.
  tl::expected<void, std::string> Start();

  std::uint16_t CallerPort() const;
  std::uint16_t OperatorPort() const;

  // Starts the graceful shutdown: leave the lookup answers, wait until all
  // answers that name this entry have expired, accept no more, finish every
  // request, however long it takes. Thread-safe; further calls do nothing.
  void BeginStop();

  // Returns when the shutdown is complete.
  void Wait();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_ENTRY_SERVER_H_
