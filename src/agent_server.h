// The agent of one instance. It runs AgentCore on one strand and carries out
// its actions through the platform client, the peer transport and the entry
// link. It serves metrics, readiness, status and explanations to operators.
#ifndef SRC_AGENT_SERVER_H_
#define SRC_AGENT_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/clock.h"
#include "src/generated/settings_generated.h"
#include "src/ids.h"

namespace acacia {

class AgentServer {
 public:
  // `executor` must run on one thread or be a strand; `clock` must outlive the
  // server.
  AgentServer(const boost::asio::any_io_executor& executor,
              schema::AgentSettingsT settings,
              const Clock& clock);
  ~AgentServer();

  // Opens every listener. The error names the listener that failed.
  tl::expected<void, std::string> Start();

  // Announces that the instance leaves the fleet. `on_finished` is called once,
  // when the entry has reported that it stopped or when no entry has been
  // connected for a second.
  void RequestStop(std::function<void()> on_finished);

  bool IsReady() const;
  Generation CurrentGeneration() const;
  // The ports in use, for settings that let the system choose them.
  std::uint16_t EntryPort() const;
  std::uint16_t OperatorPort() const;
  PeerAddress PeerListenAddress() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_AGENT_SERVER_H_
