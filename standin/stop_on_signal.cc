#include "standin/stop_on_signal.h"

#include <boost/asio.hpp>
#include <csignal>
#include <memory>

namespace acacia {

void StopOnSignal(boost::asio::io_context& io) {
  auto signals = std::make_shared<boost::asio::signal_set>(io, SIGTERM, SIGINT);
  signals->async_wait(
      [&io, signals](boost::system::error_code, int) { io.stop(); });
}

}  // namespace acacia
