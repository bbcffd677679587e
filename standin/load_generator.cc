#include "standin/load_generator.h"

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <utility>

#include "src/http_client.h"
#include "standin/load_caller.h"
#include "standin/load_plan.h"

namespace acacia {
namespace {

namespace net = boost::asio;

constexpr auto kAwait = net::as_tuple(net::use_awaitable);
constexpr std::chrono::seconds kLedgerTimeout{20};
constexpr std::chrono::milliseconds kDrainPollInterval{10};

struct Run {
  explicit Run(const schema::LoadSettingsT& settings)
      : caller(settings), plan(settings), start(SystemClock().Now()) {}

  LoadCaller caller;
  LoadPlan plan;
  TimePoint start;
  std::vector<CallResult> results;
  std::size_t in_flight = 0;
};

net::awaitable<void> SendOne(Run* run, PlannedRequest planned) {
  const TimePoint intended = run->start + planned.at;
  CallResult result = co_await run->caller.Call(std::move(planned));
  result.latency = SystemClock().Now() - intended;
  run->results.push_back(std::move(result));
  --run->in_flight;
}

net::awaitable<void> SleepUntil(TimePoint until) {
  net::steady_timer timer(co_await net::this_coro::executor, until);
  co_await timer.async_wait(kAwait);
}

}  // namespace

net::awaitable<std::vector<CallResult>> RunLoad(
    const schema::LoadSettingsT& settings) {
  const auto executor = co_await net::this_coro::executor;
  const auto run = std::make_unique<Run>(settings);
  while (auto planned = run->plan.Next()) {
    const TimePoint intended = run->start + planned->at;
    if (intended > SystemClock().Now()) {
      co_await SleepUntil(intended);
    }
    ++run->in_flight;
    net::co_spawn(executor, SendOne(run.get(), *std::move(planned)),
                  net::detached);
  }
  while (run->in_flight > 0) {
    co_await SleepUntil(SystemClock().Now() + kDrainPollInterval);
  }
  co_return std::move(run->results);
}

net::awaitable<std::optional<WorkRecords>> ReadLedgers(
    std::vector<std::string> addresses) {
  WorkRecords records;
  for (const std::string& address : addresses) {
    HttpClient client(address);
    HttpRequest request;
    request.target = "/standin/ledger";
    const auto reply = co_await client.Send(std::move(request), kLedgerTimeout);
    if (!reply || !AddLedgerJson(reply->body, records)) {
      co_return std::nullopt;
    }
  }
  co_return records;
}

}  // namespace acacia
