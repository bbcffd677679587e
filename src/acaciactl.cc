#include "src/acaciactl.h"

#include <unistd.h>

#include <boost/asio.hpp>
#include <chrono>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <utility>

#include "src/file_set.h"
#include "src/http_client.h"
#include "src/random_source.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr std::chrono::seconds kOperatorTimeout{10};

std::string GenerateWriteId() {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16) << DrawSeed()
       << std::setw(16) << DrawSeed();
  return text.str();
}

// Prints an outcome and returns its exit code.
struct OutcomePrinter {
  const std::string& write_id;
  std::ostream& out;

  int operator()(const PublishAccepted& accepted) const {
    this->out << "accepted: generation " << accepted.generation << ", write id "
              << this->write_id << "\n";
    return kCtlAccepted;
  }
  int operator()(const PublishRefused& refused) const {
    this->out << "refused: another set won: generation " << refused.current
              << " by " << refused.writer << ", write id " << refused.write_id
              << "; look at it, then apply again\n";
    return kCtlRefused;
  }
  int operator()(const PublishUnknown& /*unknown*/) const {
    this->out << "unknown: the platform's reply was lost and it does not say "
                 "more; run again with --write-id "
              << this->write_id << " to settle it\n";
    return kCtlUnknown;
  }
  int operator()(const PublishUnavailable& /*unavailable*/) const {
    this->out << "not applied: the platform cannot be reached; run again\n";
    return kCtlUnavailable;
  }
  int operator()(const PublishTooLarge& too_large) const {
    this->out << "not applied: a part of the set has " << too_large.bytes
              << " bytes; at most " << kMaxObjectBytes << " are read back\n";
    return kCtlMistake;
  }
};

PublishOutcome RunPublish(const std::string& address, PublishRequest request) {
  net::io_context context(1);
  const SystemClock clock;
  PlatformClient platform(address, clock);
  PublishOutcome outcome = PublishUnknown{};
  net::co_spawn(context, Publish(platform, std::move(request)),
                [&](const std::exception_ptr&, PublishOutcome result) {
                  outcome = std::move(result);
                });
  context.run();
  return outcome;
}

}  // namespace

int Validate(const std::string& folder, std::ostream& out, std::ostream& err) {
  const auto file_set = ReadFileSet(folder);
  if (!file_set) {
    err << DescribeAll(file_set.error()) << file_set.error().size()
        << " mistakes; nothing was applied\n";
    return kCtlMistake;
  }
  out << "valid: " << file_set->services.size() << " services, "
      << file_set->routes.size() << " routes, " << file_set->accounts.size()
      << " accounts, " << file_set->drain_rules.size() << " drain rules, "
      << file_set->stop_plans.size() << " stop plans\n";
  return kCtlAccepted;
}

int Apply(const ApplyOptions& options, std::ostream& out, std::ostream& err) {
  auto file_set = ReadFileSet(options.folder);
  if (!file_set) {
    err << DescribeAll(file_set.error()) << file_set.error().size()
        << " mistakes; nothing was applied\n";
    return kCtlMistake;
  }
  PublishRequest request;
  request.file_set = *std::move(file_set);
  request.write_id =
      options.write_id.empty() ? GenerateWriteId() : options.write_id;
  request.writer = options.writer;
  request.based_on = options.based_on;
  const std::string write_id = request.write_id;
  const PublishOutcome outcome =
      RunPublish(options.platform, std::move(request));
  return std::visit(OutcomePrinter{write_id, out}, outcome);
}

int Ask(const OperatorQuery& query, std::ostream& out, std::ostream& err) {
  net::io_context context(1);
  HttpClient client(query.address);
  HttpRequest request;
  request.target = query.target;
  if (!query.token.empty()) {
    request.headers["authorization"] = "Bearer " + query.token;
  }
  tl::expected<HttpReply, HttpClientError> reply =
      tl::unexpected(HttpClientError::kNotSent);
  net::co_spawn(context, client.Send(std::move(request), kOperatorTimeout),
                [&](const std::exception_ptr&,
                    tl::expected<HttpReply, HttpClientError> result) {
                  reply = std::move(result);
                });
  context.run();
  if (!reply) {
    err << query.address << " does not answer\n";
    return kCtlUnavailable;
  }
  (reply->status == 200 ? out : err) << reply->body << "\n";
  return reply->status == 200 ? kCtlAccepted : kCtlRefused;
}

}  // namespace acacia
