// One entry process: the worker threads, the shared tables, the listeners, the
// stream to the agent, and the graceful shutdown.
#ifndef SRC_ENTRY_SERVER_H_
#define SRC_ENTRY_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/generated/settings_generated.h"

namespace acacia {

class EntryServer {
 public:
  EntryServer(const schema::EntrySettingsT& settings, const Clock& clock);
  ~EntryServer();

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
