// The commands of acaciactl, without its command line: validate a file set,
// apply it, and query an operator listener.
#ifndef SRC_ACACIACTL_H_
#define SRC_ACACIACTL_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>

#include "src/config_publisher.h"
#include "src/ctl_exit_code.h"
#include "src/platform_client.h"

namespace acacia {

struct ApplyOptions {
  std::string folder;
  std::string platform;
  // Generated when empty.
  std::string write_id;
  std::string writer;
  std::optional<Generation> based_on;
};

struct OperatorQuery {
  std::string address;
  std::string token;
  // Path and query, for example "/status".
  std::string target;
};

// Delays between a failed platform request and the next try. The delay starts
// at first_delay and doubles after each failure, up to max_delay.
struct PublishPacing {
  std::chrono::milliseconds first_delay{50};
  std::chrono::milliseconds max_delay{2000};
};

// Publishes a file set to the platform. `platform` must outlive the call.
boost::asio::awaitable<PublishOutcome> Publish(PlatformClient& platform,
                                               PublishRequest request,
                                               PublishPacing pacing = {});

// Each prints its result to `out` and errors to `err`, and returns an exit
// code.
int Validate(const std::string& folder, std::ostream& out, std::ostream& err);
int Apply(const ApplyOptions& options, std::ostream& out, std::ostream& err);
int Ask(const OperatorQuery& query, std::ostream& out, std::ostream& err);

}  // namespace acacia

#endif  // SRC_ACACIACTL_H_
