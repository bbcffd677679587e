// The agent's end of the loopback stream to its entry. It serves one entry at a
// time: a new connection replaces the previous one, whose entry has exited or
// stopped responding. Not thread-safe; use from one strand.
#ifndef SRC_ENTRY_LINK_SERVER_H_
#define SRC_ENTRY_LINK_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/generated/entry_link_generated.h"

namespace acacia {

struct EntryLinkHandlers {
  std::function<void()> on_connected;
  std::function<void(const schema::EntryReportT&)> on_report;
  std::function<void(const schema::KeyClaimT&)> on_key_claim;
};

class EntryLinkServer {
 public:
  EntryLinkServer(const boost::asio::any_io_executor& executor,
                  EntryLinkHandlers handlers);
  ~EntryLinkServer();

  // Opens the listener. The error contains the system's message.
  tl::expected<void, std::string> Listen(const std::string& address);
  std::uint16_t Port() const;
  void Stop();

  bool IsConnected() const;
  // Frames that were not a valid EntryToAgent buffer; each one ends its
  // connection.
  std::uint64_t MalformedFrames() const;

  // Messages are dropped when no entry is connected. A configuration or fleet
  // update that is still unsent is replaced by a newer one.
  void SendConfiguration(std::uint64_t generation,
                         const schema::FileSetT& file_set);
  void SendFleet(const schema::FleetUpdateT& update);
  void SendKeyClaimReply(const schema::KeyClaimReplyT& reply);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace acacia

#endif  // SRC_ENTRY_LINK_SERVER_H_
