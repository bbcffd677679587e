// Lets the stand-in programs stop on a signal.
#ifndef STANDIN_STOP_ON_SIGNAL_H_
#define STANDIN_STOP_ON_SIGNAL_H_

#include <boost/asio/io_context.hpp>

namespace acacia {

// Stops `io` on SIGTERM or SIGINT.
void StopOnSignal(boost::asio::io_context& io);

}  // namespace acacia

#endif  // STANDIN_STOP_ON_SIGNAL_H_
