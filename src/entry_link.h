// The entry's end of the loopback stream to its agent. It reconnects with
// jitter whenever the stream breaks; until then the entry serves with the last
// state that it received. Received buffers are verified before use.
#ifndef SRC_ENTRY_LINK_H_
#define SRC_ENTRY_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>

#include "src/clock.h"
#include "src/entry_context.h"
#include "src/generated/entry_link_generated.h"

namespace acacia {

// Called on the link's strand.
struct EntryLinkHooks {
  std::function<void(std::unique_ptr<schema::ConfigurationUpdateT>)>
      on_configuration;
  std::function<void(std::unique_ptr<schema::FleetUpdateT>)> on_fleet;
  std::function<void(bool connected)> on_connected;
  std::function<schema::EntryReportT()> make_report;
};

// Thread-safe.
class EntryLink {
 public:
  EntryLink(const boost::asio::any_io_executor& executor,
            std::string agent_address,
            std::uint64_t seed,
            EntryLinkHooks hooks);
  ~EntryLink();

  void Start();

  // Sends a report now instead of at the next interval.
  void ReportSoon();

  // Claims an idempotency key. `done` is called once, on the link's strand;
  // with `known` false when the agent is not connected or does not answer in
  // time.
  void ClaimKey(schema::KeyClaimT claim, KeyClaimDone done);

  // Posts the closing of the stream to the strand. No hook is called after that
  // has run.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_ENTRY_LINK_H_
