// The entry's end of the loopback stream to its agent. It connects again, with
// jitter, whenever the stream breaks; the entry goes on with what it knows.
// Received buffers are verified before use.
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

  // Asks for an idempotency key. `done` is called once, on the link's strand;
  // with `known` false when the agent is away or does not answer in time.
  void ClaimKey(schema::KeyClaimT claim, KeyClaimDone done);

  // Closes the stream and calls no hook any more once it returns on the
  // strand.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_ENTRY_LINK_H_
