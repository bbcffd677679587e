// Ends a stand-in's run when it is told to stop.
#ifndef STANDIN_STOP_ON_SIGNAL_H_
#define STANDIN_STOP_ON_SIGNAL_H_

#include <boost/asio/io_context.hpp>

namespace acacia {

// Ends the io_context's run on SIGTERM or SIGINT.
void StopOnSignal(boost::asio::io_context& io);

}  // namespace acacia

#endif  // STANDIN_STOP_ON_SIGNAL_H_
